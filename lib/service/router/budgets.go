package router

import (
	"context"
	"time"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/retry"
	"cassiarack.example/lib/decision/slot"
	"cassiarack.example/lib/ring"
)

// Budgets limits the requests that an entry node sends to a service.
type Budgets interface {
	// Begin counts a new request and decides whether it may be offered to gates. A
	// request that is allowed must be followed by an End.
	Begin(ctx context.Context, r Request) (BudgetDecision, error)
	// Retry takes one retry from the budget and returns the delay before it. The
	// number n of the retry counts from 0.
	Retry(ctx context.Context, r Request, n int) (BudgetDecision, error)
	// Hedge takes one hedge from the budget.
	Hedge(ctx context.Context, r Request) (BudgetDecision, error)
	// Full records that all gates refused the request, and returns the delay before
	// the caller may try again.
	Full(ctx context.Context, r Request) (BudgetDecision, error)
	// End records that the request is no longer in flight.
	End(ctx context.Context, r Request) error
}

// Request describes a request to the budgets.
type Request struct {
	Service      *config.Service
	Route        string
	Organisation string
	// Weight is the weight of the organisation's share.
	Weight int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
}

// BudgetDecision is the decision about a new request, a retry or a hedge.
type BudgetDecision struct {
	// Allowed is set when the request, the retry or the hedge may be sent.
	Allowed bool
	// Expected is the expected run time of the route, or zero if it is unknown.
	Expected time.Duration
	// HedgeAfter is the time from the start of the work until a hedge is due; zero
	// means never.
	HedgeAfter time.Duration
	// Delay is the time to wait before a retry, or the time after which the caller
	// of a refused request may try again.
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

// budgetQuery is a command about the budgets to the router's goroutine. The field
// number is the number of a retry.
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

// undoBegin ends a request whose caller went away before the reply, if the request
// was counted.
func (s *Service[P]) undoBegin(ctx context.Context, call ring.Call[budgetQuery, BudgetDecision]) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), undoTimeout)
	defer cancel()
	if t, err := call.Wait(ctx); err == nil && t.Allowed {
		// An error means that the router's goroutine has stopped.
		_ = s.End(ctx, call.Query.r)
	}
}

// decide performs a command. Retries and hedges are refused while the service is
// full, because they would add to the overload.
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

// begin decides whether a new request may be offered to gates. It sets Allowed, and
// Delay if the request is refused.
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

// observeRunTime updates the expected run time of a route. A run that ended early
// counts only if it exceeds the expected time, as its run time is a lower bound.
func (s *Service[P]) observeRunTime(now time.Time, r Report) {
	if r.RunTime <= 0 || r.EndedEarly && r.RunTime <= s.runTimes.Expected(now, r.Route) {
		return
	}
	s.runTimes.Observe(now, r.Route, r.RunTime)
}
