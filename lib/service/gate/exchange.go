package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"cassiarack.example/lib/decision/handover"
	"cassiarack.example/lib/decision/slot"
	"cassiarack.example/lib/request"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/tracing"
	"cassiarack.example/lib/wire"
)

const tracerName = "cassiarack/gate"

// exchange is the state of one request at the gate.
type exchange struct {
	s        *Service
	stream   wire.DRPCHandover_ExchangeStream
	ctx      context.Context
	cancel   context.CancelFunc
	reserve  *wire.Reserve
	attempt  handover.Attempt
	incoming *ring.Ring[*wire.Up]
	// portClosed is set if the backend server refused the connection.
	portClosed bool
}

// Exchange implements the drpc call. The first message must be a Reserve, which
// has a head exactly if it asks for a commit together with the grant.
func (s *Service) Exchange(stream wire.DRPCHandover_ExchangeStream) error {
	s.inFlight.add(1)
	defer s.inFlight.add(-1)
	up, err := stream.Recv()
	if err != nil {
		return err
	}
	r := up.GetReserve()
	if r == nil || len(r.GetAttempt()) != len(handover.Attempt{}) || r.GetCommitNow() != (r.GetHead() != nil) {
		return stream.Send(refusedMessage(request.ReasonMalformed, "first message is not a valid reserve", 0, nil))
	}
	ctx, span := startSpan(stream.Context(), r)
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetRemaining()))
	defer cancel()
	x := &exchange{s: s, stream: stream, ctx: ctx, cancel: cancel, reserve: r,
		incoming: ring.New[*wire.Up](request.PiecesInFlight)}
	copy(x.attempt[:], r.GetAttempt())
	return x.run()
}

func startSpan(ctx context.Context, r *wire.Reserve) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(tracing.WithTraceParent(ctx, r.GetTraceParent()), "gate",
		trace.WithAttributes(attribute.String("instance", r.GetInstance())))
}

// run handles the request from its admission to the last message to the entry.
func (x *exchange) run() error {
	adm := x.admit()
	if reason := adm.failure(); reason != "" {
		x.s.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refused").Inc(1)
		if handover.MayHaveRun(adm.err) {
			return x.stream.Send(failedMessage(reason, adm.err, false))
		}
		return x.stream.Send(refusedMessage(reason, "no slot", adm.retryAfter, adm.load))
	}
	err := x.stream.Send(&wire.Down{Load: adm.load, Kind: &wire.Down_Reserved{Reserved: &wire.Reserved{
		Grant: &wire.Grant{Incarnation: adm.grant.Incarnation, Number: adm.grant.Number}, Hold: int64(grantTimeout)}}})
	if err != nil && !x.reserve.GetCommitNow() {
		x.abandon()
		return err
	}
	go x.receive()
	head := x.reserve.GetHead()
	if !x.reserve.GetCommitNow() {
		if head, err = x.awaitCommit(adm.grant); err != nil || head == nil {
			return err
		}
	}
	return x.serve(adm, wire.FromHead(head))
}

// admit requests a slot and waits for the answer. If ctx ends first, it ends the
// attempt.
func (x *exchange) admit() admitted {
	call := ring.NewCall[admit, admitted](admit{
		instance:     x.reserve.GetInstance(),
		attempt:      x.attempt,
		organisation: x.reserve.GetOrganisation(),
		expected:     time.Duration(x.reserve.GetExpected()),
		remaining:    time.Duration(x.reserve.GetRemaining()),
		maxWait:      time.Duration(x.reserve.GetPatience()),
		commitNow:    x.reserve.GetCommitNow(),
	})
	if err := x.s.commands.Offer(&admission{call: call}); err != nil {
		return admitted{reason: request.ReasonOverload}
	}
	a, err := call.Wait(x.ctx)
	if err != nil {
		x.abandon()
		x.finishIfCommitted(call)
		if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
			return admitted{reason: request.ReasonDeadline}
		}
		return admitted{reason: request.ReasonCancelled}
	}
	return a
}

