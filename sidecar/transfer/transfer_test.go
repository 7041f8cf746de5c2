package transfer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"storj.io/drpc/drpcconn"

	"cassiarack.example/lib/decision/transfer"
	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/wire"
	"cassiarack.example/sidecar/gate"
	"cassiarack.example/sidecar/journal"
	"cassiarack.example/sidecar/memory"
)

// longBody is the size of a body that exceeds the buffers of a connection, so that it
// is not all sent while the other side takes nothing.
const longBody = 40 << 20

// testLimits are limits for tests in which an entry sends nothing.
var testLimits = transfer.Limits{First: 100 * time.Millisecond, Between: 200 * time.Millisecond}

// fakeGate implements Gate and gate.Grant for an instance with endless slots.
type fakeGate struct {
	mu sync.Mutex
	// refusal is the reason for which the gate refuses requests.
	refusal string
	// answerBytes is the size of the answers.
	answerBytes int
	answers     *memory.Pool
	// blocks makes a run last until its context ends.
	blocks bool
	// unchecked leaves out the check of bodies.
	unchecked bool
	// offered has the sizes of bodies that came with their offers, run those of all
	// bodies that ran.
	offered, run []int
	withdrawn    int
}

func (g *fakeGate) Offer(ctx context.Context, r *wire.RunRequest, answer *memory.Hold) *wire.RunReply {
	g.mu.Lock()
	g.offered = append(g.offered, len(r.GetBody()))
	g.mu.Unlock()
	return g.Run(ctx, r.GetBody(), answer)
}

func (g *fakeGate) Admit(context.Context, *wire.RunRequest, int64) (gate.Grant, *wire.RunReply) {
	if g.refusal != "" {
		return nil, refusal(g.refusal)
	}
	return g, nil
}

func (g *fakeGate) Run(ctx context.Context, body []byte, answer *memory.Hold) *wire.RunReply {
	g.mu.Lock()
	g.run = append(g.run, len(body))
	g.mu.Unlock()
	if g.blocks {
		<-ctx.Done()
		return &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_UNKNOWN, Reason: "cancelled"}
	}
	if !g.unchecked && !bytes.Equal(body, pattern(len(body))) {
		return &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_UNKNOWN, Reason: "body changed"}
	}
	text, err := g.answers.Make(g.answerBytes)
	if err != nil {
		return &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_UNKNOWN, Reason: err.Error()}
	}
	answer.Keep(text)
	copy(text, pattern(g.answerBytes))
	return &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_ANSWERED, Status: 200, Body: text}
}

func (g *fakeGate) Withdraw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.withdrawn++
}

func (g *fakeGate) counts() (runs, withdrawn int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.run), g.withdrawn
}

// pattern returns n bytes that differ from part to part.
func pattern(n int) []byte {
	p := make([]byte, n)
	for i := range p {
		p[i] = byte(i ^ i>>8 ^ i>>16)
	}
	return p
}

// node is one sidecar of a test.
type node struct {
	*Service
	account *memory.Account
	scope   tally.TestScope
	address netip.AddrPort
}

// startNode starts a sidecar that serves offers with the given gate, or with relay if
// that is not nil.
func startNode(t testing.TB, g *fakeGate, relay wire.DRPCRelayServer) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{account: &memory.Account{}, scope: tally.NewTestScope("", nil), address: netip.MustParseAddrPort(l.Addr().String())}
	p := &peers.Service{Listener: l, Log: log.New(io.Discard)}
	if err := p.Bind(nil); err != nil {
		t.Fatal(err)
	}
	n.Service = &Service{Requests: &memory.Pool{Account: n.account}, Answers: &memory.Pool{Account: n.account, Answers: true}, Limits: transfer.DefaultLimits,
		Scope: n.scope, Log: log.New(io.Discard), gate: g, peers: p, journal: journal.New(io.Discard, log.InfoLevel), Port: n.address.Port()}
	n.countIn(n.scope)
	if g != nil {
		g.answers = n.Answers
		err = n.register()
	} else if relay != nil {
		err = wire.DRPCRegisterRelay(p.Mux(), relay)
	}
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return n
}

// offer sends a request with a body of the given size to another node.
func (n *node) offer(ctx context.Context, to *node, size int) (*wire.RunReply, error) {
	answer := &memory.Hold{Account: n.account}
	defer answer.Release()
	n.Port = to.address.Port()
	return n.Offer(ctx, to.address.Addr(), &wire.RunRequest{Instance: "i", Attempt: []byte("1"), Body: pattern(size)}, answer)
}

