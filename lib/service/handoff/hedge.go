package handoff

import (
	"context"
	"time"

	"cassiarack.example/lib/clock"

	"cassiarack.example/lib/decision/retry"
	"cassiarack.example/lib/request"
	"cassiarack.example/lib/ring"
)

// hedgeCopies is the number of copies of a hedged request: the first attempt and
// the hedge.
const hedgeCopies = 2

// result is the answer or the failure of one copy of a hedged request.
type result struct {
	attempt *attempt
	hedge   bool
	answer  *request.Answer
	failure *request.Failure
}

// mayHedge reports whether a hedge of the request is possible: the work is
// idempotent, the router set HedgeAfter and another gate is left.
func (j *job) mayHedge() bool {
	return j.route.Idempotent && j.decision.HedgeAfter > 0 && j.gateCount > len(j.tried)
}

// attemptHedged performs an attempt and, if its answer does not begin within the
// time HedgeAfter of the router's decision, a second one at another instance. It
// returns the answer that begins first. The other copy is cancelled and its pieces
// are not read.
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
		// The first copy failed. A hedge that was already made may still answer.
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

// takeResult waits for the next result. Each copy puts exactly one into the ring.
func takeResult(results *ring.Ring[result]) result {
	r, err := results.Take(context.Background())
	if err != nil {
		return result{failure: notRun(request.ReasonOverload, err.Error())}
	}
	return r
}

// cancelOther cancels the copy that did not win, or prevents a hedge that was not
// made yet.
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

// hedgedFailure returns the failure of a request of which both copies failed. It
// has the outcome NotRun only if neither copy may have run.
func hedgedFailure(a, b result) *request.Failure {
	if a.hedge {
		a, b = b, a
	}
	if a.failure.Outcome == request.NotRun && b.failure.Outcome != request.NotRun {
		return b.failure
	}
	return a.failure
}

// hedgeNotMade returns the result of a hedge that was not made, with the reason.
func hedgeNotMade(why string) result {
	return result{hedge: true, failure: notRun(request.ReasonFull, why)}
}

// hedge waits until the hedge is due and performs it. It makes none when the
// context hedging is done.
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

// doWithin performs a hedge and cancels it if its answer does not begin within
// limit.
func (a *attempt) doWithin(limit time.Duration) result {
	t := time.AfterFunc(limit, a.cancel)
	answer, failure := a.do()
	if !t.Stop() && failure == nil {
		answer, failure = nil, a.contextFailure(request.Unknown)
	}
	return result{attempt: a, hedge: true, answer: answer, failure: failure}
}
