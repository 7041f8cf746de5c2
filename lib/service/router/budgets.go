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
	Begin(ctx context.Context, r Request) (BudgetDecision, error)
	// Retry asks for one retry from the budget and returns the delay before it.
	Retry(ctx context.Context, r Request, n int) (BudgetDecision, error)
	// Hedge asks for one hedge from the budget.
	Hedge(ctx context.Context, r Request) (BudgetDecision, error)
	// Full tells that all gates refused the request.
	Full(ctx context.Context, r Request) (BudgetDecision, error)
	// End tells that the request needs no more gates.
	End(ctx context.Context, r Request) error
}

// Request identifies a request.
type Request struct {
	Service      *config.Service
	Route        string
	Organisation string
	// Weight is the share of the organisation.
	Weight int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
}

// BudgetDecision is what the router allows for a request.
type BudgetDecision struct {
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
	budgetBegin budgetKind = iota
	budgetRetry
	budgetHedge
	budgetFull
	budgetEnd
)

// budgetQuery is a question about budgets to the duty.
type budgetQuery struct {
	kind   budgetKind
	r      Request
	number int
}

// Begin implements Budgets.
func (s *Service[P]) Begin(ctx context.Context, r Request) (BudgetDecision, error) {
	return s.askBudget(ctx, budgetQuery{kind: budgetBegin, r: r})
}

// Retry implements Budgets.
func (s *Service[P]) Retry(ctx context.Context, r Request, n int) (BudgetDecision, error) {
	return s.askBudget(ctx, budgetQuery{kind: budgetRetry, r: r, number: n})
}

// Hedge implements Budgets.
func (s *Service[P]) Hedge(ctx context.Context, r Request) (BudgetDecision, error) {
	return s.askBudget(ctx, budgetQuery{kind: budgetHedge, r: r})
}

// Full implements Budgets.
func (s *Service[P]) Full(ctx context.Context, r Request) (BudgetDecision, error) {
	return s.askBudget(ctx, budgetQuery{kind: budgetFull, r: r})
}

// End implements Budgets.
func (s *Service[P]) End(ctx context.Context, r Request) error {
	call := ring.NewCall[budgetQuery, BudgetDecision](budgetQuery{kind: budgetEnd, r: r})
	return s.commands.Put(ctx, command{budget: &call})
}

func (s *Service[P]) askBudget(ctx context.Context, q budgetQuery) (BudgetDecision, error) {
	call := ring.NewCall[budgetQuery, BudgetDecision](q)
	if err := s.commands.Offer(command{budget: &call}); err != nil {
		return BudgetDecision{}, err
	}
	t, err := call.Wait(ctx)
	if err != nil && q.kind == budgetBegin {
		s.undoBegin(ctx, call)
	}
	return t, err
}

// undoBegin ends a request whose caller went away before it was counted.
func (s *Service[P]) undoBegin(ctx context.Context, call ring.Call[budgetQuery, BudgetDecision]) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), undoTimeout)
	defer cancel()
	if t, err := call.Wait(ctx); err == nil && t.Allowed {
		// An error means that the duty stopped.
		_ = s.End(ctx, call.Query.r)
	}
}

// decide decides about a question. Retries and hedges are refused while the
// service is full, as they would add to the overload.
func (s *Service[P]) decide(now time.Time, q budgetQuery) BudgetDecision {
	st := s.serviceState(q.r.Service)
	t := BudgetDecision{Expected: s.runTimes.Expected(now, q.r.Route)}
	switch q.kind {
	case budgetBegin:
		st.lastUsed = now
		s.begin(now, st, q.r, &t)
		if after, ok := s.runTimes.HedgeAfter(now, q.r.Route, q.r.Remaining); ok {
			t.HedgeAfter = after
		}
	case budgetRetry:
		t.Allowed = !st.saturation.RecentlyFull(now) && st.retries.Withdraw(now)
		t.Delay = retry.Backoff(s.Random, q.number)
	case budgetHedge:
		t.Allowed = !st.saturation.RecentlyFull(now) && st.hedges.Withdraw(now)
	case budgetFull:
		t.Delay = st.saturation.RecordFull(now, s.Random, q.r.Organisation, t.Expected)
	case budgetEnd:
		st.inflight.End(q.r.Organisation)
	}
	return t
}

// begin decides whether a fresh request is offered to any gate.
func (s *Service[P]) begin(now time.Time, st *serviceState, r Request, t *BudgetDecision) {
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

// observeRunTime learns the run time of a route. A run that was cut tells only that the
// time is longer.
func (s *Service[P]) observeRunTime(now time.Time, r Report) {
	if r.RunTime <= 0 || r.EndedEarly && r.RunTime <= s.runTimes.Expected(now, r.Route) {
		return
	}
	s.runTimes.Observe(now, r.Route, r.RunTime)
}
