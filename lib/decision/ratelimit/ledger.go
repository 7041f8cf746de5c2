package ratelimit

import (
	"net/netip"
	"time"
)

// Ledger holds the buckets of the organisations of which one node is a ledger. It is not
// safe for concurrent use.
type Ledger struct {
	Shares     Shares
	Membership *Membership

	buckets table[*Bucket]
}

// Ask answers a question of a node for credits of an organisation.
func (l *Ledger) Ask(now time.Time, asker netip.Addr, organisation string, limit Limit, wanted int) Grant {
	// A bucket that is dropped must not be asked.
	l.buckets.sweep(now)
	// The ranks of all nodes are computed only after a change of the list.
	if b, ok := l.buckets.values[organisation]; ok && b.generation == l.Membership.generation {
		return b.Ask(now, asker, limit, wanted)
	}
	since, ok := l.Membership.Ledger(organisation)
	if !ok {
		// If the node becomes a ledger again, what its replacement granted is unknown.
		delete(l.buckets.values, organisation)
		return Grant{NotLedger: true}
	}
	b, ok := l.buckets.get(now, organisation, func() *Bucket { return l.newBucket(limit, since) })
	if !ok {
		return Grant{RetryAfter: refusalMemory}
	}
	// The node may have ceased to be a ledger and become one again between questions.
	if since.After(b.filledAt) {
		b.level, b.filledAt = 0, since
	}
	b.generation = l.Membership.generation
	return b.Ask(now, asker, limit, wanted)
}

// newBucket returns the bucket of an organisation of which the node is a ledger since a
// time. A node that has become one later than it got its first list begins without
// credit, as its predecessor may still grant.
func (l *Ledger) newBucket(limit Limit, since time.Time) *Bucket {
	b := NewBucket(l.Shares, limit, since)
	if since.Equal(l.Membership.listedAt) {
		b.level = min(l.Shares.initial(limit), l.Shares.capacity(limit))
	}
	return b
}

// Buckets returns the number of buckets.
func (l *Ledger) Buckets() int { return len(l.buckets.values) }
