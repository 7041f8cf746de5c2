package transfer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"cassiarack.example/lib/decision/transfer"
	"cassiarack.example/lib/wire"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/message"
)

// sending is the side of the client in one exchange.
type sending struct {
	service *Service
	stream  wire.DRPCRelay_ExchangeClient
	replies *incoming[*wire.ExchangeReply]
	state   *transfer.Sender
	body    []byte
	granted bool
}

// send offers a request to a gate and sends its body in parts once a slot is granted.
func (s *Service) send(ctx context.Context, client wire.DRPCRelayClient, r *wire.RunRequest, answer *memory.Hold) (*wire.RunReply, error) {
	buffers := &memory.Hold{Account: s.Requests.Account}
	defer buffers.Release()
	if err := s.reserveBuffers(buffers, len(r.GetBody())); err != nil {
		return refusal(ReasonMemory), nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Exchange(ctx)
	if err != nil {
		return nil, &Error{Op: "open exchange", Kind: KindNotSent, Err: err}
	}
	x := &sending{service: s, stream: stream, body: r.GetBody(), state: transfer.NewSender(int64(len(r.GetBody()))),
		replies: receive(ctx, stream.Recv)}
	reply, err := x.run(ctx, headOf(r), answer)
	if err != nil {
		x.state.End()
		kind := KindNotSent
		if x.state.State().MayRun() {
			kind = KindLost
		}
		return nil, &Error{Op: "exchange", Kind: kind, Granted: x.granted, Err: err}
	}
	// An error means that the connection is lost, which no longer matters.
	_ = stream.Close()
	return reply, nil
}

// headOf returns a request without its body.
func headOf(r *wire.RunRequest) *wire.ExchangeHead {
	body := r.GetBody()
	r.Body = nil
	head := proto.CloneOf(r)
	r.Body = body
	return &wire.ExchangeHead{Request: head, BodySize: int64(len(body))}
}

// run goes through the exchange and returns the reply with its complete body. After
// an error, the state tells whether the request may have run.
func (x *sending) run(ctx context.Context, head *wire.ExchangeHead, answer *memory.Hold) (*wire.RunReply, error) {
	if err := x.stream.Send(&wire.ExchangeRequest{Head: head}); err != nil {
		return nil, err
	}
	m, err := x.replies.next(ctx)
	if err != nil {
		return nil, err
	}
	if m.GetGranted() {
		if err := x.state.Grant(); err != nil {
			return nil, err
		}
		x.granted = true
		sendErr := x.sendBody()
		// The gate may have refused the request before a part could not be sent.
		if m, err = x.replies.next(ctx); err != nil {
			if sendErr != nil {
				return nil, sendErr
			}
			return nil, err
		}
	}
	return x.readReply(ctx, m, answer)
}

// sendBody sends the parts of the body, unless the gate replies before the last one.
func (x *sending) sendBody() error {
	rest := x.body
	for !x.replies.waiting() {
		n := x.state.Next(partSize)
		if n == 0 {
			return x.stream.CloseSend()
		}
		if err := x.stream.Send(&wire.ExchangeRequest{Part: rest[:n]}); err != nil {
			return err
		}
		rest = rest[n:]
		x.service.sent.Inc(n)
	}
	return nil
}

// readReply returns the reply with the given head, and reads its body.
func (x *sending) readReply(ctx context.Context, m *wire.ExchangeReply, answer *memory.Hold) (*wire.RunReply, error) {
	reply, size := m.GetReply().GetReply(), m.GetReply().GetBodySize()
	refused := reply.GetOutcome() == wire.RunOutcome_RUN_OUTCOME_REFUSED
	switch {
	case reply == nil:
		return nil, errProtocol
	case size < 0 || size > message.MaxBody:
		return nil, errAnswerSize
	case size > 0:
		body, err := x.readBody(ctx, int(size), answer)
		if err != nil {
			return nil, err
		}
		reply.Body = body
	default:
		answer.Add(int64(len(reply.GetBody())))
	}
	return reply, x.state.Reply(refused)
}

// readBody reads the parts of an answer's body. The request has run, and so the memory
// is taken even if it exceeds the account.
func (x *sending) readBody(ctx context.Context, size int, answer *memory.Hold) ([]byte, error) {
	if err := answer.Reserve(x.service.Answers, int64(size)); err != nil {
		answer.Add(int64(size))
	}
	body := make([]byte, size)
	for at := 0; at < size; {
		m, err := x.replies.next(ctx)
		if n := len(m.GetPart()); err == nil && (n == 0 || n > size-at) {
			err = errAnswerSize
		}
		if err != nil {
			return nil, err
		}
		at += copy(body[at:], m.GetPart())
		x.service.received.Inc(int64(len(m.GetPart())))
	}
	return body, nil
}

// refusal returns the reply to a request that did not run.
func refusal(reason string) *wire.RunReply {
	return &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_REFUSED, Reason: reason}
}
