package ratelimit

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// Permit is the credit with which a request was admitted.
type Permit struct {
	// Until is when the credit expires.
	Until time.Time
	// Version is that of the limit under which the credit was asked for.
	Version uint64
}

// Admission admits a request.
type Admission[T any] struct {
	Request T
	Permit  Permit
}

// Refusal refuses a request.
type Refusal[T any] struct {
	Request T
	// NoLedger is set if no ledger replied, so that it is not known whether the
	// organisation is within its limit.
	NoLedger bool
	// RetryAfter is the time until there will be credit for the caller.
	RetryAfter time.Duration
	// Asked is the number of ledgers that were asked for this request.
	Asked int
}

// Question asks a ledger for credits.
type Question struct {
	Organisation string
	Ledger       netip.Addr
	Nonce        uint64
	Limit        Limit
	// Wanted is the number of credits. It is zero if only a sign of the ledger is
	// needed.
	Wanted int
	// AskedAt is the time from which the credits are valid.
	AskedAt time.Time
}

// Outcome is what follows from an event. The requests in it no longer wait.
type Outcome[T any] struct {
	Admitted []Admission[T]
	Refused  []Refusal[T]
	// Question is the next question, or nil.
	Question *Question
	// Expired is the number of credits that expired unused.
	Expired int
}

// stock holds the credits of one organisation at an entry, and the requests that wait
// for some. Only one question at a time is awaited; it covers all waiting requests.
type stock[T any] struct {
	organisation string
	shares       Shares
	limit        Limit
	// validity is how long a credit may be used after it was asked for.
	validity time.Duration
	// ledgers are in the order in which they are asked, as of generation.
	ledgers    []ledgerState
	generation uint64
	// next is the index of the ledger that is asked next. The questions go round, so
	// that no bucket is full and loses credits while another is empty.
	next int
	// credits are in the order of their expiry, except returned ones.
	credits []batch
	waiting []waiter[T]
	// open are the questions without a reply whose credits would still be valid.
	open []Question
	// awaited is the nonce of the question that the waiting requests await, or zero.
	awaited uint64
	// demand is the estimate of the recent demand in requests a second.
	demand    float64
	arrivedAt time.Time
	// statedAt is the latest time that a refusal stated.
	statedAt time.Time
}

// batch is a number of credits with the same expiry.
type batch struct {
	count int
	until time.Time
}

// waiter is a waiting request and the set of ledgers that were asked for it.
type waiter[T any] struct {
	request T
	asked   []netip.Addr
}

// ledgerState is what an entry knows of a ledger.
type ledgerState struct {
	address netip.Addr
	// blockedUntil is when the ledger may be asked again.
	blockedUntil time.Time
	// creditAt is when the ledger will have credit, if exhausted is set.
	creditAt  time.Time
	exhausted bool
	// stated is the time until credit that its last reply stated.
	stated    time.Duration
	repliedAt time.Time
}

// arrive adds a request. The limit replaces an older one.
func (s *stock[T]) arrive(now time.Time, l Limit, request T) {
	if l.Version > s.limit.Version {
		if l.below(s.limit) {
			s.credits = nil
		}
		s.limit = l
	}
	s.demand = s.decayedDemand(now) + 1/demandMemory.Seconds()
	s.arrivedAt = now
	s.waiting = append(s.waiting, waiter[T]{request: request})
}

func (s *stock[T]) decayedDemand(now time.Time) float64 {
	return float64(s.demand * math.Exp(-now.Sub(s.arrivedAt).Seconds()/demandMemory.Seconds()))
}

// setLedgers replaces the ledgers, which come in the order in which they are asked. It
// keeps what is known of those that stay.
func (s *stock[T]) setLedgers(addresses []netip.Addr, generation uint64) {
	ledgers := make([]ledgerState, len(addresses))
	for i, a := range addresses {
		ledgers[i].address = a
		if known := s.ledger(a); known != nil {
			ledgers[i] = *known
		}
	}
	s.ledgers, s.generation = ledgers, generation
}

