package gate

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"storj.io/drpc/drpcconn"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/platform"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service"
	configservice "cassiarack.example/lib/service/config"
	"cassiarack.example/lib/service/metrics"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/wire"
)

// testGate is a gate with one instance that has one slot.
type testGate struct {
	t    *testing.T
	addr string
	gate *Service
	conf *configservice.Service
	// started and ended receive the start and the end of each call at the backend
	// server.
	started, ended chan string
}

func newTestGate(t *testing.T, handler func(w http.ResponseWriter, r *http.Request)) *testGate {
	t.Helper()
	b := &testGate{t: t, started: make(chan string, 16), ended: make(chan string, 16)}
	backend := httptest.NewServer(http.HandlerFunc(handler))
	t.Cleanup(backend.Close)
	quiet := log.New(io.Discard)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.addr = lis.Addr().String()
	c := newContent(t, fmt.Sprintf(`{"services": [{"name": "s", "slots": 1}], "vms": [{"name": "v", "region": "r",
		"dataCentre": "d", "node": %q, "instances": [{"name": "i", "service": "s", "address": %q}]}]}`,
		b.addr, backend.Listener.Addr()))
	b.conf = &configservice.Service{VM: "v", Log: quiet, Random: mathrand.New(mathrand.NewPCG(1, 1))}
	b.gate = &Service{VM: "v", Incarnation: 7, Log: quiet}
	up := &configStarter{conf: b.conf, c: c, ready: make(chan struct{})}
	k := &kernel.Kernel{Log: quiet, DrainTimeout: time.Minute, Registrations: []kernel.Registration{
		{Name: service.Metrics, Service: metrics.New("v", "d")},
		{Name: service.Peers, Service: &peers.Service{Listener: lis, Log: quiet}},
		{Name: service.Config, Needs: []string{service.Peers, service.Metrics}, Service: b.conf},
		{Name: service.Observer, Service: discardObserver{}},
		{
			Name:    service.Gate,
			Needs:   []string{service.Config, service.Peers, service.Metrics, service.Observer},
			Service: b.gate,
		},
		{Name: "starter", Needs: []string{service.Config, service.Gate}, Service: up},
	}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- k.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("kernel: %v", err)
		}
	})
	select {
	case <-up.ready:
	case <-time.After(time.Minute):
		t.Fatal("no configuration in force")
	}
	return b
}