// abandon ends the attempt unless its work is committed.
func (x *exchange) abandon() {
	cmd := abandon{instance: x.reserve.GetInstance(), attempt: x.attempt}
	if err := x.s.commands.Put(x.s.dutyCtx, cmd); err != nil {
		x.s.Log.Debug("Attempt not abandoned.", "err", err)
	}
}

var refusalReasons = map[slot.Refusal]request.Reason{
	slot.RefusedFull:     request.ReasonFull,
	slot.RefusedShare:    request.ReasonShare,
	slot.RefusedDeadline: request.ReasonDeadline,
	slot.RefusedWait:     request.ReasonQueueWait,
	slot.RefusedLeaving:  request.ReasonLeaving,
}

// failure returns the reason why the request was not admitted, or an empty reason
// if it was.
func (a admitted) failure() request.Reason {
	switch {
	case a.reason != "":
		return a.reason
	case a.refusal != "":
		return refusalReasons[a.refusal]
	case a.err != nil:
		return request.ReasonInvalidGrant
	}
	return ""
}

func refusedMessage(r request.Reason, detail string, after time.Duration, l *wire.Load) *wire.Down {
	return &wire.Down{Load: l, Kind: &wire.Down_Refused{Refused: &wire.Refused{
		Reason: wire.ToReason(r), Detail: detail, RetryAfter: int64(after)}}}
}

// receive is the duty that receives the messages of the entry. It cancels the
// exchange if the connection to the entry is lost or the entry cancels the call.
func (x *exchange) receive() {
	for {
		up, err := x.stream.Recv()
		if err != nil {
			x.incoming.Close()
			if !errors.Is(err, io.EOF) {
				x.cancel()
			}
			return
		}
		if err := x.incoming.Put(x.ctx, up); err != nil {
			return
		}
	}
}

// awaitCommit waits for the commit of a grant and returns the head of the request.
// If the commit was refused or did not arrive in time, it tells the entry and
// returns a nil head.
func (x *exchange) awaitCommit(g handover.Grant) (*wire.RequestHead, error) {
	ctx, cancel := context.WithTimeout(x.ctx, grantTimeout)
	defer cancel()
	up, err := x.incoming.Take(ctx)
	if err != nil {
		x.abandon()
		return nil, x.stream.Send(refusedMessage(request.ReasonInvalidGrant, "no commit in time", 0, nil))
	}
	c := up.GetCommit()
	if c == nil || c.GetHead() == nil {
		x.abandon()
		return nil, x.stream.Send(refusedMessage(request.ReasonMalformed, "second message is not a commit", 0, nil))
	}
	named := handover.Grant{Incarnation: c.GetGrant().GetIncarnation(), Number: c.GetGrant().GetNumber()}
	if named != g {
		x.abandon()
		return nil, x.stream.Send(refusedMessage(request.ReasonMalformed, "commit names another grant", 0, nil))
	}
	call := ring.NewCall[handover.Grant, error](g)
	if err := x.s.commands.Put(x.ctx, commit{instance: x.reserve.GetInstance(), attempt: x.attempt, call: call}); err != nil {
		return nil, x.stream.Send(refusedMessage(request.ReasonOverload, "gate is stopping", 0, nil))
	}
	// The wait continues after the end of the exchange, because the slot must be
	// released if the duty has committed the work.
	err, waitErr := call.Wait(x.s.dutyCtx)
	if waitErr != nil {
		return nil, x.stream.Send(failedMessage(request.ReasonOverload, waitErr, false))
	}
	if err != nil {
		x.s.Log.Warn("Commit refused.", "instance", x.reserve.GetInstance(), "err", err)
		if handover.MayHaveRun(err) {
			return nil, x.stream.Send(failedMessage(request.ReasonInvalidGrant, err, false))
		}
		return nil, x.stream.Send(refusedMessage(request.ReasonInvalidGrant, err.Error(), 0, nil))
	}
	return c.GetHead(), nil
}

