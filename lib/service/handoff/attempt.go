package handoff

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/handover"
	"cassiarack.example/lib/decision/route"
	"cassiarack.example/lib/request"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service/router"
	"cassiarack.example/lib/tracing"
	"cassiarack.example/lib/wire"
)

const tracerName = "cassiarack/handoff"

// attempt hands a request to one gate and receives the answer.
type attempt struct {
	s        *Service
	req      *request.Request
	route    route.Route
	inst     *config.Instance
	body     *replayBody
	id       [16]byte
	ctx      context.Context
	cancel   context.CancelFunc
	span     trace.Span
	stream   wire.DRPCHandover_ExchangeClient
	messages *ring.Ring[*wire.Down]
	load     *router.Load
	// reservedAt is when the gate replied to the reservation.
	reservedAt time.Time
	// senderDone is closed when the goroutine that sends the body has ended. It is
	// nil before the body is sent.
	senderDone chan struct{}
	// key is the claim that must be granted before the commit, or nil.
	key *keyClaim
	// stateMachine decides the next step and the outcome of the attempt.
	stateMachine handover.EntryStateMachine

	timing
}

// newAttempt prepares to hand the request to the gate of inst.
func (s *Service) newAttempt(ctx context.Context, req *request.Request, rt route.Route, inst *config.Instance,
	body *replayBody) *attempt {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "attempt",
		trace.WithAttributes(attribute.String("instance", inst.Name)))
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	a := &attempt{s: s, req: req, route: rt, inst: inst, body: body, ctx: ctx, cancel: cancel, span: span,
		messages: ring.New[*wire.Down](request.PiecesInFlight), stateMachine: handover.EntryStateMachine{CommitNow: rt.Idempotent}}
	// crypto/rand.Read never fails.
	_, _ = rand.Read(a.id[:])
	return a
}

// do performs the attempt and closes it if it failed. If it has an answer, forward
// closes it after the last piece.
func (a *attempt) do() (*request.Answer, *request.Failure) {
	answer, failure := a.run()
	if failure != nil {
		a.close()
	}
	return answer, failure
}

// close ends the attempt and reports it to the router.
func (a *attempt) close() {
	a.cancel()
	if a.senderDone != nil {
		// Two attempts must not read the body at the same time.
		<-a.senderDone
	}
	a.span.End()
	report := a.report()
	if err := a.s.router.Report(context.WithoutCancel(a.ctx), report); err != nil {
		a.s.Log.Debug("Report not recorded.", "err", err)
	}
}

func (a *attempt) run() (*request.Answer, *request.Failure) {
	if f := a.open(); f != nil {
		return nil, f
	}
	grant, f := a.awaitReserved()
	if f != nil {
		return nil, f
	}
	if f := a.key.wait(); f != nil {
		return nil, f
	}
	if a.ctx.Err() != nil && !a.route.Idempotent {
		return nil, a.contextFailure(request.NotRun)
	}
	if a.handle(handover.EventReserved) == handover.StepCommit {
		if f := a.commit(grant); f != nil {
			return nil, f
		}
	}
	a.sendBody()
	a.markStarted()
	return a.awaitHead(grant)
}

// open starts the exchange with the gate and requests a slot.
func (a *attempt) open() *request.Failure {
	client := wire.NewDRPCHandoverClient(a.s.peers.Conn(a.ctx, a.inst.VM.Node))
	stream, err := client.Exchange(a.ctx)
	if err != nil {
		a.observeReserved(err)
		return a.noGrantFailure(err)
	}
	a.stream = stream
	reserve := &wire.Reserve{
		Instance:     a.inst.Name,
		Attempt:      a.id[:],
		Organisation: a.req.Organisation,
		Route:        a.route.Name(a.req.Method),
		Remaining:    int64(time.Until(a.req.Deadline)),
		Patience:     int64(a.maxWait),
		Expected:     int64(a.expected),
		Idempotent:   a.route.Idempotent,
		CommitNow:    a.route.Idempotent,
		TraceParent:  tracing.TraceParent(a.ctx),
	}
	if a.route.Idempotent {
		reserve.Head = wire.ToHead(a.req.Head)
	}
	if err := stream.Send(&wire.Up{Kind: &wire.Up_Reserve{Reserve: reserve}}); err != nil {
		a.observeReserved(err)
		return a.noGrantFailure(err)
	}
	go a.receive()
	return nil
}

// noGrantFailure returns the failure of an attempt that got no grant.
// Non-idempotent work cannot have run then; idempotent work may have.
func (a *attempt) noGrantFailure(err error) *request.Failure {
	o := request.NotRun
	if a.stream != nil {
		o = outcomes[a.handle(handover.EventLinkLost)]
	}
	if a.ctx.Err() != nil {
		// The reservation of idempotent work starts the work if it has reached the
		// gate.
		return a.contextFailure(o)
	}
	return &request.Failure{Outcome: o, Reason: request.ReasonUnreachable,
		Detail: fmt.Sprintf("node beside %s: %v", a.inst.Name, err)}
}

