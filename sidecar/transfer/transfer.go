// Package transfer is the service that offers requests to the gates of instances, on
// this VM and on others.
//
// A request with a small body travels with the offer. A larger body crosses to
// another VM only after the gate there has granted a slot, in parts, so that neither
// side holds more than one copy and a refusal costs no bytes of the body.
package transfer

import (
	"context"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"storj.io/drpc"

	"cassiarack.example/lib/decision/transfer"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/wire"
	"cassiarack.example/sidecar/gate"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/names"
)

const (
	// maxWhole is the size in bytes up to which the body of a request travels with
	// its offer.
	maxWhole = 16 << 10
	// maxWholeAnswer is the size in bytes up to which the body of an answer travels
	// with the reply of an exchange.
	maxWholeAnswer = 64 << 10
	// partSize is the largest size of a part of a body in bytes. A connection keeps
	// buffers of about four parts on each side while it is idle.
	partSize = 16 << 10
	// bufferedParts is the number of received parts that wait to be taken.
	bufferedParts = 2
	// streamMemory is the memory in bytes of the buffers of an exchange on one side:
	// encoded parts, the buffers of the connection, and decoded parts.
	streamMemory = 96 << 10
)

// Reasons for which an exchange is refused.
const (
	// ReasonMemory means that the body does not fit into the memory of a sidecar.
	ReasonMemory = "memory"
	// ReasonVoid means that the body did not arrive in time after the grant.
	ReasonVoid = "void"
	// ReasonSize means that the head states an impossible size of the body.
	ReasonSize = "body size"
)

// Gate is the access to the instance on this VM.
type Gate interface {
	// Offer offers a request with its body. It returns when the request is refused
	// or has run.
	Offer(ctx context.Context, r *wire.RunRequest, answer *memory.Hold) *wire.RunReply
	// Admit decides on a request with a body of the given size. It returns a
	// reserved slot or a refusal.
	Admit(ctx context.Context, r *wire.RunRequest, bodyBytes int64) (gate.Grant, *wire.RunReply)
}

// Peers provides connections to other sidecars.
type Peers interface {
	Conn(ctx context.Context, addr netip.AddrPort) drpc.Conn
	Mux() drpc.Mux
}

// Journal limits the number of log lines about requests.
type Journal interface {
	AllowRequestLine(now time.Time, attempt string, success bool) bool
}

// Service offers requests to gates, and serves the offers of other sidecars.
type Service struct {
	// Self is the address of this VM.
	Self netip.Addr
	// Port is the port on which other sidecars accept calls.
	Port uint16
	// Requests and Answers are the pools for the bodies of requests and of answers.
	// They belong to one account.
	Requests, Answers *memory.Pool
	// Limits bounds the wait for parts after a grant. Its zero value means the
	// default limits.
	Limits transfer.Limits
	Scope  tally.Scope
	Log    *log.Logger

	gate    Gate
	peers   Peers
	journal Journal
	// sent and received count the bytes of bodies in parts.
	sent, received     tally.Counter
	grants, voidGrants tally.Counter
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.gate, err = kernel.Find[Gate](dir, names.Gate); err != nil {
		return err
	}
	if s.peers, err = kernel.Find[Peers](dir, names.Peers); err != nil {
		return err
	}
	if s.journal, err = kernel.Find[Journal](dir, names.Journal); err != nil {
		return err
	}
	return s.register()
}

// register makes the service serve the offers of other sidecars.
func (s *Service) register() error {
	if s.Limits == (transfer.Limits{}) {
		s.Limits = transfer.DefaultLimits
	}
	s.countIn(s.Scope)
	return wire.DRPCRegisterRelay(s.peers.Mux(), server{s})
}

// Run implements kernel.Service. Each exchange has goroutines of its own.
func (s *Service) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// SetBodyMemory changes the memory for the bodies in flight. It may be called while
// the service runs.
func (s *Service) SetBodyMemory(limit int64) { s.Requests.Account.SetLimit(limit) }

// Offer offers a request to the gate on a VM and returns the gate's reply. The memory
// of the answer's body is kept by answer. An error means that no reply arrived;
// NotSent reports whether the request certainly did not run and never will.
func (s *Service) Offer(ctx context.Context, vm netip.Addr, r *wire.RunRequest, answer *memory.Hold) (*wire.RunReply, error) {
	if vm == s.Self {
		return s.gate.Offer(ctx, r, answer), nil
	}
	client := wire.NewDRPCRelayClient(s.peers.Conn(ctx, netip.AddrPortFrom(vm, s.Port)))
	if len(r.GetBody()) > maxWhole {
		reply, err := s.send(ctx, client, r, answer)
		if !isUnknownCall(err) {
			return reply, err
		}
		// A sidecar of an earlier version takes whole bodies only.
	}
	reply, err := client.Offer(ctx, r)
	answer.Add(int64(len(reply.GetBody())))
	return reply, err
}

// countIn makes the counters of the service in a scope.
func (s *Service) countIn(scope tally.Scope) {
	direction := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"direction": name}).Counter("transfer_bytes")
	}
	s.sent, s.received = direction("sent"), direction("received")
	s.grants, s.voidGrants = scope.Counter("transfer_grants"), scope.Counter("transfer_void_grants")
}

// reserveBuffers takes the memory of the buffers of an exchange with a body of the given
// size. Those of a body that is not large do not count as large either.
func (s *Service) reserveBuffers(buffers *memory.Hold, size int) error {
	if size > memory.Large {
		return buffers.Reserve(s.Requests, streamMemory)
	}
	for range 2 {
		if err := buffers.Reserve(s.Requests, streamMemory/2); err != nil {
			return err
		}
	}
	return nil
}

// server serves the offers of other sidecars.
type server struct{ *Service }

var _ Peers = (*peers.Service)(nil)

// Offer implements the RPC for requests with small bodies.
func (s server) Offer(ctx context.Context, r *wire.RunRequest) (*wire.RunReply, error) {
	answer := &memory.Hold{Account: s.Answers.Account}
	if n := len(r.GetBody()); n > memory.Large {
		answer.Add(int64(n))
	}
	reply := s.gate.Offer(ctx, r, answer)
	if len(reply.GetBody()) <= memory.Large {
		answer.Release()
		return reply, nil
	}
	// The answer is encoded into a copy. Both are in use until the call ends, which
	// ends ctx.
	answer.Add(int64(len(reply.GetBody())))
	context.AfterFunc(ctx, answer.Release)
	return reply, nil
}
