package handoff

import (
	"context"
	"time"

	"cassiarack.example/lib/clock"

	"cassiarack.example/lib/decision/retry"
	"cassiarack.example/lib/request"
	"cassiarack.example/lib/ring"
)

// hedgeCopies is the number of attempts of a hedged request.
const hedgeCopies = 2

// result is the end of one copy of a hedged request.
type result struct {
	attempt *attempt
	hedge   bool
	answer  *request.Answer
	failure *request.Failure
}

// mayHedge reports whether a second copy of the request may be made at all.
func (j *job) mayHedge() bool {
	return j.route.Idempotent && j.decision.HedgeAfter > 0 && j.gateCount > len(j.tried)
}

// attemptHedged performs an attempt and, if its answer does not begin in the usual
// time, a second one at another instance. The answer that begins first is the
// caller's; the other copy is cancelled and its pieces are read by nobody.
func (j *job) attemptHedged(ctx context.Context, first *attempt) (*request.Answer, *request.Failure) {
	results := ring.New[result](hedgeCopies)
	hedging, stop := context.WithCancel(ctx)
	defer stop()
	launched := make(chan *attempt, 1)
	go func() {
		answer, failure := first.do()
		_ = results.Offer(result{attempt: first, answer: answer, failure: failure})
	}()
	go func() { _ = results.Offer(j.hedge(hedging, ctx, first, launched)) }()
	r := takeResult(results)
	switch {
	case r.answer != nil:
		j.cancelOther(r, first, stop, launched)
		return r.answer, nil
	case !r.hedge:
		// The first copy failed. A hedge that is on its way may still answer.
		select {
		case h := <-launched:
			launched <- h
		default:
			stop()
		}
	}
	other := takeResult(results)
	if other.answer != nil {
		return other.answer, nil
	}
	return nil, hedgedFailure(r, other)
}

// takeResult returns the next result. Each copy offers exactly one.
func takeResult(results *ring.Ring[result]) result {
	r, err := results.Take(context.Background())
	if err != nil {
		return result{failure: notRun(request.ReasonOverload, err.Error())}
	}
	return r
}

// cancelOther ends the slower copy.
func (j *job) cancelOther(winner result, first *attempt, stop func(), launched chan *attempt) {
	if winner.hedge {
		j.s.scope.Counter("hedges_won").Inc(1)
		first.cancel()
		return
	}
	stop()
	select {
	case h := <-launched:
		h.cancel()
	default:
	}
}

// hedgedFailure returns the failure of a request both of whose copies failed. The
// caller is told that it was not run only if no copy may have run.
func hedgedFailure(a, b result) *request.Failure {
	if a.hedge {
		a, b = b, a
	}
	if a.failure.Outcome == request.NotRun && b.failure.Outcome != request.NotRun {
		return b.failure
	}
	return a.failure
}

// hedgeNotMade is the result of a hedge that was not made.
func hedgeNotMade(why string) result {
	return result{hedge: true, failure: notRun(request.ReasonFull, why)}
}

// hedge is the duty that makes the second copy when it is due. It ends without
// one when hedging is done.
func (j *job) hedge(hedging, ctx context.Context, first *attempt, launched chan<- *attempt) result {
	select {
	case <-first.started:
	case <-hedging.Done():
		return hedgeNotMade("the first copy ended")
	case <-first.ctx.Done():
		return hedgeNotMade("the first copy ended")
	}
	if !clock.Sleep(hedging, j.decision.HedgeAfter) || !j.body.fullyRead(first.senderDone) {
		return hedgeNotMade("not due")
	}
	if t, err := j.s.router.Hedge(hedging, j.routerRequest()); err != nil || !t.Allowed {
		j.s.scope.Counter("hedges_denied").Inc(1)
		return hedgeNotMade("no budget")
	}
	inst, err := j.s.router.Choose(hedging, j.query())
	if err != nil {
		return hedgeNotMade("no other instance")
	}
	j.s.scope.Counter("hedges").Inc(1)
	a := j.newAttempt(ctx, inst)
	launched <- a
	if hedging.Err() != nil {
		a.cancel()
	}
	return a.doWithin(max(retry.HedgeLimit(j.decision.Expected), j.decision.HedgeAfter))
}

// doWithin performs a hedge, which is cancelled if its answer does not begin in
// time.
func (a *attempt) doWithin(limit time.Duration) result {
	t := time.AfterFunc(limit, a.cancel)
	answer, failure := a.do()
	if !t.Stop() && failure == nil {
		answer, failure = nil, a.contextFailure(request.Unknown)
	}
	return result{attempt: a, hedge: true, answer: answer, failure: failure}
}
