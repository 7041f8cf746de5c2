package router

import (
	"context"
	"time"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/retry"
	"cassiarack.example/lib/decision/slot"
	"cassiarack.example/lib/ring"
)

// Budgets bounds what an entry sends to a service.
type Budgets interface {
	// Begin counts a fresh request and returns its terms. A request that is
	// allowed must be followed by an End.
	Begin(ctx context.Context, r Fresh) (Terms, error)
	// Retry asks for one retry from the budget and returns the delay before it.
	Retry(ctx context.Context, r Fresh, n int) (Terms, error)
	// Hedge asks for one hedge from the budget.
	Hedge(ctx context.Context, r Fresh) (Terms, error)
	// Full tells that all gates refused the request.
	Full(ctx context.Context, r Fresh) (Terms, error)
	// End tells that the request needs no more gates.
	End(ctx context.Context, r Fresh) error
}

// Fresh identifies a request.
type Fresh struct {
	Service      *config.Service
	Route        string
	Organisation string
	// Weight is the share of the organisation.
	Weight int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
}

// Terms is what the router allows for a request.
type Terms struct {
	// Allowed is set when the request, the retry or the hedge may go on.
	Allowed bool
	// Expected is the expected run time, or zero if it is unknown.
	Expected time.Duration
	// HedgeAfter is when a hedge is due after the start of the work; zero means
	// never.
	HedgeAfter time.Duration
	// Delay is the time before a retry, or before a new attempt of the caller
	// makes sense.
	Delay time.Duration
}

type budgetKind int

const (
	fresh budgetKind = iota
	retried
	hedged
	full
	ended
)

// budgetQuery is a question about budgets to the duty.
type budgetQuery struct {
	kind   budgetKind
	r      Fresh
	number int
}

// Begin implements Budgets.
func (s *Service[P]) Begin(ctx context.Context, r Fresh) (Terms, error) {
	return s.ask(ctx, budgetQuery{kind: fresh, r: r})
}

// Retry implements Budgets.
func (s *Service[P]) Retry(ctx context.Context, r Fresh, n int) (Terms, error) {
	return s.ask(ctx, budgetQuery{kind: retried, r: r, number: n})
}

// Hedge implements Budgets.
func (s *Service[P]) Hedge(ctx context.Context, r Fresh) (Terms, error) {
	return s.ask(ctx, budgetQuery{kind: hedged, r: r})
}

// Full implements Budgets.
func (s *Service[P]) Full(ctx context.Context, r Fresh) (Terms, error) {
	return s.ask(ctx, budgetQuery{kind: full, r: r})
}

// End implements Budgets.
func (s *Service[P]) End(ctx context.Context, r Fresh) error {
	call := ring.NewCall[budgetQuery, Terms](budgetQuery{kind: ended, r: r})
	return s.commands.Put(ctx, command{budget: &call})
}

func (s *Service[P]) ask(ctx context.Context, q budgetQuery) (Terms, error) {
	call := ring.NewCall[budgetQuery, Terms](q)
	if err := s.commands.Offer(command{budget: &call}); err != nil {
		return Terms{}, err
	}
	t, err := call.Wait(ctx)
	if err != nil && q.kind == fresh {
		s.undoBegin(ctx, call)
	}
	return t, err
}

// undoBegin ends a request whose caller went away before it was counted.
func (s *Service[P]) undoBegin(ctx context.Context, call ring.Call[budgetQuery, Terms]) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), undoTimeout)
	defer cancel()
	if t, err := call.Wait(ctx); err == nil && t.Allowed {
		// An error means that the duty stopped.
		_ = s.End(ctx, call.Query.r)
	}
}

// answer decides about a question. Retries and hedges are refused while the
// service is full, as they would add to the overload.
func (s *Service[P]) answer(now time.Time, q budgetQuery) Terms {
	st := s.service(q.r.Service)
	t := Terms{Expected: s.lengths.Expected(now, q.r.Route)}
	switch q.kind {
	case fresh:
		st.used = now
		s.begin(now, st, q.r, &t)
		if after, ok := s.lengths.HedgeAfter(now, q.r.Route, q.r.Remaining); ok {
			t.HedgeAfter = after
		}
	case retried:
		t.Allowed = !st.saturation.RecentlyFull(now) && st.retries.Withdraw(now)
		t.Delay = retry.Backoff(s.Random, q.number)
	case hedged:
		t.Allowed = !st.saturation.RecentlyFull(now) && st.hedges.Withdraw(now)
	case full:
		t.Delay = st.saturation.RecordFull(now, s.Random, q.r.Organisation, t.Expected)
	case ended:
		st.inflight.End(q.r.Organisation)
	}
	return t
}

// begin decides whether a fresh request is offered to any gate.
func (s *Service[P]) begin(now time.Time, st *serviceState, r Fresh, t *Terms) {
	if t.Delay = st.saturation.RemainingRefusal(now, r.Organisation); t.Delay > 0 {
		return
	}
	limit := len(st.instances) * r.Service.Slots * (1 + slot.QueuePerSlot)
	t.Allowed = st.inflight.Begin(r.Organisation, r.Weight, limit)
	if !t.Allowed {
		t.Delay = t.Expected
		return
	}
	// A request that is refused here adds nothing to the budgets.
	st.retries.Deposit(now)
	st.hedges.Deposit(now)
}

// observe learns the run time of a route. A run that was cut tells only that the
// time is longer.
func (s *Service[P]) observe(now time.Time, r Report) {
	if r.Ran <= 0 || r.Cut && r.Ran <= s.lengths.Expected(now, r.Route) {
		return
	}
	s.lengths.Observe(now, r.Route, r.Ran)
}
