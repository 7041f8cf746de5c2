package freshness

import (
	"slices"
	"time"
)

const (
	// maxOpen bounds the questions without a reply that are remembered. At the
	// highest rate of questions they cover 5 s, after which a reply is of no use.
	maxOpen = 16
	// exchangeInterval is the age at which an exchange is repeated. The drift over
	// this time makes proofs by announcements 20 ms older.
	exchangeInterval = 20 * time.Second
)

// ClockBound relates the clock of one incarnation of another node to the clock of
// this one.
type ClockBound struct {
	Incarnation uint64
	// AskedAt is when this node asked for the clock.
	AskedAt time.Time
	// Clock is the value that the reply held.
	Clock time.Duration
}

// Earliest returns the earliest time at which the clock of the incarnation may have
// shown the value clock. It returns false if the value was shown before the reply, or
// by another incarnation, or if the result is after now and the clock is faulty.
func (b ClockBound) Earliest(incarnation uint64, clock time.Duration, now time.Time) (time.Time, bool) {
	since := clock - b.Clock
	if b.AskedAt.IsZero() || incarnation != b.Incarnation || since < 0 || since > maxAge {
		return time.Time{}, false
	}
	t := b.AskedAt.Add(withoutDrift(since))
	return t, !t.After(now)
}

// exchange is the result of the questions to one node.
type exchange struct {
	bound ClockBound
	// askedAt is when the last question that got a reply was sent. The bound may
	// come from an earlier one.
	askedAt time.Time
}

// question is a question without a reply.
type question[K comparable] struct {
	nonce uint64
	peer  K
	at    time.Time
}

// Clocks holds the clock bounds of other nodes, which are identified by values of type
// K. The zero value is empty. It is not safe for concurrent use.
type Clocks[K comparable] struct {
	// open is ordered by time.
	open      []question[K]
	exchanges map[K]exchange
}

// Ask records a question that is sent to peer after at. The nonce must be random: a
// reply to a question of an earlier incarnation of this node must match none of this
// one.
func (c *Clocks[K]) Ask(nonce uint64, peer K, at time.Time) {
	if len(c.open) == maxOpen {
		c.open = slices.Delete(c.open, 0, 1)
	}
	c.open = append(c.open, question[K]{nonce: nonce, peer: peer, at: at})
}

// Reply records the reply to a question and returns when the question was asked. It
// returns false if the question is not open.
func (c *Clocks[K]) Reply(now time.Time, nonce uint64, peer K, incarnation uint64, clock time.Duration) (time.Time, bool) {
	for i, q := range c.open {
		if q.nonce != nonce || q.peer != peer {
			continue
		}
		c.open = slices.Delete(c.open, i, i+1)
		c.record(now, peer, ClockBound{Incarnation: incarnation, AskedAt: q.at, Clock: clock})
		return q.at, true
	}
	return time.Time{}, false
}

// record keeps b, or the earlier bound if that gives later times.
func (c *Clocks[K]) record(now time.Time, peer K, b ClockBound) {
	if c.exchanges == nil {
		c.exchanges = make(map[K]exchange)
	}
	e := exchange{bound: b, askedAt: b.AskedAt}
	old := c.exchanges[peer].bound
	if t, ok := old.Earliest(b.Incarnation, b.Clock, now); ok && t.After(b.AskedAt) {
		e.bound = old
	}
	c.exchanges[peer] = e
}

// Announced returns what an announcement of peer proves, which holds the clock of the
// sender.
func (c *Clocks[K]) Announced(now time.Time, peer K, incarnation uint64, clock time.Duration, s Statement) (Proof, bool) {
	t, ok := c.exchanges[peer].bound.Earliest(incarnation, clock, now)
	if !ok {
		return Proof{}, false
	}
	return s.Proof(t)
}

// NeedsExchange reports whether the clock of peer is to be asked for, since there is no
// bound for this incarnation or since it is old.
func (c *Clocks[K]) NeedsExchange(now time.Time, peer K, incarnation uint64) bool {
	e, ok := c.exchanges[peer]
	return !ok || e.bound.Incarnation != incarnation || now.Sub(e.askedAt) >= exchangeInterval
}

// Retain drops the bounds of nodes that keep does not accept.
func (c *Clocks[K]) Retain(keep func(peer K) bool) {
	for peer := range c.exchanges {
		if !keep(peer) {
			delete(c.exchanges, peer)
		}
	}
}