// serve calls the backend server and releases the slot afterwards. The work must
// be committed.
func (x *exchange) serve(adm admitted, head request.Head) error {
	started := time.Now()
	ctx, span := otel.Tracer(tracerName).Start(x.ctx, "backend server")
	var once sync.Once
	var load *wire.Load
	release := func(r runOutcome) { once.Do(func() { load = x.finish(adm, r) }) }
	// A send to an entry that does not receive blocks until the connection closes.
	// The call of the backend server ends with the context of the exchange, so its
	// slot is released then, even if a send is still blocked.
	stop := context.AfterFunc(x.ctx, func() {
		time.Sleep(cancelReleaseDelay)
		release(runOutcome{runTime: time.Since(started)})
	})
	observation := x.startObservation(adm.instance, adm.grant.Number)
	last := x.call(ctx, adm, head, observation)
	observation.ended(last)
	stop()
	span.End()
	took := time.Since(started)
	if last.GetEnd() == nil {
		time.Sleep(cancelReleaseDelay)
	}
	release(runOutcome{runTime: took, completed: last.GetEnd() != nil, portClosed: x.portClosed})
	if load != nil {
		load.ServiceTime = int64(time.Since(started))
	}
	last.Load = load
	x.s.scope.Timer("service_time").Record(time.Since(started))
	return x.stream.Send(last)
}

// finish ends the committed work, releases its slot and returns the load of the
// instance, or nil if the duty has ended.
func (x *exchange) finish(adm admitted, r runOutcome) *wire.Load {
	call := ring.NewCall[struct{}, *wire.Load](struct{}{})
	cmd := finish{instance: x.reserve.GetInstance(), attempt: x.attempt, grant: adm.grant, outcome: r, call: call}
	if err := x.s.commands.Put(x.s.dutyCtx, cmd); err != nil {
		x.s.Log.Debug("Slot not released.", "instance", x.reserve.GetInstance(), "err", err)
		return nil
	}
	load, err := call.Wait(x.s.dutyCtx)
	if err != nil {
		return nil
	}
	return load
}

// call performs the HTTP call, streams the answer to the entry, and returns the
// last message to the entry without sending it.
func (x *exchange) call(ctx context.Context, adm admitted, head request.Head, observation *callObservation) *wire.Down {
	var p callProgress
	body, trailer := x.newBodyReader(head)
	inst := adm.instance
	req, err := newBackendRequest(httptrace.WithClientTrace(ctx, p.trace()), inst.Address, head, body)
	if err != nil {
		return failedMessage(request.ReasonMalformed, err, true)
	}
	if trailer != nil && req.Trailer != nil {
		trailer.trailer = req.Trailer
	}
	res, err := x.s.backends.transport(inst.Name, inst.Service.Connections).RoundTrip(req)
	if err != nil {
		return x.callFailure(err, p.notRun())
	}
	defer res.Body.Close()
	if err := p.checkHead(res.StatusCode); err != nil {
		return x.callFailure(err, false)
	}
	observation.answered(res.StatusCode)
	down := &wire.Down{Kind: &wire.Down_Head{Head: &wire.ResponseHead{
		Status:        uint32(res.StatusCode),
		Fields:        wire.ToFields(EndToEnd(res.Header)),
		ContentLength: res.ContentLength,
		TrailerNames:  headerNames(res.Trailer),
	}}}
	if err := x.stream.Send(down); err != nil {
		return failedMessage(request.ReasonCancelled, err, false)
	}
	return x.sendAnswerBody(res)
}

// headerNames returns the names of the fields of a header.
func headerNames(h http.Header) []string {
	var out []string
	for n := range h {
		out = append(out, n)
	}
	return out
}