func (s *stock[T]) ledger(a netip.Addr) *ledgerState {
	for i := range s.ledgers {
		if s.ledgers[i].address == a {
			return &s.ledgers[i]
		}
	}
	return nil
}

// reply takes in the reply to a question, and reports whether the question was open.
func (s *stock[T]) reply(now time.Time, from netip.Addr, nonce uint64, g Grant) bool {
	q, ok := s.close(from, nonce)
	if !ok {
		return false
	}
	if nonce == s.awaited {
		s.awaited = 0
	}
	if until := q.AskedAt.Add(s.validity); g.Credits > 0 && until.After(now) && !s.limit.below(q.Limit) {
		s.credits = append(s.credits, batch{min(g.Credits, q.Wanted), until})
	}
	s.record(now, q, g)
	return true
}

// record updates what is known of a ledger with its reply to q.
func (s *stock[T]) record(now time.Time, q Question, g Grant) {
	l := s.ledger(q.Ledger)
	if l == nil {
		return
	}
	if g.NotLedger {
		l.blockedUntil, l.exhausted = now.Add(refusalMemory), false
		return
	}
	l.repliedAt, l.exhausted, l.stated = now, g.Credits < q.Wanted, 0
	if l.exhausted {
		l.stated = min(max(g.RetryAfter, minRetryAfter), maxRetryAfter)
		l.creditAt = now.Add(l.stated)
		l.blockedUntil = now.Add(min(l.stated, refusalMemory))
	}
}

// close removes an open question and returns it.
func (s *stock[T]) close(from netip.Addr, nonce uint64) (Question, bool) {
	for i, q := range s.open {
		if q.Nonce == nonce && q.Ledger == from {
			s.open = append(s.open[:i], s.open[i+1:]...)
			return q, true
		}
	}
	return Question{}, false
}

// expire ends the wait for a ledger that did not reply in time, and drops what is no
// longer valid. It returns the number of credits dropped.
func (s *stock[T]) expire(now time.Time) int {
	kept := s.open[:0]
	for _, q := range s.open {
		age := now.Sub(q.AskedAt)
		if q.Nonce == s.awaited && age >= replyTimeout {
			s.awaited = 0
			if l := s.ledger(q.Ledger); l != nil {
				l.blockedUntil, l.exhausted = now.Add(refusalMemory), false
			}
		}
		if age < s.validity {
			kept = append(kept, q)
		}
	}
	s.open = kept
	expired := 0
	valid := s.credits[:0]
	for _, b := range s.credits {
		if b.until.After(now) {
			valid = append(valid, b)
		} else {
			expired += b.count
		}
	}
	s.credits = valid
	return expired
}

// advance decides on the waiting requests. If one needs a further ledger, it returns the
// question under the given nonce. Fresh is set if the list of nodes is recent; otherwise
// credits count only while a majority of the ledgers replies, because a node that is cut
// off may have been replaced as a ledger.
func (s *stock[T]) advance(now time.Time, self netip.Addr, fresh bool, nonce uint64) Outcome[T] {
	var out Outcome[T]
	out.Expired = s.expire(now)
	trusted := fresh || s.reachesMajority(now, self)
	for trusted && len(s.waiting) > 0 && len(s.credits) > 0 {
		b := &s.credits[0]
		out.Admitted = append(out.Admitted, Admission[T]{s.waiting[0].request, Permit{b.until, s.limit.Version}})
		s.waiting = s.waiting[1:]
		if b.count--; b.count == 0 {
			s.credits = s.credits[1:]
		}
	}
	for s.awaited == 0 && len(s.waiting) > 0 {
		l := s.nextLedger(now, self, fresh, s.waiting[0])
		if l == nil {
			out.Refused = append(out.Refused, s.refuse(now))
			continue
		}
		out.Question = s.ask(now, l.address, nonce)
	}
	return out
}

// reachesMajority reports whether a majority of the ledgers replied recently.
func (s *stock[T]) reachesMajority(now time.Time, self netip.Addr) bool {
	n := 0
	for _, l := range s.ledgers {
		if l.address == self || !l.repliedAt.IsZero() && now.Sub(l.repliedAt) < contactValidity {
			n++
		}
	}
	return n > len(s.ledgers)/2
}