// awaitFree waits until no memory of the node's account is in use.
func (n *node) awaitFree(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); n.account.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still in use", n.account.Used())
		}
	}
}

// TestBodies guards against bodies that change on their way, large bodies that travel
// with an offer, small ones that cost more messages than before, and memory that
// stays in use.
func TestBodies(t *testing.T) {
	is := is.New(t)
	g := &fakeGate{}
	entry, target := startNode(t, nil, nil), startNode(t, g, nil)
	var b strings.Builder
	for _, size := range []int{0, 300, maxWhole, maxWhole + 1, 32 << 10, 64 << 10, 1<<20 + 7, 6 << 20} {
		for _, answer := range []int{0, 400, maxWholeAnswer, maxWholeAnswer + 1, 3 << 20} {
			g.answerBytes, g.offered = answer, nil
			reply, err := entry.offer(t.Context(), target, size)
			is.NoErr(err)
			if !bytes.Equal(reply.GetBody(), pattern(answer)) {
				t.Errorf("the answer to %d bytes changed: %d bytes, %q", size, len(reply.GetBody()), reply.GetReason())
			}
			fmt.Fprintf(&b, "request %d, answer %d: with the offer %v\n", size, answer, len(g.offered) > 0)
			entry.awaitFree(t)
			target.awaitFree(t)
		}
	}
	golden.Check(t, "bodies", b.String())
}

// TestRefusals guards against a body that is sent although the gate refuses the
// request, and against memory bounds that stop small requests too.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	g := &fakeGate{refusal: "full"}
	entry, target := startNode(t, nil, nil), startNode(t, g, nil)
	for range 40 { // more than the connections that the pool keeps for one node
		reply, err := entry.offer(t.Context(), target, 1<<20)
		is.NoErr(err)
		is.Equal(reply.GetReason(), "full")
	}
	g.refusal = ""
	target.account.SetLimit(2 << 20)
	reply, err := entry.offer(t.Context(), target, 2<<20)
	is.NoErr(err)
	is.Equal(reply.GetReason(), ReasonMemory)
	is.Equal(g.withdrawn, 1)
	_, err = entry.offer(t.Context(), target, 20<<10)
	is.NoErr(err)
	entry.account.SetLimit(streamMemory / 2)
	reply, err = entry.offer(t.Context(), target, 20<<10)
	is.NoErr(err)
	is.Equal(reply.GetReason(), ReasonMemory)
	_, err = entry.offer(t.Context(), target, 300)
	is.NoErr(err)
	is.Equal(g.run, []int{20 << 10, 300})
	for _, c := range entry.scope.Snapshot().Counters() {
		if c.Name() == "transfer_bytes" && c.Tags()["direction"] == "sent" {
			is.Equal(c.Value(), int64(20<<10)) // no byte of a refused body was sent
		}
	}
	entry.awaitFree(t)
	target.awaitFree(t)
}

// earlierVersion describes a sidecar without exchanges.
type earlierVersion struct{ wire.DRPCRelayDescription }

func (earlierVersion) NumMethods() int { return 1 }

// TestEarlierVersion guards against requests with large bodies that fail during an
// upgrade, when some sidecars have no exchanges yet.
func TestEarlierVersion(t *testing.T) {
	is := is.New(t)
	entry, target := startNode(t, nil, nil), startNode(t, nil, nil)
	g := &fakeGate{answerBytes: 10, answers: target.Answers}
	target.gate = g
	is.NoErr(target.peers.Mux().Register(server{target.Service}, earlierVersion{}))
	for range 2 {
		reply, err := entry.offer(t.Context(), target, 1<<20)
		is.NoErr(err)
		is.Equal(len(reply.GetBody()), 10)
	}
	is.Equal(g.offered, []int{1 << 20, 1 << 20})
	target.awaitFree(t)
}

// rawExchange opens an exchange with a node by hand and sends its head.
func rawExchange(t *testing.T, to *node, size int64) (wire.DRPCRelay_ExchangeClient, net.Conn) {
	t.Helper()
	is := is.New(t)
	raw, err := net.Dial("tcp", to.address.String())
	is.NoErr(err)
	t.Cleanup(func() { raw.Close() })
	stream, err := wire.NewDRPCRelayClient(drpcconn.New(raw)).Exchange(t.Context())
	is.NoErr(err)
	is.NoErr(stream.Send(&wire.ExchangeRequest{Head: &wire.ExchangeHead{Request: &wire.RunRequest{Instance: "i"}, BodySize: size}}))
	return stream, raw
}

