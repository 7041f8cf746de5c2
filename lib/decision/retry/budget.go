package retry

import "time"

// Shares of the fresh requests that may be repeated. Retries after failures
// help against single bad instances; a larger share would add to an overload.
const (
	RetryShare = 0.10
	HedgeShare = 0.05
)

const (
	// floorRate is the number of repeats a second that low traffic may make.
	floorRate = 1.0
	// floorTokens bounds what accrues without traffic.
	floorTokens = 1.0
	// maxTokens bounds the repeats that may come at once.
	maxTokens = 10.0
)

// Budget bounds the repeats of one service at one entry to a share of its fresh
// requests, with a floor of one a second for low traffic.
type Budget struct {
	// Share is the number of repeats for each fresh request.
	Share float64

	tokens     float64
	lastRefill time.Time
}

// Deposit counts a fresh request.
func (b *Budget) Deposit(now time.Time) {
	b.refill(now)
	b.tokens = min(maxTokens, b.tokens+b.Share)
}

// Withdraw takes one repeat and reports whether the budget held one.
func (b *Budget) Withdraw(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill accrues the floor. It adds nothing while traffic fills the budget.
func (b *Budget) refill(now time.Time) {
	if b.lastRefill.IsZero() {
		b.lastRefill, b.tokens = now, floorTokens
		return
	}
	if dt := now.Sub(b.lastRefill).Seconds(); dt > 0 {
		if b.tokens < floorTokens {
			b.tokens = min(floorTokens, b.tokens+floorRate*dt)
		}
		b.lastRefill = now
	}
}
