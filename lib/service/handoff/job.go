package handoff

import (
	"context"
	"errors"
	"slices"
	"time"

	"cassiarack.example/lib/clock"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/retry"
	"cassiarack.example/lib/decision/route"
	"cassiarack.example/lib/request"
	"cassiarack.example/lib/service/router"
)

// job is a request that is offered to one gate after another. Only the goroutine of
// the caller changes it; the goroutine of a hedge reads it.
type job struct {
	s        *Service
	req      *request.Request
	route    route.Route
	body     *replayBody
	decision router.BudgetDecision
	// weight is the weight of the organisation's share.
	weight int
	// key is the claim on the idempotency key, or nil.
	key *keyClaim

	gateCount int // number of instances that are not leaving
	offers    int
	retries   int
	// lastMaxWait is the longest wait allowed at the last gate.
	lastMaxWait time.Duration
	// tried holds the instances that the next offer excludes, and failed those of
	// them that are never tried again.
	tried  []string
	failed []string
}

// routerRequest describes the request to the router's budgets.
func (j *job) routerRequest() router.Request {
	return router.Request{Service: j.route.Service, Route: j.route.Name(j.req.Method),
		Organisation: j.req.Organisation, Weight: j.weight, Remaining: time.Until(j.req.Deadline)}
}

// run offers the request to one gate after another until one answers or no other
// offer is allowed.
func (j *job) run(ctx context.Context) (*request.Answer, *request.Failure) {
	var err error
	if j.decision, err = j.s.router.Begin(ctx, j.routerRequest()); err != nil {
		return nil, notRun(request.ReasonOverload, err.Error())
	}
	if !j.decision.Allowed {
		j.s.scope.Counter("refused_at_entry").Inc(1)
		f := notRun(request.ReasonFull, "all gates of the service were full a moment ago")
		f.RetryAfter = j.decision.Delay
		return nil, f
	}
	defer func() {
		if err := j.s.router.End(context.WithoutCancel(ctx), j.routerRequest()); err != nil {
			j.s.Log.Debug("End not recorded.", "err", err)
		}
	}()
	j.gateCount = len(j.route.Service.Instances) - j.route.Service.LeavingCount()
	var last *request.Failure
	for {
		offer, ok := retry.NextOffer(j.offers, j.gateCount)
		if !ok {
			return nil, j.finalFailure(ctx, j.s.noInstanceFailure(last, errNoGate))
		}
		inst, err := j.choose(ctx, offer)
		if err != nil {
			return nil, j.finalFailure(ctx, j.s.noInstanceFailure(last, err))
		}
		answer, failure := j.attempt(ctx, inst, offer)
		if failure == nil {
			return answer, nil
		}
		last = combineFailures(last, failure)
		if !fullReasons[failure.Reason] {
			j.failed = append(j.failed, inst.Name)
		}
		if !j.prepareNextOffer(ctx, failure) {
			return nil, j.finalFailure(ctx, last)
		}
	}
}

var errNoGate = errors.New("all gates were tried")

// choose returns the instance for an offer.
func (j *job) choose(ctx context.Context, offer retry.Offer) (*config.Instance, error) {
	if offer.IncludeRefused {
		j.tried = slices.Clone(j.failed)
	}
	j.offers++
	inst, err := j.s.router.Choose(ctx, j.query())
	if err != nil && len(j.tried) > len(j.failed) {
		// gateCount includes instances that get no requests, such as ejected ones,
		// so all others may have been tried before. Those that refused are tried
		// again.
		j.tried = slices.Clone(j.failed)
		inst, err = j.s.router.Choose(ctx, j.query())
	}
	if err == nil {
		j.tried = append(j.tried, inst.Name)
	}
	return inst, err
}

func (j *job) query() router.Query {
	return router.Query{Service: j.route.Service, Idempotent: j.route.Idempotent, Exclude: j.tried}
}

// attempt hands the request to the gate of inst, with a hedge if one is possible.
func (j *job) attempt(ctx context.Context, inst *config.Instance, offer retry.Offer) (*request.Answer, *request.Failure) {
	a := j.newAttempt(ctx, inst)
	j.lastMaxWait = offer.MaxWait(j.decision.Expected, time.Until(j.req.Deadline))
	a.maxWait = j.lastMaxWait
	if !j.mayHedge() {
		return a.do()
	}
	return j.attemptHedged(ctx, a)
}

func (j *job) newAttempt(ctx context.Context, inst *config.Instance) *attempt {
	a := j.s.newAttempt(ctx, j.req, j.route, inst, j.body)
	a.expected, a.started, a.key = j.decision.Expected, make(chan struct{}), j.key
	return a
}

// prepareNextOffer reports whether the request is offered to another gate after the
// failure f. A refusal used no capacity, so the next offer is free unless the
// backend server shed the request. A retry after any other failure needs the retry
// budget and follows the delay from the router.
func (j *job) prepareNextOffer(ctx context.Context, f *request.Failure) bool {
	if !mayRetry(f, j.route.Idempotent, j.body, j.hasTimeToRun()) || ctx.Err() != nil {
		return false
	}
	if f.Outcome == request.NotRun && f.Reason != request.ReasonBackendShed {
		j.s.scope.Counter("moves").Inc(1)
		return true
	}
	t, err := j.s.router.Retry(ctx, j.routerRequest(), j.retries)
	if err != nil || !t.Allowed {
		j.s.scope.Counter("retries_denied").Inc(1)
		return false
	}
	j.s.scope.Counter("retries").Inc(1)
	j.retries++
	return clock.Sleep(ctx, t.Delay)
}

// hasTimeToRun reports whether the time until the deadline is longer than the
// expected run time.
func (j *job) hasTimeToRun() bool { return time.Until(j.req.Deadline) > j.decision.Expected }

// fullReasons holds the reasons of refusals for lack of capacity.
var fullReasons = map[request.Reason]bool{request.ReasonFull: true, request.ReasonShare: true,
	request.ReasonQueueWait: true, request.ReasonOverload: true}

// finalFailure returns the failure to report after the last attempt. If that one was
// refused for lack of capacity, it tells the router that all gates are full. A
// request that was allowed to wait for less than one expected run does not show
// that.
func (j *job) finalFailure(ctx context.Context, f *request.Failure) *request.Failure {
	if fullReasons[f.Reason] && j.lastMaxWait >= j.decision.Expected {
		t, err := j.s.router.Full(context.WithoutCancel(ctx), j.routerRequest())
		if err == nil {
			f.RetryAfter = max(f.RetryAfter, t.Delay)
		}
	}
	return f
}