// TestEntryFails guards against a slot that stays reserved, and against a run, when an
// entry sends nothing after the grant, stops midway, dies midway, or sends too much.
func TestEntryFails(t *testing.T) {
	for _, tc := range []struct {
		name  string
		parts []int
		dies  bool
		// reason is the expected reason of the refusal.
		reason string
	}{
		{"no part", nil, false, ReasonVoid},
		{"stops midway", []int{100, 100}, false, ReasonVoid},
		{"dies before the first part", nil, true, ""},
		{"dies midway", []int{100, 100}, true, ""},
		{"too many bytes", []int{100, 201}, false, ReasonVoid},
		{"empty part", []int{100, 0}, false, ReasonVoid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			g := &fakeGate{}
			target := startNode(t, g, nil)
			target.Limits = testLimits
			stream, raw := rawExchange(t, target, 300)
			m, err := stream.Recv()
			is.NoErr(err)
			is.True(m.GetGranted())
			for _, n := range tc.parts {
				is.NoErr(stream.Send(&wire.ExchangeRequest{Part: make([]byte, n)}))
			}
			if tc.dies {
				is.NoErr(raw.Close())
			} else {
				m, err = stream.Recv()
				is.NoErr(err)
				is.Equal(m.GetReply().GetReply().GetOutcome(), wire.RunOutcome_RUN_OUTCOME_REFUSED)
				is.Equal(m.GetReply().GetReply().GetReason(), tc.reason)
			}
			target.awaitFree(t)
			runs, withdrawn := g.counts()
			is.Equal(runs, 0)
			is.Equal(withdrawn, 1)
		})
	}
	t.Run("impossible size", func(t *testing.T) {
		is := is.New(t)
		target := startNode(t, &fakeGate{}, nil)
		for _, size := range []int64{0, -1, 7 << 20, 1 << 62} {
			stream, _ := rawExchange(t, target, size)
			m, err := stream.Recv()
			is.NoErr(err)
			is.Equal(m.GetReply().GetReply().GetReason(), ReasonSize)
		}
	})
}

// scriptedRelay is a gate's sidecar that follows a script.
type scriptedRelay struct {
	wire.DRPCRelayUnimplementedServer
	exchange func(wire.DRPCRelay_ExchangeStream) error
}

func (s *scriptedRelay) Exchange(stream wire.DRPCRelay_ExchangeStream) error {
	return s.exchange(stream)
}

// takeParts reads the head, grants, and reads parts until n bytes have arrived.
func takeParts(stream wire.DRPCRelay_ExchangeStream, n int) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	if err := stream.Send(&wire.ExchangeReply{Granted: true}); err != nil {
		return err
	}
	for n > 0 {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		n -= len(m.GetPart())
	}
	return nil
}

// TestGateFails guards against a claim that a request did not run when its last part
// was sent, against a lost claim when it was not, and against an answer that is taken
// for whole although a part of it is missing.
func TestGateFails(t *testing.T) {
	const size = longBody
	errDied := errors.New("the gate died")
	answered := func(stream wire.DRPCRelay_ExchangeStream, size int64, parts ...int) error {
		head := &wire.ExchangeReplyHead{Reply: &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_ANSWERED, Status: 200}, BodySize: size}
		err := stream.Send(&wire.ExchangeReply{Reply: head})
		for _, n := range parts {
			err = errors.Join(err, stream.Send(&wire.ExchangeReply{Part: make([]byte, n)}))
		}
		return err
	}
	var b strings.Builder
	for _, tc := range []struct {
		name     string
		exchange func(wire.DRPCRelay_ExchangeStream) error
	}{
		{"dies before the grant", func(wire.DRPCRelay_ExchangeStream) error { return errDied }},
		{"dies after the grant", func(s wire.DRPCRelay_ExchangeStream) error { return errors.Join(takeParts(s, 0), errDied) }},
		{"dies midway", func(s wire.DRPCRelay_ExchangeStream) error { return errors.Join(takeParts(s, 2*partSize), errDied) }},
		{"refuses midway", func(s wire.DRPCRelay_ExchangeStream) error {
			return errors.Join(takeParts(s, 2*partSize), s.Send(&wire.ExchangeReply{Reply: &wire.ExchangeReplyHead{Reply: refusal(ReasonVoid)}}), s.Close())
		}},
		{"dies after the last part", func(s wire.DRPCRelay_ExchangeStream) error { return errors.Join(takeParts(s, size), errDied) }},
		{"refuses after the last part", func(s wire.DRPCRelay_ExchangeStream) error {
			return errors.Join(takeParts(s, size), s.Send(&wire.ExchangeReply{Reply: &wire.ExchangeReplyHead{Reply: refusal("instance")}}))
		}},
		{"claims a run before the body", func(s wire.DRPCRelay_ExchangeStream) error {
			return errors.Join(takeParts(s, 0), answered(s, 0), s.Close())
		}},
		{"dies in the answer", func(s wire.DRPCRelay_ExchangeStream) error {
			return errors.Join(takeParts(s, size), answered(s, 100, 50), errDied)
		}},
		{"answers too much", func(s wire.DRPCRelay_ExchangeStream) error {
			return errors.Join(takeParts(s, size), answered(s, 100, 50, 51))
		}},
		{"states an impossible size", func(s wire.DRPCRelay_ExchangeStream) error {
			return errors.Join(takeParts(s, size), answered(s, 1<<40))
		}},
	} {
		entry, target := startNode(t, nil, nil), startNode(t, nil, &scriptedRelay{exchange: tc.exchange})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		reply, err := entry.offer(ctx, target, size)
		cancel()
		fmt.Fprintf(&b, "%s: reply %s %q, error %t, not sent %t, gate reached %t\n", tc.name, gate.OutcomeName(reply.GetOutcome()),
			reply.GetReason(), err != nil, err != nil && NotSent(err), err == nil || Reached(err))
		entry.awaitFree(t)
	}
	golden.Check(t, "gate_fails", b.String())
}

