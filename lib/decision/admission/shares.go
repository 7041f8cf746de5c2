package admission

import (
	"slices"
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
	// neglectedLightPart is that part for the light organisations of a priority.
	// It is higher, as those that use less go before others of their priority.
	neglectedLightPart = 0.8
)

// shares decides how organisations share the slots. Requests without organisation
// that are not nested are not counted.
//
// Strict order by priority would let the least urgent requests starve. So the granted
// part of requests is recorded for each organisation, for each priority of routes, and
// for the light organisations of each priority together. A light one used less of the
// slots than the mean, and sends too few requests to be counted alone.
type shares struct {
	use     fairness.Use[string]
	holders fairness.Grants[string]
	kinds   fairness.Grants[int]
	light   fairness.Grants[int]
}

// shared reports whether r counts towards the share of an organisation. Nested
// requests count together, as the organisation without a name.
func shared(r Request) bool { return r.Organisation != "" || r.Nested }

// request records an offered request and promotes it if its organisation or its kind
// is neglected.
func (s *shares) request(now time.Time, r *Request) {
	if !shared(*r) {
		return
	}
	if s.use.HalfLife == 0 {
		s.use = fairness.Use[string]{HalfLife: useHalfLife, Limit: maxHolders}
		s.holders = fairness.Grants[string]{HalfLife: grantHalfLife, Limit: maxHolders}
		s.kinds = fairness.Grants[int]{HalfLife: grantHalfLife, Limit: maxHolders}
		s.light = fairness.Grants[int]{HalfLife: grantHalfLife, Limit: maxHolders}
	}
	r.light = s.use.IsLight(now, r.Organisation)
	if !r.Again {
		s.holders.Request(now, r.Organisation)
		s.kinds.Request(now, r.Priority)
		if r.light {
			s.light.Request(now, r.OrganisationPriority)
		}
	}
	all := s.holders.Part(now)
	r.promoted = s.holders.Below(now, r.Organisation, neglectedPart*all) || s.kinds.Below(now, r.Priority, neglectedPart*all) ||
		r.light && s.light.Below(now, r.OrganisationPriority, neglectedLightPart*all)
}

// admit records that r runs or waits. It counts as granted from then on: if it
// counted only from its start, all requests of a neglected kind would be promoted
// until the first of them starts.
func (s *shares) admit(now time.Time, r Request) { s.grant(now, r, 1) }

// remove records that r left the queue without a slot.
func (s *shares) remove(now time.Time, r Request) { s.grant(now, r, -1) }

func (s *shares) grant(now time.Time, r Request, n int) {
	if !shared(r) {
		return
	}
	s.holders.Grant(now, r.Organisation, n)
	s.kinds.Grant(now, r.Priority, n)
	if r.light {
		s.light.Grant(now, r.OrganisationPriority, n)
	}
}

// begin records that r got a slot.
func (s *shares) begin(now time.Time, r Request, expected time.Duration) {
	if shared(r) {
		s.use.Begin(now, r.Organisation, expected)
	}
}

// end records that a request left its slot.
func (s *shares) end(now time.Time, r run) {
	if shared(r.Request) {
		s.use.End(now, r.Organisation, r.expected, now.Sub(r.startedAt))
	}
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
	p := q.position(now, r)
	for i := range q.waiting {
		e := &q.waiting[i]
		if shared(e.Request) && e.Organisation != r.Organisation && !e.overtaken {
			e.overtaken = p.before(q.position(now, e.Request))
		}
	}
}

// Displaced removes and returns the last waiting request, in the order of their
// start, if requests of other organisations overtook it and it would now wait too
// long. It is called after each request that began to wait, so that the displaced
// one can still be served by another instance.
func (q *Queue[T]) Displaced(now time.Time) (Entry[T], bool) {
	last := -1
	var lastPosition position
	for i := range q.waiting {
		if !shared(q.waiting[i].Request) {
			continue
		}
		if p := q.position(now, q.waiting[i].Request); last < 0 || !p.before(lastPosition) {
			last, lastPosition = i, p
		}
	}
	if last < 0 {
		return Entry[T]{}, false
	}
	e := q.waiting[last]
	if !e.overtaken || !q.waitsTooLong(now, e.Request) {
		return Entry[T]{}, false
	}
	q.waiting = slices.Delete(q.waiting, last, last+1)
	q.shares.remove(now, e.Request)
	return e, true
}