// newContent returns revision 1 of the configuration with one document, the
// register.
func newContent(t *testing.T, register string) *configservice.Content {
	t.Helper()
	text := []byte(register)
	sum := sha256.Sum256(text)
	m := &platform.Manifest{Revision: 1, Documents: []platform.Document{
		{Name: "register", Size: int64(len(text)), SHA256: hex.EncodeToString(sum[:])}}}
	c, err := configservice.NewContent(m, map[string]config.Document{"register": {Text: text, Digest: sum}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// configStarter is a service that puts a configuration in force.
type configStarter struct {
	conf *configservice.Service
	c    *configservice.Content
	// ready is closed when the configuration is in force.
	ready chan struct{}
}

func (s *configStarter) Bind(*kernel.Directory) error { return nil }

func (s *configStarter) Run(ctx context.Context) error {
	if _, err := s.conf.Offer(ctx, s.c); err != nil {
		return err
	}
	for s.conf.Current() == nil && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	close(s.ready)
	<-ctx.Done()
	return nil
}

// waitFor waits until ok returns true. It fails the test after one minute.
func (b *testGate) waitFor(what string, ok func() bool) {
	b.t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("%s: not reached", what)
		}
	}
}

// entry is the side of the entry in one exchange.
type entry struct {
	conn   *drpcconn.Conn
	stream wire.DRPCHandover_ExchangeClient
	cancel context.CancelFunc
	id     []byte
	grant  *wire.Grant
}

func (b *testGate) entry() *entry {
	b.t.Helper()
	raw, err := net.Dial("tcp", b.addr)
	if err != nil {
		b.t.Fatal(err)
	}
	e := &entry{conn: drpcconn.New(raw), id: make([]byte, 16)}
	b.t.Cleanup(func() { e.conn.Close() })
	rand.Read(e.id)
	ctx, cancel := context.WithCancel(b.t.Context())
	e.cancel = cancel
	if e.stream, err = wire.NewDRPCHandoverClient(e.conn).Exchange(ctx); err != nil {
		b.t.Fatal(err)
	}
	return e
}

func (e *entry) reserve(commitNow bool, length int64, remaining time.Duration) {
	r := &wire.Reserve{Instance: "i", Attempt: e.id, Remaining: int64(remaining), Patience: int64(time.Minute),
		Idempotent: commitNow, CommitNow: commitNow}
	if commitNow {
		r.Head = requestHead(length)
	}
	e.stream.Send(&wire.Up{Kind: &wire.Up_Reserve{Reserve: r}})
}

func requestHead(length int64) *wire.RequestHead {
	return &wire.RequestHead{Method: "POST", Target: "/", Host: "x", ContentLength: length}
}

func (e *entry) commit(length int64) {
	e.stream.Send(&wire.Up{Kind: &wire.Up_Commit{Commit: &wire.Commit{Grant: e.grant, Head: requestHead(length)}}})
}

func (e *entry) chunk(s string) error {
	return e.stream.Send(&wire.Up{Kind: &wire.Up_Chunk{Chunk: &wire.Chunk{Data: []byte(s)}}})
}

// nextMessage receives the next message of the gate and describes it.
func (e *entry) nextMessage() string {
	d, err := e.stream.Recv()
	if err != nil {
		return "stream ended"
	}
	switch k := d.GetKind().(type) {
	case *wire.Down_Reserved:
		e.grant = k.Reserved.GetGrant()
		return "reserved"
	case *wire.Down_Refused:
		return "refused " + k.Refused.GetReason().String()
	case *wire.Down_Head:
		var fields []string
		for _, f := range k.Head.GetFields() {
			if strings.HasPrefix(f.GetName(), "X-") || f.GetName() == "Retry-After" {
				fields = append(fields, f.GetName()+"="+f.GetValue())
			}
		}
		return fmt.Sprint("head ", k.Head.GetStatus(), fields)
	case *wire.Down_Chunk:
		return fmt.Sprintf("chunk %q", k.Chunk.GetData())
	case *wire.Down_End:
		return fmt.Sprint("end ", len(k.End.GetTrailers()), " trailers")
	case *wire.Down_Failed:
		return fmt.Sprint("failed ", k.Failed.GetReason(), ", not run ", k.Failed.GetNotRun())
	}
	return "unexpected"
}

// remainingMessages receives the messages up to the last and describes them.
func (e *entry) remainingMessages() string {
	var out []string
	for {
		m := e.nextMessage()
		out = append(out, m)
		if m == "stream ended" || strings.HasPrefix(m, "end") || strings.HasPrefix(m, "failed") || strings.HasPrefix(m, "refused") {
			return strings.Join(out, "; ")
		}
	}
}

// recordCall is a handler that records how a call starts and ends. It returns when
// the call is cancelled.
func (b *testGate) recordCall(r *http.Request) {
	b.started <- r.Method
	_, err := io.ReadAll(r.Body)
	b.ended <- fmt.Sprint("body complete ", err == nil)
	<-r.Context().Done()
	b.ended <- "cancelled"
}

// countWaiting is a command that returns how many attempts wait for a slot or a
// commit.
type countWaiting struct{ call ring.Call[struct{}, int] }

func (p countWaiting) apply(_ time.Time, s *Service) {
	n := 0
	for _, d := range s.states {
		n += len(d.waiting)
	}
	p.call.Reply(n)
}

func (b *testGate) waiting() int {
	p := countWaiting{call: ring.NewCall[struct{}, int](struct{}{})}
	if err := b.gate.commands.Put(b.t.Context(), p); err != nil {
		b.t.Fatal(err)
	}
	n, _ := p.call.Wait(b.t.Context())
	return n
}

// reserveAgain requests the slot for a new attempt and describes the answer, which
// is "reserved" if the slot was released.
func (b *testGate) reserveAgain() string {
	e := b.entry()
	defer e.cancel()
	e.reserve(false, 0, time.Minute)
	return e.nextMessage()
}

// TestAnswers guards against answers that the gate changes, and against truncated
// answers that look complete.
func TestAnswers(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"503 with Retry-After", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "7")
			w.WriteHeader(http.StatusServiceUnavailable)
			io.WriteString(w, "busy")
		}},
		{"trailers", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "X-Sum")
			io.WriteString(w, "whole")
			w.Header().Set("X-Sum", "1")
		}},
		{"body shorter than its length", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			io.WriteString(w, "half")
		}},
		{"connection closed between chunks", func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, "half")
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
		{"connection closed before the head", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	} {
		b := newTestGate(t, c.handler)
		for _, commitNow := range []bool{true, false} {
			e := b.entry()
			e.reserve(commitNow, 0, time.Minute)
			first := e.nextMessage()
			if !commitNow {
				e.commit(0)
			}
			fmt.Fprintf(&out, "%s, commit now %v: %s; %s\n", c.name, commitNow, first, e.remainingMessages())
		}
		fmt.Fprintf(&out, "  next request: %s\n", b.reserveAgain())
	}
	golden.Check(t, "answers", out.String())
}

