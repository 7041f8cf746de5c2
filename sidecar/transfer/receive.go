package transfer

import (
	"context"
	"slices"
	"time"

	"cassiarack.example/lib/decision/transfer"
	"cassiarack.example/lib/wire"
	"cassiarack.example/sidecar/gate"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/message"
)

// receiving is the side of the instance in one exchange.
type receiving struct {
	service  *Service
	stream   wire.DRPCRelay_ExchangeStream
	requests *incoming[*wire.ExchangeRequest]
	state    *transfer.Receiver
	request  *wire.RunRequest
	size     int
	began    time.Time
}

// Exchange implements the RPC for requests whose bodies are sent in parts.
func (s server) Exchange(stream wire.DRPCRelay_ExchangeStream) error {
	// Parts that arrive after the end would block the connection if the stream were
	// not closed. An error means that the connection is lost.
	defer func() { _ = stream.Close() }()
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	x := &receiving{service: s.Service, stream: stream, requests: receive(ctx, stream.Recv), began: time.Now()}
	first, err := x.requests.nextUntil(ctx, x.began.Add(s.Limits.First))
	if err != nil {
		return &Error{Op: "read head", Kind: KindNotSent, Err: err}
	}
	size := first.GetHead().GetBodySize()
	x.request, x.size = first.GetHead().GetRequest(), int(size)
	x.state, err = transfer.NewReceiver(size, s.Limits)
	if err != nil || size > message.MaxBody || x.request == nil {
		return x.sendReply(refusal(ReasonSize))
	}
	answer := &memory.Hold{Account: s.Answers.Account}
	defer answer.Release()
	return x.sendReply(x.handle(ctx, answer))
}

// handle reserves a slot, reads the body and runs the request.
func (x *receiving) handle(ctx context.Context, answer *memory.Hold) *wire.RunReply {
	s := x.service
	grant, refused := s.gate.Admit(ctx, x.request, int64(x.size))
	if refused != nil {
		return refused
	}
	buffers := &memory.Hold{Account: s.Requests.Account}
	defer buffers.Release()
	body, err := s.Requests.Make(x.size)
	if err != nil {
		return x.withdraw(grant, ReasonMemory, err)
	}
	defer s.Requests.Release(body)
	if err := s.reserveBuffers(buffers, x.size); err != nil {
		return x.withdraw(grant, ReasonMemory, err)
	}
	if err := x.readBody(ctx, body); err != nil {
		s.voidGrants.Inc(1)
		return x.withdraw(grant, ReasonVoid, err)
	}
	if !x.state.Begin() {
		return x.withdraw(grant, ReasonVoid, errProtocol)
	}
	reply := grant.Run(ctx, body, answer)
	if err := x.state.Finish(reply.GetOutcome() != wire.RunOutcome_RUN_OUTCOME_REFUSED); err != nil {
		s.Log.Error("The state of an exchange is wrong.", "request", string(x.request.GetAttempt()), "err", err)
	}
	return reply
}

// withdraw frees the slot of a request that was not run and returns the refusal.
func (x *receiving) withdraw(grant gate.Grant, reason string, cause error) *wire.RunReply {
	x.state.End()
	grant.Withdraw()
	if now := time.Now(); x.service.journal.AllowRequestLine(now, string(x.request.GetAttempt()), false) {
		x.service.Log.Info("A grant was withdrawn.", "request", string(x.request.GetAttempt()), "instance", x.request.GetInstance(),
			"reason", reason, "bodyBytes", x.size, "after", now.Sub(x.began), "err", cause)
	}
	return refusal(reason)
}

// readBody grants the slot and reads the parts of the body.
func (x *receiving) readBody(ctx context.Context, body []byte) error {
	if err := x.state.Grant(time.Now()); err != nil {
		return err
	}
	if err := x.stream.Send(&wire.ExchangeReply{Granted: true}); err != nil {
		return err
	}
	x.service.grants.Inc(1)
	for at := 0; at < len(body); {
		m, err := x.requests.nextUntil(ctx, x.state.Until())
		if err != nil {
			return err
		}
		part := m.GetPart()
		if err := x.state.Part(time.Now(), int64(len(part))); err != nil {
			return err
		}
		at += copy(body[at:], part)
		x.service.received.Inc(int64(len(part)))
	}
	return nil
}

// sendReply sends a reply. A large body follows in parts.
func (x *receiving) sendReply(reply *wire.RunReply) error {
	body := reply.GetBody()
	if len(body) <= maxWholeAnswer {
		return x.stream.Send(&wire.ExchangeReply{Reply: &wire.ExchangeReplyHead{Reply: reply}})
	}
	reply.Body = nil
	head := &wire.ExchangeReply{Reply: &wire.ExchangeReplyHead{Reply: reply, BodySize: int64(len(body))}}
	if err := x.stream.Send(head); err != nil {
		return err
	}
	for part := range slices.Chunk(body, partSize) {
		if err := x.stream.Send(&wire.ExchangeReply{Part: part}); err != nil {
			return err
		}
		x.service.sent.Inc(int64(len(part)))
	}
	return nil
}
