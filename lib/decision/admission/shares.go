package admission

import (
	"cmp"
	"time"

	"cassiarack.example/lib/decision/fairness"
)

const (
	// useHalfLife is the half-life of the recent use of slots.
	useHalfLife = 2 * time.Second
	// grantHalfLife is the half-life of the granted part of requests. It is longer
	// than that of the use, as an instance sees few requests of one holder.
	grantHalfLife = 5 * time.Second
	// maxHolders is the number of organisations that are remembered.
	maxHolders = 1024
	// neglectedPart is the part of the usual rate of grants below which a holder goes
	// before others. The rule asks for a quarter; the rest covers the spread between
	// instances, each of which sees only a sample.
	neglectedPart = 0.35
)

// rank identifies a kind of requests by its priorities. Strict order by rank would
// let the least urgent ones starve.
type rank struct{ organisation, route int }

func rankOf(r Request) rank { return rank{r.OrganisationPriority, r.Priority} }

// shares decides how organisations share the slots. Requests without organisation
// that are not nested are not counted.
type shares struct {
	use     fairness.Use[string]
	holders fairness.Grants[string]
	ranks   fairness.Grants[rank]
}

// shared reports whether r counts towards the share of an organisation. Nested
// requests count together, as the organisation without a name.
func shared(r Request) bool { return r.Organisation != "" || r.Nested }

// request records an offered request.
func (s *shares) request(now time.Time, r Request) {
	if !shared(r) {
		return
	}
	if s.use.HalfLife == 0 {
		s.use = fairness.Use[string]{HalfLife: useHalfLife, Limit: maxHolders}
		s.holders = fairness.Grants[string]{HalfLife: grantHalfLife, Limit: maxHolders}
		s.ranks = fairness.Grants[rank]{HalfLife: grantHalfLife, Limit: maxHolders}
	}
	s.holders.Request(now, r.Organisation)
	s.ranks.Request(now, rankOf(r))
}

// begin records that r got a slot.
func (s *shares) begin(now time.Time, r Request, expected time.Duration) {
	if !shared(r) {
		return
	}
	s.holders.Grant(now, r.Organisation)
	s.ranks.Grant(now, rankOf(r))
	s.use.Begin(now, r.Organisation, expected)
}

// end records that a request left its slot.
func (s *shares) end(now time.Time, r run) {
	if shared(r.Request) {
		s.use.End(now, r.Organisation, r.expected, now.Sub(r.startedAt))
	}
}

// neglected reports whether far fewer of the requests of the organisation or of the
// rank of r were granted recently than of all requests.
func (s *shares) neglected(now time.Time, r Request) bool {
	return shared(r) && (s.holders.Below(now, r.Organisation, neglectedPart) || s.ranks.Below(now, rankOf(r), neglectedPart))
}

// compare returns a negative number if a goes before b, a positive one if b goes
// before a, and zero if neither does.
func (s *shares) compare(now time.Time, a, b Request) int {
	if !shared(a) && !shared(b) {
		return cmp.Compare(a.Priority, b.Priority)
	}
	if a.Nested != b.Nested {
		return before(a.Nested)
	}
	if na, nb := s.neglected(now, a), s.neglected(now, b); na != nb {
		return before(na)
	}
	if c := cmp.Compare(a.OrganisationPriority, b.OrganisationPriority); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	return cmp.Compare(s.recent(now, a), s.recent(now, b))
}

// before returns the result of a comparison in which only one side has a property
// that comes first.
func before(first bool) int {
	if first {
		return -1
	}
	return 1
}

// recent returns the recent use of the organisation of r.
func (s *shares) recent(now time.Time, r Request) time.Duration {
	if !shared(r) {
		return 0
	}
	return s.use.Recent(now, r.Organisation)
}

// RecentUse returns the time for which the organisation of r used the slots recently,
// and its part of the use by all.
func (q *Queue[T]) RecentUse(now time.Time, r Request) (use time.Duration, part float64) {
	if !shared(r) {
		return 0, 0
	}
	use = q.shares.recent(now, r)
	return use, use.Seconds() / max(q.shares.use.Total(now).Seconds(), 1e-3)
}

// markOvertaken marks the waiting requests of other organisations that the new
// request r goes before.
func (q *Queue[T]) markOvertaken(now time.Time, r Request) {
	if !shared(r) {
		return
	}
	for i := range q.waiting {
		e := &q.waiting[i]
		if shared(e.Request) && e.Organisation != r.Organisation && !e.overtaken {
			e.overtaken = q.runsBefore(now, r, e.Request)
		}
	}
}

// Displaced removes and returns the last waiting request, in the order of their
// start, if requests of other organisations overtook it and it would now wait too
// long. It is called after each request that began to wait, so that the displaced
// one can still be served by another instance.
func (q *Queue[T]) Displaced(now time.Time) (Entry[T], bool) {
	last := -1
	for i, e := range q.waiting {
		if shared(e.Request) && (last < 0 || !q.runsBefore(now, e.Request, q.waiting[last].Request)) {
			last = i
		}
	}
	if last < 0 {
		return Entry[T]{}, false
	}
	e := q.waiting[last]
	if !e.overtaken || !q.waitsTooLong(now, e.Request) {
		return Entry[T]{}, false
	}
	q.waiting = append(q.waiting[:last], q.waiting[last+1:]...)
	return e, true
}
