package ratelimit

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// Grant is the reply of a ledger to a question for credits.
type Grant struct {
	// Credits is the number of credits granted.
	Credits int
	// RetryAfter is the time until there will be credit for the asker. It is set if fewer
	// credits were granted than wanted.
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
	// promises are the times in the future at which refusals announced credit, in their
	// order.
	promises []promise
	askedAt  time.Time
	// generation is that of the list of nodes by which the node is a ledger.
	generation uint64
}

// promise is the time at which there will be credit for an asker.
type promise struct {
	asker netip.Addr
	at    time.Time
}

// maxPromises bounds the promises of a bucket.
const maxPromises = 64

// NewBucket returns a bucket that is empty at the time since. Its credits from then on
// count, so that a bucket that was dropped when full and is created again is full.
func NewBucket(s Shares, l Limit, since time.Time) *Bucket {
	return &Bucket{shares: s, limit: l, filledAt: since}
}

// Ask grants up to wanted credits. The limit replaces an older one; if it is smaller, the
// bucket shrinks at once.
func (b *Bucket) Ask(now time.Time, asker netip.Addr, l Limit, wanted int) Grant {
	b.fill(now)
	if l.Version > b.limit.Version {
		b.limit = l
		b.level = min(b.level, b.shares.capacity(l))
	}
	b.askedAt = now
	if wanted <= 0 {
		return Grant{}
	}
	g := Grant{Credits: min(wanted, int(math.Floor(b.level)))}
	b.level -= float64(g.Credits)
	if g.Credits < wanted {
		g.RetryAfter = b.promise(now, asker)
	}
	return g
}

// promise returns the time until credit for an asker that is refused. Different askers
// get successive times, and one that asks again gets its earlier one.
func (b *Bucket) promise(now time.Time, asker netip.Addr) time.Duration {
	b.promises = slices.DeleteFunc(b.promises, func(p promise) bool { return !p.at.After(now) })
	rate := b.shares.rate(b.limit)
	earliest := now.Add(interval(1-b.level, rate))
	if b.filledAt.After(now) {
		earliest = b.filledAt.Add(interval(1, rate))
	}
	for _, p := range b.promises {
		if p.asker == asker {
			return later(p.at, earliest).Sub(now)
		}
	}
	at := earliest
	if n := len(b.promises); n > 0 {
		at = later(earliest, b.promises[n-1].at.Add(interval(1, rate)))
	}
	if at.Sub(now) > maxRetryAfter || len(b.promises) == maxPromises {
		return earliest.Sub(now)
	}
	b.promises = append(b.promises, promise{asker, at})
	return at.Sub(now)
}

// fill adds the credits since the last call.
func (b *Bucket) fill(now time.Time) {
	if !now.After(b.filledAt) {
		return
	}
	b.level = min(b.shares.capacity(b.limit), b.level+float64(b.shares.rate(b.limit)*now.Sub(b.filledAt).Seconds()))
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
