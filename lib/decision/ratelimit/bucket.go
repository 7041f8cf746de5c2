package ratelimit

import (
	"math"
	"time"
)

// Grant is the reply of a ledger to a question for credits.
type Grant struct {
	// Credits is the number of credits granted.
	Credits int
	// RetryAfter is the time until there will be credit for the asker. It is set if
	// credits were asked for and none was granted.
	RetryAfter time.Duration
	// NotLedger is set if the node that was asked is no ledger of the organisation.
	NotLedger bool
}

// Bucket is the token bucket of an organisation at one ledger.
type Bucket struct {
	shares Shares
	limit  Limit
	level  float64
	// filledAt is the time as of which the level holds. It may be later than the
	// present; the bucket is then empty until that time.
	filledAt time.Time
	// statedAt is the latest time at which a refusal announced credit.
	statedAt time.Time
	askedAt  time.Time
}

// NewBucket returns a bucket that is empty at the time since. Its credits from then on
// count, so that a bucket that was dropped when full and is created again is full.
func NewBucket(s Shares, l Limit, since time.Time) *Bucket {
	return &Bucket{shares: s, limit: l, filledAt: since}
}

// Ask grants up to wanted credits. The limit replaces an older one; if it is smaller, the
// bucket shrinks at once.
func (b *Bucket) Ask(now time.Time, l Limit, wanted int) Grant {
	b.fill(now)
	if l.Version > b.limit.Version {
		b.limit = l
		b.level = min(b.level, b.shares.capacity(l))
	}
	b.askedAt = now
	if wanted <= 0 {
		return Grant{}
	}
	if n := min(wanted, int(math.Floor(b.level))); n > 0 {
		b.level -= float64(n)
		return Grant{Credits: n}
	}
	return Grant{RetryAfter: b.state(now)}
}

// state returns the time until credit for the next asker that is refused.
func (b *Bucket) state(now time.Time) time.Duration {
	rate := b.shares.rate(b.limit)
	earliest := now.Add(interval(1-b.level, rate))
	if b.filledAt.After(now) {
		earliest = b.filledAt.Add(interval(1, rate))
	}
	at := b.statedAt.Add(interval(1, rate))
	if at.Before(earliest) || at.Sub(now) > maxRetryAfter {
		at = earliest
	}
	b.statedAt = at
	return at.Sub(now)
}

// fill adds the credits since the last call.
func (b *Bucket) fill(now time.Time) {
	if !now.After(b.filledAt) {
		return
	}
	b.level = min(b.shares.capacity(b.limit), b.level+b.shares.rate(b.limit)*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
}

// Idle reports whether the bucket may be dropped: it was not asked for some time and is
// full.
func (b *Bucket) Idle(now time.Time) bool {
	if now.Sub(b.askedAt) < idleTime {
		return false
	}
	b.fill(now)
	return b.level >= b.shares.capacity(b.limit)
}
