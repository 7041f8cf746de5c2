package ratelimit

import (
	"cmp"
	"iter"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Entry holds the stocks of the organisations whose requests arrive at one node. T is
// the type of a waiting request. It is not safe for concurrent use.
//
// Every question that an Outcome holds is to be passed to the ledger that it names, and
// the reply to Reply.
type Entry[T any] struct {
	// Self is the address of the node.
	Self       netip.Addr
	Shares     Shares
	Membership *Membership
	// FirstNonce distinguishes the questions from those of an earlier process.
	FirstNonce uint64

	// validity replaces creditValidity if it is not zero.
	validity time.Duration
	stocks   table[*stock[T]]
	asked    uint64
	// open maps the nonces of open questions to organisations.
	open map[uint64]string
}

// Arrive handles the arrival of a request of an organisation. It reports false if there
// are too many organisations; the request then neither waits nor is decided. Fresh is
// set if the list of nodes is younger than FreshList.
func (e *Entry[T]) Arrive(now time.Time, fresh bool, organisation string, l Limit, request T) (Outcome[T], bool) {
	s, ok := e.stocks.get(now, organisation, func() *stock[T] {
		return &stock[T]{organisation: organisation, shares: e.Shares, limit: l, validity: cmp.Or(e.validity, creditValidity)}
	})
	if !ok {
		return Outcome[T]{}, false
	}
	s.arrive(now, l, request)
	return e.advance(now, fresh, s), true
}

// Reply handles the reply of a ledger. It returns the organisation that the question was
// about.
func (e *Entry[T]) Reply(now time.Time, fresh bool, from netip.Addr, nonce uint64, g Grant) (string, Outcome[T]) {
	s := e.stocks.values[e.open[nonce]]
	if s == nil || !s.reply(now, from, nonce, g) {
		return "", Outcome[T]{}
	}
	delete(e.open, nonce)
	return s.organisation, e.advance(now, fresh, s)
}

// Tick handles the questions without a reply. It yields the outcome for each organisation
// with one. It is to be called every few milliseconds while Waiting reports true.
func (e *Entry[T]) Tick(now time.Time, fresh bool) iter.Seq2[string, Outcome[T]] {
	return func(yield func(string, Outcome[T]) bool) {
		for _, nonce := range slices.Sorted(maps.Keys(e.open)) {
			// What followed from an earlier question may have closed this one.
			organisation, open := e.open[nonce]
			s := e.stocks.values[organisation]
			if open && s != nil && !yield(organisation, e.advance(now, fresh, s)) {
				return
			}
		}
	}
}

// Return takes back the credit of a request that did not run, and reports whether it is
// still valid.
func (e *Entry[T]) Return(now time.Time, organisation string, p Permit) bool {
	s := e.stocks.values[organisation]
	return s != nil && s.restore(now, p)
}

// Waiting reports whether there are open questions.
func (e *Entry[T]) Waiting() bool { return len(e.open) > 0 }

// Stocks returns the number of stocks.
func (e *Entry[T]) Stocks() int { return len(e.stocks.values) }

// OldestQuestion returns the time of the oldest question without a reply. It reports
// false if there is none.
func (e *Entry[T]) OldestQuestion() (at time.Time, ok bool) {
	for _, organisation := range e.open {
		s := e.stocks.values[organisation]
		if s == nil || len(s.open) == 0 {
			continue
		}
		if first := s.open[0].AskedAt; !ok || first.Before(at) {
			at, ok = first, true
		}
	}
	return at, ok
}

func (e *Entry[T]) advance(now time.Time, fresh bool, s *stock[T]) Outcome[T] {
	if s.generation != e.Membership.generation {
		s.setLedgers(e.ledgers(s.organisation), e.Membership.generation)
	}
	before := slices.Clone(s.open)
	out := s.advance(now, e.Self, fresh, e.FirstNonce+e.asked+1)
	if out.Question != nil {
		e.asked++
	}
	e.index(s, before)
	return out
}

// index updates the nonces of the open questions of a stock.
func (e *Entry[T]) index(s *stock[T], before []Question) {
	if e.open == nil {
		e.open = make(map[uint64]string)
	}
	for _, q := range before {
		delete(e.open, q.Nonce)
	}
	for _, q := range s.open {
		e.open[q.Nonce] = s.organisation
	}
}

// ledgers returns the ledgers of an organisation in the order in which this entry asks
// them. It begins with one that the hash of its address selects, so that entries spread
// over the ledgers.
func (e *Entry[T]) ledgers(organisation string) []netip.Addr {
	list := Ledgers(organisation, e.Membership.vms)
	if len(list) == 0 {
		return nil
	}
	first := score(0, e.Self) % uint64(len(list))
	return slices.Concat(list[first:], list[:first])
}
