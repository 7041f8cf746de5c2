package handoff

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cassiarack.example/lib/answer"
	"cassiarack.example/lib/decision/handover"
	"cassiarack.example/lib/request"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
)

// outcomes holds the outcome of an attempt that ended with a step.
var outcomes = map[handover.Step]request.Outcome{
	handover.StepNotRun: request.NotRun, handover.StepUnknown: request.Unknown,
}

func (a *attempt) handle(ev handover.Event) handover.Step {
	return a.stateMachine.Handle(time.Now(), ev)
}

// commit sends the commit. If the send returns an error, the commit may have
// arrived nevertheless; commit then requests settlements and returns the failure.
func (a *attempt) commit(grant *wire.Grant) *request.Failure {
	a.handle(handover.EventCommit)
	up := &wire.Up{Kind: &wire.Up_Commit{Commit: &wire.Commit{Grant: grant, Head: wire.ToHead(a.req.Head)}}}
	if err := a.stream.Send(up); err != nil {
		f, _ := a.conclude(grant, a.handle(handover.EventLinkLost), a.linkLostFailure(err))
		return f
	}
	return nil
}

// linkLostFailure returns the failure of an attempt whose link was lost. The
// outcome is not set.
func (a *attempt) linkLostFailure(cause error) *request.Failure {
	return &request.Failure{Reason: request.ReasonLinkLost,
		Detail: fmt.Sprintf("node beside %s: %v", a.inst.Name, cause)}
}

var errUnexpected = errors.New("unexpected message")

// awaitHead waits for the head of the answer. If the gate sends no message within
// commitReplyTimeout after a commit, it is asked on another connection whether the
// commit arrived.
func (a *attempt) awaitHead(grant *wire.Grant) (*request.Answer, *request.Failure) {
	wait := commitReplyTimeout
	if a.route.Idempotent {
		wait = 0
	}
	for {
		down, ev, f := a.nextEvent(wait)
		wait = 0
		f, ended := a.conclude(grant, a.handle(ev), f)
		switch {
		case f != nil:
			return nil, f
		case ended:
			return a.beginAnswer(down.GetHead()), nil
		}
	}
}

// nextEvent waits for the gate's next message, the loss of the link, the end of
// the attempt's context or, if wait is not zero, the end of wait. For an event that
// may end the attempt, it also returns the failure with the cause.
func (a *attempt) nextEvent(wait time.Duration) (*wire.Down, handover.Event, *request.Failure) {
	ctx, cancel := a.ctx, context.CancelFunc(func() {})
	if wait > 0 {
		ctx, cancel = context.WithTimeout(a.ctx, wait)
	}
	defer cancel()
	down, err := a.messages.Take(ctx)
	down = rejectBrokenHead(down)
	if err == nil || a.ctx.Err() != nil || errors.Is(err, ring.ErrClosed) {
		a.observeHead(down, err)
	}
	switch {
	case a.ctx.Err() != nil && (err != nil || down.GetHead() != nil):
		// An answer that begins too late is of no use. A refusal still shows that
		// the work did not run.
		return nil, handover.EventCallerDone, a.contextFailure("")
	case err != nil && errors.Is(err, ring.ErrClosed):
		return nil, handover.EventLinkLost, a.linkLostFailure(err)
	case err != nil:
		return nil, handover.EventTimeout, a.linkLostFailure(errNoReply)
	}
	a.recordLoad(down)
	switch {
	case down.GetRefused() != nil:
		return down, handover.EventRefused, fromRefused(down.GetRefused())
	case down.GetFailed().GetNotRun():
		return down, handover.EventRefused, fromFailed(down.GetFailed())
	case down.GetFailed() != nil:
		return down, handover.EventFailed, fromFailed(down.GetFailed())
	case down.GetHead() != nil:
		return down, handover.EventResponseHead, nil
	}
	return down, handover.EventLinkLost, a.linkLostFailure(errUnexpected)
}

// rejectBrokenHead returns the message, or a failure of the backend server if it is the
// head of an answer that HTTP does not allow. Gates of earlier versions pass such heads
// on.
func rejectBrokenHead(down *wire.Down) *wire.Down {
	head := down.GetHead()
	if head == nil {
		return down
	}
	err := answer.CheckStatus(int(head.GetStatus()))
	for _, f := range head.GetFields() {
		if err == nil {
			err = answer.CheckName(f.GetName())
		}
	}
	if err == nil {
		return down
	}
	return &wire.Down{Load: down.GetLoad(), Kind: &wire.Down_Failed{Failed: &wire.Failed{
		Reason: wire.ToReason(request.ReasonBackendLost), Detail: err.Error()}}}
}

var errNoReply = errors.New("no message after the commit")

// conclude requests settlements until the state machine returns another step. It
// returns the failure of an attempt that ended without an answer, and reports
// whether the attempt is decided.
func (a *attempt) conclude(grant *wire.Grant, step handover.Step, f *request.Failure) (*request.Failure, bool) {
	for step == handover.StepSettle {
		step = a.handle(a.settle(grant))
	}
	switch step {
	case handover.StepAnswer:
		return nil, true
	case handover.StepNotRun, handover.StepUnknown:
		if f == nil {
			f = a.linkLostFailure(errUnexpected)
		}
		f.Outcome = outcomes[step]
		return f, true
	}
	return nil, false
}

// settlements holds the event for each reply to a settlement request.
var settlements = map[wire.Settlement]handover.Event{
	wire.Settlement_SETTLEMENT_NOT_RUN: handover.EventSettledNotRun,
	wire.Settlement_SETTLEMENT_STARTED: handover.EventSettledStarted,
	wire.Settlement_SETTLEMENT_UNKNOWN: handover.EventSettledUnknown,
}

// settle asks the gate for the state of a committed grant. The gate voids the
// grant if the commit has not arrived.
func (a *attempt) settle(grant *wire.Grant) handover.Event {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), settleTimeout)
	defer cancel()
	client := wire.NewDRPCHandoverClient(a.s.peers.Conn(ctx, a.inst.VM.Node))
	reply, err := client.Settle(ctx, &wire.SettleRequest{Instance: a.inst.Name, Attempt: a.id[:], Grant: grant})
	ev := handover.EventSettlementLost
	if known, ok := settlements[reply.GetSettlement()]; err == nil && ok {
		ev = known
	}
	a.s.Log.Info("Requested a settlement.", "instance", a.inst.Name, "reply", ev, "err", err)
	return ev
}

// beginAnswer returns the answer with the head h and starts the goroutine that
// passes on its pieces.
func (a *attempt) beginAnswer(h *wire.ResponseHead) *request.Answer {
	answer := &request.Answer{
		Status:        int(h.GetStatus()),
		Fields:        wire.FromFields(h.GetFields()),
		ContentLength: h.GetContentLength(),
		TrailerNames:  h.GetTrailerNames(),
		Instance:      a.inst.Name,
		VM:            a.inst.VM.Name,
		Pieces:        ring.New[request.Piece](1),
	}
	go a.forward(answer.Pieces)
	return answer
}