// nextLedger returns the next ledger that was not asked for w and may be asked, or nil.
// With an old list the node does not ask itself, because it may have been replaced.
func (s *stock[T]) nextLedger(now time.Time, self netip.Addr, fresh bool, w waiter[T]) *ledgerState {
	for i := range s.ledgers {
		n := (s.next + i) % len(s.ledgers)
		l := &s.ledgers[n]
		if slices.Contains(w.asked, l.address) || now.Before(l.blockedUntil) ||
			!fresh && l.address == self && len(s.ledgers) > 1 {
			continue
		}
		s.next = n + 1
		return l
	}
	return nil
}

// ask returns a question for all waiting requests and the demand expected while the
// credits are valid.
func (s *stock[T]) ask(now time.Time, ledger netip.Addr, nonce uint64) *Question {
	wanted := len(s.waiting) + s.reserve(now)
	for _, b := range s.credits {
		wanted -= b.count
	}
	q := Question{Organisation: s.organisation, Ledger: ledger, Nonce: nonce, Limit: s.limit, Wanted: max(0, wanted), AskedAt: now}
	for i := range s.waiting {
		s.waiting[i].asked = append(s.waiting[i].asked, ledger)
	}
	s.open = append(s.open, q)
	s.awaited = nonce
	return &q
}

// reserve returns the number of credits to ask for beyond those needed now. It is a
// standard deviation below the expected demand, so that few expire: at nine tenths of
// the limit, expired credits are missing elsewhere.
func (s *stock[T]) reserve(now time.Time) int {
	expected := float64(s.decayedDemand(now) * creditValidity.Seconds())
	return max(0, int(expected-math.Sqrt(expected)))
}

// refuse refuses the first waiting request. Successive refusals state successive times,
// so that callers do not return at one moment.
func (s *stock[T]) refuse(now time.Time) Refusal[T] {
	w := s.waiting[0]
	s.waiting = s.waiting[1:]
	r := Refusal[T]{Request: w.request, NoLedger: true, RetryAfter: noLedgerRetryAfter, Asked: len(w.asked)}
	earliest, spacing, ok := s.expectedCredit()
	if !ok || len(s.credits) > 0 {
		return r
	}
	earliest = later(earliest, now.Add(minRetryAfter))
	at := s.statedAt.Add(spacing)
	if at.Before(earliest) || at.Sub(now) > maxRetryAfter {
		at = earliest
	}
	s.statedAt = at
	r.NoLedger, r.RetryAfter = false, at.Sub(now)
	return r
}

// expectedCredit returns when this entry will get the next credit, and the expected time
// between later ones. It reports false if no ledger stated a time.
func (s *stock[T]) expectedCredit() (earliest time.Time, spacing time.Duration, ok bool) {
	n, sum := 0, time.Duration(0)
	for _, l := range s.ledgers {
		if !l.exhausted {
			continue
		}
		if n == 0 || l.creditAt.Before(earliest) {
			earliest = l.creditAt
		}
		n++
		sum += l.stated
	}
	if n == 0 {
		return time.Time{}, 0, false
	}
	// Ledgers state successive times to the entries that ask, so the mean of the times
	// shows how many entries share the rate.
	rate := s.shares.rate(s.limit)
	entries := max(1, float64(2*sum/time.Duration(n))/float64(interval(1, rate))-1)
	return earliest, interval(entries, float64(ledgerCount*rate)), true
}

// restore takes back the credit of a request that did not run, and reports whether it is
// still valid.
func (s *stock[T]) restore(now time.Time, p Permit) bool {
	if p.Version != s.limit.Version || !p.Until.After(now) {
		return false
	}
	s.credits = append(s.credits, batch{1, p.Until})
	return true
}

// Idle reports whether the stock may be dropped.
func (s *stock[T]) Idle(now time.Time) bool {
	return len(s.waiting) == 0 && len(s.open) == 0 && now.Sub(s.arrivedAt) >= idleTime
}
