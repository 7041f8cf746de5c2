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

// job is one request on its way from gate to gate. It is used by the
// goroutine of the caller.
type job struct {
	s     *Service
	req   *request.Request
	route route.Route
	body  *replay
	terms router.Terms
	// weight is the share of the organisation.
	weight int
	// key is the claim on the idempotency key, or nil.
	key *keyed

	gates   int // instances that are not leaving
	moves   int
	retries int
	// patience is the longest wait that the last gate was allowed.
	patience time.Duration
	// tried holds the instances that the next move passes over, and failed those
	// of them that are not tried again.
	tried  []string
	failed []string
}

// fresh identifies the request to the router's budgets.
func (j *job) fresh() router.Fresh {
	return router.Fresh{Service: j.route.Service, Route: j.route.Name(j.req.Method),
		Organisation: j.req.Organisation, Weight: j.weight, Remaining: time.Until(j.req.Deadline)}
}

// run offers the request to one gate after the other.
func (j *job) run(ctx context.Context) (*request.Answer, *request.Failure) {
	var err error
	if j.terms, err = j.s.router.Begin(ctx, j.fresh()); err != nil {
		return nil, notRun(request.ReasonOverload, err.Error())
	}
	if !j.terms.Allowed {
		j.s.scope.Counter("refused_at_entry").Inc(1)
		f := notRun(request.ReasonFull, "all gates of the service were full a moment ago")
		f.RetryAfter = j.terms.Delay
		return nil, f
	}
	defer func() {
		if err := j.s.router.End(context.WithoutCancel(ctx), j.fresh()); err != nil {
			j.s.Log.Debug("End not recorded.", "err", err)
		}
	}()
	j.gates = len(j.route.Service.Instances) - j.route.Service.LeavingCount()
	var last *request.Failure
	for {
		move, ok := retry.NextOffer(j.moves, j.gates)
		if !ok {
			return nil, j.end(ctx, j.s.noInstance(last, errNoGate))
		}
		inst, err := j.choose(ctx, move)
		if err != nil {
			return nil, j.end(ctx, j.s.noInstance(last, err))
		}
		answer, failure := j.attempt(ctx, inst, move)
		if failure == nil {
			return answer, nil
		}
		last = combine(last, failure)
		if !fullReasons[failure.Reason] {
			j.failed = append(j.failed, inst.Name)
		}
		if !j.goOn(ctx, failure) {
			return nil, j.end(ctx, last)
		}
	}
}

var errNoGate = errors.New("all gates were tried")

// choose returns the instance for a move.
func (j *job) choose(ctx context.Context, m retry.Offer) (*config.Instance, error) {
	if m.IncludeRefused {
		j.tried = slices.Clone(j.failed)
	}
	j.moves++
	inst, err := j.s.router.Choose(ctx, j.query())
	if err != nil && len(j.tried) > len(j.failed) {
		// The number of gates includes instances that get no work, such as ejected
		// ones, so that the others may all have been tried before.
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

// attempt hands the request to the gate of inst, with a hedge if one may be due.
func (j *job) attempt(ctx context.Context, inst *config.Instance, m retry.Offer) (*request.Answer, *request.Failure) {
	a := j.newAttempt(ctx, inst)
	j.patience = m.MaxWait(j.terms.Expected, time.Until(j.req.Deadline))
	a.patience = j.patience
	if !j.mayHedge() {
		return a.do()
	}
	return j.hedged(ctx, a)
}

func (j *job) newAttempt(ctx context.Context, inst *config.Instance) *attempt {
	a := j.s.newAttempt(ctx, j.req, j.route, inst, j.body)
	a.expected, a.begun, a.key = j.terms.Expected, make(chan struct{}), j.key
	return a
}

// goOn reports whether another gate is to be tried. A refusal took no capacity,
// so that the request moves on; a failure draws on the retry budget.
func (j *job) goOn(ctx context.Context, f *request.Failure) bool {
	if !mayRetry(f, j.route.Idempotent, j.body, j.timeLeft()) || ctx.Err() != nil {
		return false
	}
	if f.Outcome == request.NotRun && f.Reason != request.ReasonBackendShed {
		j.s.scope.Counter("moves").Inc(1)
		return true
	}
	t, err := j.s.router.Retry(ctx, j.fresh(), j.retries)
	if err != nil || !t.Allowed {
		j.s.scope.Counter("retries_denied").Inc(1)
		return false
	}
	j.s.scope.Counter("retries").Inc(1)
	j.retries++
	return clock.Sleep(ctx, t.Delay)
}

// timeLeft reports whether the time left allows a run of the expected length.
func (j *job) timeLeft() bool { return time.Until(j.req.Deadline) > j.terms.Expected }

// fullReasons are the refusals of gates that have no capacity left.
var fullReasons = map[request.Reason]bool{request.ReasonFull: true, request.ReasonShare: true,
	request.ReasonQueueWait: true, request.ReasonOverload: true}

// end returns the failure that the caller is told after the last attempt. A
// request that could wait for less than one run does not show that the gates are
// full.
func (j *job) end(ctx context.Context, f *request.Failure) *request.Failure {
	if fullReasons[f.Reason] && j.patience >= j.terms.Expected {
		t, err := j.s.router.Full(context.WithoutCancel(ctx), j.fresh())
		if err == nil {
			f.RetryAfter = max(f.RetryAfter, t.Delay)
		}
	}
	return f
}