// TestSlotsReleased guards against slots that are never released, and against a
// truncated request body that looks complete to the backend server.
func TestSlotsReleased(t *testing.T) {
	start := func(e *entry, commitNow bool, length int64, remaining time.Duration) {
		e.reserve(commitNow, length, remaining)
		e.nextMessage()
		if !commitNow {
			e.commit(length)
		}
	}
	var out strings.Builder
	for _, c := range []struct {
		name string
		do   func(b *testGate) string
	}{
		{"entry's connection is lost before the commit", func(b *testGate) string {
			e := b.entry()
			e.reserve(false, 0, time.Minute)
			m := e.nextMessage()
			e.conn.Close()
			return m
		}},
		{"no commit comes", func(b *testGate) string {
			e := b.entry()
			e.reserve(false, 0, time.Minute)
			return e.remainingMessages()
		}},
		{"entry's connection is lost while it sends the body", func(b *testGate) string {
			e := b.entry()
			start(e, false, -1, time.Minute)
			e.chunk("half")
			<-b.started
			e.conn.Close()
			return <-b.ended
		}},
		{"entry cancels while it sends a body of known length", func(b *testGate) string {
			e := b.entry()
			start(e, true, 10, time.Minute)
			e.chunk("half")
			<-b.started
			e.cancel()
			return <-b.ended
		}},
		{"entry ends the stream while it sends the body", func(b *testGate) string {
			e := b.entry()
			start(e, true, -1, time.Minute)
			e.chunk("half")
			<-b.started
			e.stream.CloseSend()
			return <-b.ended + "; " + e.remainingMessages()
		}},
		{"deadline passes at the backend server", func(b *testGate) string {
			e := b.entry()
			start(e, true, 0, 100*time.Millisecond)
			return <-b.ended + "; " + <-b.ended
		}},
		{"deadline passes while waiting", func(b *testGate) string {
			e, w := b.entry(), b.entry()
			start(e, true, 0, time.Minute)
			w.reserve(true, 0, 50*time.Millisecond)
			m := w.remainingMessages()
			e.cancel()
			return m
		}},
		{"settled before the commit", func(b *testGate) string {
			e := b.entry()
			e.reserve(false, 0, time.Minute)
			m := e.nextMessage()
			raw, _ := net.Dial("tcp", b.addr)
			conn := drpcconn.New(raw)
			defer conn.Close()
			r, err := wire.NewDRPCHandoverClient(conn).Settle(b.t.Context(),
				&wire.SettleRequest{Instance: "i", Attempt: e.id, Grant: e.grant})
			e.commit(0)
			return fmt.Sprint(m, "; ", r.GetSettlement(), " ", err, "; ", e.remainingMessages())
		}},
		{"paused before the commit", func(b *testGate) string {
			e, w := b.entry(), b.entry()
			e.reserve(false, 0, time.Minute)
			m := e.nextMessage()
			w.reserve(true, 0, time.Minute)
			b.waitFor("waiting", func() bool { return b.waiting() == 2 })
			b.gate.Paused(time.Now())
			e.commit(0)
			return m + "; " + e.remainingMessages() + "; waiting: " + w.nextMessage()
		}},
	} {
		b := &testGate{}
		b = newTestGate(t, func(_ http.ResponseWriter, r *http.Request) { b.recordCall(r) })
		t.Log(c.name)
		fmt.Fprintf(&out, "%s: %s\n  next request: %s\n", c.name, c.do(b), b.reserveAgain())
	}
	golden.Check(t, "slots_return", out.String())
}

// TestStuckEntry guards against an entry that receives nothing and so keeps a slot:
// the slot must be released after the deadline. Without the release at the end of
// the context of the exchange, the slot was not released within 20 s.
func TestStuckEntry(t *testing.T) {
	piece := make([]byte, 32<<10)
	b := newTestGate(t, func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	})
	e := b.entry()
	e.reserve(true, 0, time.Second)
	e.nextMessage() // The entry receives nothing after this message.
	if got := b.reserveAgain(); got != "reserved" {
		t.Errorf("slot of a stuck entry: %s", got)
	}
}

// discardObserver is an observer that discards all observations.
type discardObserver struct{}

func (discardObserver) Bind(*kernel.Directory) error { return nil }

func (discardObserver) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (discardObserver) Observe(time.Time, health.Observation) {}
