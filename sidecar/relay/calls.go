package relay

import (
	"context"
	"math"
	"time"
)

// callBudget implements gate.CallBudget with the budgets of the relay.
type callBudget struct{ *Service }

// RunStarted implements gate.CallBudget.
func (c callBudget) RunStarted() { c.enqueue(c.calls.Start) }

// RunEnded implements gate.CallBudget.
func (c callBudget) RunEnded(executed bool) {
	c.enqueue(func(now time.Time) { c.calls.End(now, executed) })
}

// Reserve implements gate.CallBudget.
func (c callBudget) Reserve(ctx context.Context, callFailed bool) (refund func(), ok bool) {
	type result struct {
		reserved map[string]float64
		ok       bool
	}
	results := make(chan result, 1)
	if err := c.runAndWait(ctx, func(now time.Time) {
		if ctx.Err() != nil {
			return // nobody would return the calls
		}
		reserved, ok := c.reserveCalls(now, callFailed)
		results <- result{reserved, ok}
	}); err != nil {
		return nil, false
	}
	r := <-results
	return func() { c.enqueue(func(time.Time) { c.refundCalls(r.reserved) }) }, r.ok
}

// reserveCalls charges the calls that a repeated run probably makes to the budgets of the
// services that it calls, and returns the charges. It charges nothing and reports false
// if one of the budgets has no room.
func (s *Service) reserveCalls(now time.Time, callFailed bool) (charges map[string]float64, ok bool) {
	charges = make(map[string]float64)
	for service, n := range s.calls.PerRun(now) {
		// Not all runs make calls. One that failed with a call does.
		if callFailed {
			n = math.Ceil(n)
		}
		b := s.budget(service)
		if b.Remaining(now, s.slack()) < min(1, n) {
			s.Scope.Counter("calls_denied").Inc(1)
			return nil, false
		}
		// The calls are counted as requests when they arrive, which they are not for the
		// budget.
		charges[service] = n * (1 + b.Ratio)
	}
	for service, n := range charges {
		s.budget(service).Charge(now, n)
	}
	return charges, true
}

// refundCalls returns the charges of a run that did not take place.
func (s *Service) refundCalls(charges map[string]float64) {
	for service, n := range charges {
		s.budget(service).Refund(n)
	}
}
