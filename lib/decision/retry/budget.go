package retry

import "time"

// RetryShare and HedgeShare are the values of Budget.Share for retries and for
// hedges. Retries help against failures of single instances; a larger share
// would add to an overload.
const (
	RetryShare = 0.10
	HedgeShare = 0.05
)

const (
	// floorRate is the number of repeats per second that are allowed at low
	// traffic.
	floorRate = 1.0
	// floorTokens limits the tokens that accrue without traffic.
	floorTokens = 1.0
	// maxTokens limits the burst of repeats.
	maxTokens = 10.0
)

// Budget is a token bucket that limits the repeats (retries or hedges) of one
// service at one entry node to a share of its new requests, with a floor of
// one repeat per second at low traffic.
type Budget struct {
	// Share is the number of repeats allowed for each new request.
	Share float64

	tokens     float64
	lastRefill time.Time
}

// Deposit counts a new request.
func (b *Budget) Deposit(now time.Time) {
	b.refill(now)
	b.tokens = min(maxTokens, b.tokens+b.Share)
}

// Withdraw takes one token for a repeat and reports whether there was one.
func (b *Budget) Withdraw(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens of the floor. It adds nothing while the tokens from
// traffic reach floorTokens.
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