// callFailure returns the last message for a call that failed. It sets portClosed
// if the backend server refused the connection.
func (x *exchange) callFailure(err error, notRun bool) *wire.Down {
	x.portClosed = errors.Is(err, syscall.ECONNREFUSED)
	reason := request.ReasonBackendLost
	switch {
	case errors.Is(err, errBodyTruncated):
		reason = request.ReasonBodyTruncated
	case x.ctx.Err() != nil:
		reason = request.ReasonCancelled
	case notRun:
		reason = request.ReasonBackendConnect
	}
	return failedMessage(reason, err, notRun)
}

func failedMessage(r request.Reason, err error, notRun bool) *wire.Down {
	return &wire.Down{Kind: &wire.Down_Failed{Failed: &wire.Failed{
		Reason: wire.ToReason(r), Detail: err.Error(), NotRun: notRun}}}
}

// newBodyReader returns a reader of the body of the request, both as an io.Reader
// and as its own type, and starts the duty that feeds it. Both are nil for a
// request without a body.
func (x *exchange) newBodyReader(head request.Head) (io.Reader, *bodyReader) {
	if head.ContentLength == 0 {
		return nil, nil
	}
	pieces := ring.New[request.Piece](1)
	r := &bodyReader{ctx: x.ctx, pieces: pieces, trailer: make(http.Header)}
	go x.feedBody(pieces)
	return r, r
}

// feedBody is the duty that converts the messages of the entry to pieces of the
// body. It returns after the last piece or an error, or when the exchange ends.
func (x *exchange) feedBody(pieces *request.Pieces) {
	for {
		up, err := x.incoming.Take(x.ctx)
		piece := request.Piece{Err: err}
		switch {
		case err != nil:
		case up.GetChunk() != nil:
			piece.Data = up.GetChunk().GetData()
		case up.GetEnd() != nil:
			piece.End, piece.Trailers = true, wire.FromFields(up.GetEnd().GetTrailers())
		default:
			piece.Err = errBodyTruncated
		}
		if err := pieces.Put(x.ctx, piece); err != nil || piece.End || piece.Err != nil {
			return
		}
	}
}

// sendAnswerBody streams the body of an answer to the entry and returns the last
// message without sending it.
func (x *exchange) sendAnswerBody(res *http.Response) *wire.Down {
	buf := make([]byte, request.PieceSize)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			chunk := &wire.Down{Kind: &wire.Down_Chunk{Chunk: &wire.Chunk{Data: buf[:n]}}}
			if err := x.stream.Send(chunk); err != nil {
				return failedMessage(request.ReasonCancelled, err, false)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return &wire.Down{Kind: &wire.Down_End{End: &wire.End{Trailers: wire.ToFields(EndToEnd(res.Trailer))}}}
		case err != nil:
			return x.callFailure(err, false)
		}
	}
}

// Settle implements the drpc call that voids an attempt or reports that its work
// was started.
func (s *Service) Settle(ctx context.Context, in *wire.SettleRequest) (*wire.SettleReply, error) {
	g := handover.Grant{Incarnation: in.GetGrant().GetIncarnation(), Number: in.GetGrant().GetNumber()}
	cmd := settle{instance: in.GetInstance(), call: ring.NewCall[handover.Grant, handover.Settlement](g)}
	copy(cmd.attempt[:], in.GetAttempt())
	if err := s.commands.Put(ctx, cmd); err != nil {
		return nil, err
	}
	result, err := cmd.call.Wait(ctx)
	if err != nil {
		return nil, err
	}
	return &wire.SettleReply{Settlement: settlements[result]}, nil
}

var settlements = map[handover.Settlement]wire.Settlement{
	handover.SettledUnknown: wire.Settlement_SETTLEMENT_UNKNOWN,
	handover.SettledNotRun:  wire.Settlement_SETTLEMENT_NOT_RUN,
	handover.SettledStarted: wire.Settlement_SETTLEMENT_STARTED,
}