// contextFailure returns the failure with outcome o of an attempt that ended
// because the caller cancelled it or the deadline passed.
func (a *attempt) contextFailure(o request.Outcome) *request.Failure {
	if errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		return &request.Failure{Outcome: o, Reason: request.ReasonDeadline, Detail: "the deadline passed"}
	}
	return &request.Failure{Outcome: o, Reason: request.ReasonCancelled, Detail: "the caller went away"}
}

// receive puts the gate's messages into the ring until the stream or the attempt
// ends.
func (a *attempt) receive() {
	defer a.messages.Close()
	for {
		down, err := a.stream.Recv()
		if err != nil {
			return
		}
		if err := a.messages.Put(a.ctx, down); err != nil {
			return
		}
	}
}

// awaitReserved waits for the reply to the reservation and returns the grant.
func (a *attempt) awaitReserved() (*wire.Grant, *request.Failure) {
	ctx, cancel := context.WithTimeout(a.ctx, a.maxWait+reserveTimeout)
	defer cancel()
	down, err := a.messages.Take(ctx)
	a.observeReserved(err)
	if err != nil {
		return nil, a.noGrantFailure(err)
	}
	a.recordLoad(down)
	if f := down.GetFailed(); f != nil {
		return nil, fromFailed(f)
	}
	if r := down.GetRefused(); r != nil {
		a.observeRefused()
		return nil, fromRefused(r)
	}
	if down.GetReserved() == nil {
		return nil, a.noGrantFailure(errors.New("unexpected message"))
	}
	return down.GetReserved().GetGrant(), nil
}

func fromRefused(r *wire.Refused) *request.Failure {
	return &request.Failure{Outcome: request.NotRun, Reason: wire.FromReason(r.GetReason()),
		Detail: r.GetDetail(), RetryAfter: time.Duration(r.GetRetryAfter())}
}

// recordLoad keeps the load and the run time that a message reports, if any.
func (a *attempt) recordLoad(d *wire.Down) {
	if l := d.GetLoad(); l != nil {
		a.load = &router.Load{Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), OpenSlots: int(l.GetSlots()),
			Leaving: l.GetLeaving()}
		a.runTime = time.Duration(l.GetServiceTime())
	}
}

// sendBody starts the goroutine that sends the body.
func (a *attempt) sendBody() {
	a.senderDone = make(chan struct{})
	if a.body.empty() {
		a.closeSend()
		close(a.senderDone)
		return
	}
	go func() {
		defer close(a.senderDone)
		for i := 0; ; i++ {
			p, err := a.body.next(a.ctx, i)
			if err != nil {
				return
			}
			if !a.sendPiece(p) {
				return
			}
		}
	}()
}

// sendPiece sends one piece of the body and reports whether more may follow. An
// error of the body cancels the attempt.
func (a *attempt) sendPiece(p request.Piece) bool {
	if p.Err != nil {
		a.cancel()
		return false
	}
	up := &wire.Up{Kind: &wire.Up_Chunk{Chunk: &wire.Chunk{Data: p.Data}}}
	if p.End {
		up = &wire.Up{Kind: &wire.Up_End{End: &wire.End{Trailers: wire.ToFields(p.Trailers)}}}
	}
	if err := a.stream.Send(up); err != nil {
		return false
	}
	if p.End {
		a.closeSend()
	}
	return !p.End
}

// closeSend closes the sending side of the stream, so that the connection can
// carry the next exchange without a cancellation.
func (a *attempt) closeSend() {
	// An error means that the link is lost, which the receiving goroutine detects.
	_ = a.stream.CloseSend()
}

func fromFailed(f *wire.Failed) *request.Failure {
	o := request.Unknown
	if f.GetNotRun() {
		o = request.NotRun
	}
	return &request.Failure{Outcome: o, Reason: wire.FromReason(f.GetReason()), Detail: f.GetDetail()}
}

var errLinkLost = errors.New("link to the gate lost")

// forward turns the gate's messages into pieces of the answer and closes the
// attempt after the last one.
func (a *attempt) forward(pieces *request.Pieces) {
	defer a.close()
	for {
		p := a.nextPiece()
		err := pieces.Put(a.ctx, p)
		if p.End {
			a.awaitClose()
		}
		if err != nil || p.End || p.Err != nil {
			pieces.Close()
			return
		}
	}
}

// awaitClose waits until the gate has closed the stream, because a cancellation
// before that closes the connection too.
func (a *attempt) awaitClose() {
	ctx, cancel := context.WithTimeout(a.ctx, closeTimeout)
	defer cancel()
	// The ring is closed with the stream, and no message follows the end.
	_, _ = a.messages.Take(ctx)
}

// nextPiece waits for the gate's next message and returns it as a piece of the
// answer.
func (a *attempt) nextPiece() request.Piece {
	down, err := a.messages.Take(a.ctx)
	if err != nil {
		return request.Piece{Err: fmt.Errorf("answer of %s: %w", a.inst.Name, errLinkLost)}
	}
	a.recordLoad(down)
	switch {
	case down.GetChunk() != nil:
		return request.Piece{Data: down.GetChunk().GetData()}
	case down.GetEnd() != nil:
		a.complete = true
		return request.Piece{End: true, Trailers: wire.FromFields(down.GetEnd().GetTrailers())}
	default:
		return request.Piece{Err: fmt.Errorf("answer of %s: %s", a.inst.Name, down.GetFailed().GetDetail())}
	}
}