// TestClientLeaves guards against a request that hangs, or counts as sent, when its
// client leaves while a gate takes no more parts, and against a pool of connections
// that is unusable afterwards.
func TestClientLeaves(t *testing.T) {
	is := is.New(t)
	stalled := make(chan struct{})
	entry, target := startNode(t, nil, nil), startNode(t, nil, &scriptedRelay{exchange: func(s wire.DRPCRelay_ExchangeStream) error {
		if err := takeParts(s, partSize); err != nil {
			return err
		}
		close(stalled)
		<-s.Context().Done()
		return s.Context().Err()
	}})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-stalled
		time.Sleep(20 * time.Millisecond)
		cancel()
	}()
	began := time.Now()
	_, err := entry.offer(ctx, target, longBody)
	is.True(NotSent(err))
	is.True(time.Since(began) < 2*time.Second)
	entry.awaitFree(t)
	g := &fakeGate{answerBytes: 10}
	_, err = entry.offer(t.Context(), startNode(t, g, nil), 1<<20)
	is.NoErr(err)
	is.Equal(g.run, []int{1 << 20})
}

// TestStreamMemory guards against buffers of exchanges that need more memory than is
// counted for them: many exchanges are held up while their bodies are sent.
func TestStreamMemory(t *testing.T) {
	const exchanges = 40
	is := is.New(t)
	var granted sync.WaitGroup
	granted.Add(exchanges)
	entry, target := startNode(t, nil, nil), startNode(t, nil, &scriptedRelay{exchange: func(s wire.DRPCRelay_ExchangeStream) error {
		ctx, cancel := context.WithCancel(s.Context())
		defer cancel()
		err := takeParts(s, 4*partSize)
		receive(ctx, s.Recv) // takes parts until its ring is full
		granted.Done()
		<-ctx.Done()
		return err
	}})
	entry.Port = target.address.Port()
	body := pattern(longBody)
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	ctx, cancel := context.WithCancel(t.Context())
	var offers sync.WaitGroup
	for range exchanges {
		offers.Go(func() {
			_, err := entry.Offer(ctx, target.address.Addr(), &wire.RunRequest{Instance: "i", Body: body}, nil)
			if !NotSent(err) {
				t.Errorf("an exchange that was held up ended with %v", err)
			}
		})
	}
	granted.Wait()
	time.Sleep(100 * time.Millisecond) // until the buffers are full
	each := (heap() - before) / exchanges
	t.Logf("both sides of an exchange need %d bytes", each)
	is.True(each <= 2*streamMemory)
	cancel()
	offers.Wait()
}

// TestClientLeavesRun guards against a run that goes on, and holds its memory, when the
// client leaves after the last part, and against a claim that it did not run.
func TestClientLeavesRun(t *testing.T) {
	is := is.New(t)
	g := &fakeGate{blocks: true}
	entry, target := startNode(t, nil, nil), startNode(t, g, nil)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for runs, _ := g.counts(); runs == 0; runs, _ = g.counts() {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := entry.offer(ctx, target, 1<<20)
	is.True(err != nil)
	is.True(!NotSent(err))
	target.awaitFree(t)
	entry.awaitFree(t)
}
