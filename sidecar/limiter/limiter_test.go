package limiter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/clock"
	"cassiarack.example/lib/decision/organisation"
	"cassiarack.example/lib/decision/ratelimit"
	"cassiarack.example/lib/decision/roster"
	"cassiarack.example/lib/decision/routing"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
	"cassiarack.example/sidecar/message"
	"cassiarack.example/sidecar/names"
	"cassiarack.example/sidecar/notice"
	"cassiarack.example/sidecar/publication"
)

// fakeServices implements the publication and the journal.
type fakeServices struct {
	state atomic.Pointer[publication.State]
	watch func()
}

func (f *fakeServices) Bind(*kernel.Directory) error                  { return nil }
func (f *fakeServices) Run(ctx context.Context) error                 { <-ctx.Done(); return nil }
func (f *fakeServices) State() *publication.State                     { return f.state.Load() }
func (f *fakeServices) Watch(w func())                                { f.watch = w }
func (f *fakeServices) AllowRequestLine(time.Time, string, bool) bool { return true }

// publish replaces the published VMs.
func (f *fakeServices) publish(readAt time.Time, vms []netip.Addr) {
	st := &publication.State{Table: routing.Compile(&routing.Configuration{Version: 1}), ReadAt: readAt,
		ReadBoot:  clock.Boot().Add(-time.Since(readAt)),
		Instances: make(map[string]roster.Instance)}
	for _, a := range vms {
		st.Instances[a.String()] = roster.Instance{ID: a.String(), Address: netip.AddrPortFrom(a, 80)}
	}
	f.state.Store(st)
	if f.watch != nil {
		f.watch()
	}
}

// signal closes started when the kernel has started the services that it needs.
type signal struct{ started chan struct{} }

func (s signal) Bind(*kernel.Directory) error { return nil }

func (s signal) Run(ctx context.Context) error {
	close(s.started)
	<-ctx.Done()
	return nil
}

// vm is a limiter with the services that it needs.
type vm struct {
	*Service
	fake  *fakeServices
	scope tally.TestScope
	port  uint16
	stop  func()
}

// startVM runs a limiter at an address and a port, or at any port if it is zero.
func startVM(t *testing.T, address netip.Addr, port uint16, vms []netip.Addr) *vm {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, port)))
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeServices{}
	f.publish(time.Now(), vms)
	quiet := log.New(io.Discard)
	v := &vm{fake: f, scope: tally.NewTestScope("", nil)}
	v.Service = &Service{Self: address, Shares: ratelimit.Shares{Window: 5 * time.Second, Over: 0.25, Slack: 20}, Scope: v.scope, Log: quiet}
	n := &notice.Service{Conn: conn, Port: conn.LocalAddr().(*net.UDPAddr).AddrPort().Port(), Scope: tally.NoopScope, Log: quiet}
	v.port = n.Port
	ready := signal{make(chan struct{})}
	k := &kernel.Kernel{Log: quiet, DrainTimeout: time.Second, Registrations: []kernel.Registration{
		{Name: names.Publication, Service: f}, {Name: names.Journal, Service: f}, {Name: names.Notices, Service: n},
		{Name: names.Limiter, Needs: []string{names.Notices, names.Publication, names.Journal}, Service: v.Service},
		{Name: "signal", Needs: []string{names.Limiter}, Service: ready}}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	v.stop = func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		done <- nil
	}
	t.Cleanup(v.stop)
	<-ready.started
	return v
}

func (v *vm) count(name, tag, value string) int64 {
	c := v.scope.Snapshot().Counters()[fmt.Sprintf("%s+%s=%s", name, tag, value)]
	if c == nil {
		return 0
	}
	return c.Value()
}

func request(o *organisation.Organisation) *message.Request {
	now := time.Now()
	return &message.Request{Attempt: "1", Organisation: o, ConfigVersion: 1, Received: now, Deadline: now.Add(time.Second),
		Route: &routing.Route{Name: "r"}}
}

// TestAdmit guards against a limit that does not hold over several sidecars, refusals
// without a time, and credits that are lost when a request did not run.
func TestAdmit(t *testing.T) {
	is := is.New(t)
	vms := make([]netip.Addr, 6)
	for i := range vms {
		vms[i] = netip.AddrFrom4([4]byte{127, 81, 0, byte(i + 1)})
	}
	fleet := []*vm{startVM(t, vms[0], 0, vms)}
	for _, a := range vms[1:] {
		fleet = append(fleet, startVM(t, a, fleet[0].port, vms))
	}
	o := &organisation.Organisation{Name: "a", Rate: 100, Burst: 10}
	// All buckets are empty at first.
	_, a := fleet[0].Admit(t.Context(), request(o))
	for a != nil {
		is.Equal(a.Status, 429)
		is.True(a.Header.Get("Retry-After") != "")
		time.Sleep(10 * time.Millisecond)
		_, a = fleet[0].Admit(t.Context(), request(o))
	}
	started := time.Now()
	admitted := 0
	for range 300 {
		for _, v := range fleet {
			if _, a := v.Admit(t.Context(), request(o)); a == nil {
				admitted++
			}
		}
	}
	most := 26 + 110.4*(time.Since(started).Seconds()+0.3)
	t.Logf("admitted %d of 1800 in %v, bound %.0f", admitted, time.Since(started), most)
	is.True(admitted > 0 && float64(admitted) <= most)

	time.Sleep(300 * time.Millisecond)
	p, a := fleet[1].Admit(t.Context(), request(o))
	is.True(a == nil)
	p.Return()
	// The return is handled before this request.
	_, a = fleet[1].Admit(t.Context(), request(o))
	is.True(a == nil)
	is.Equal(fleet[1].count("limit_credits", "event", "returned"), int64(1))

	unlimited := &organisation.Organisation{Name: "b"}
	for range 1000 {
		_, a = fleet[0].Admit(t.Context(), request(unlimited))
		is.True(a == nil)
	}
}

// TestNoLedger guards against a sidecar that is cut off and admits requests without end
// or lets them wait, and against one that refuses while a majority of the ledgers replies.
func TestNoLedger(t *testing.T) {
	is := is.New(t)
	vms := make([]netip.Addr, 5)
	for i := range vms {
		vms[i] = netip.AddrFrom4([4]byte{127, 82, 0, byte(i + 1)})
	}
	old := time.Now().Add(-time.Minute)
	fleet := []*vm{startVM(t, vms[0], 0, vms)}
	for _, a := range vms[1:3] {
		fleet = append(fleet, startVM(t, a, fleet[0].port, vms))
	}
	o := &organisation.Organisation{Name: "a", Rate: 1000, Burst: 50}
	// New processes grant nothing for a second.
	time.Sleep(1200 * time.Millisecond)
	fleet[0].fake.publish(old, vms)
	_, a := fleet[0].Admit(t.Context(), request(o))
	is.True(a == nil)
	for _, v := range fleet[1:] {
		v.stop()
	}
	time.Sleep(1100 * time.Millisecond)
	started := time.Now()
	_, a = fleet[0].Admit(t.Context(), request(o))
	took := time.Since(started)
	is.True(a != nil)
	is.Equal(a.Status, 503)
	is.Equal(a.Header.Get("Retry-After"), "0.300")
	t.Logf("refused after %v", took)
	is.True(took < 600*time.Millisecond)
	is.Equal(fleet[0].count("limited_requests", "outcome", "no_ledger"), int64(1))

	// With a recent list the sidecar's own bucket is enough.
	fleet[0].fake.publish(time.Now(), vms)
	_, a = fleet[0].Admit(t.Context(), request(o))
	is.True(a == nil)
}

// TestSuspendedList guards against a list that counts as recent after a suspension, in
// which the monotonic clock of ReadAt stands still.
func TestSuspendedList(t *testing.T) {
	is := is.New(t)
	f := &fakeServices{}
	s := &Service{publication: f}
	now := clock.Boot()
	f.state.Store(&publication.State{ReadAt: time.Now(), ReadBoot: now})
	is.True(s.fresh(now))
	is.True(!s.fresh(now.Add(ratelimit.FreshList)))
	f.state.Store(&publication.State{})
	is.True(!s.fresh(now))
}

// TestDropped guards against questions and replies that are dropped unseen.
func TestDropped(t *testing.T) {
	is := is.New(t)
	v := &vm{scope: tally.NewTestScope("", nil)}
	v.Service = &Service{Log: log.New(io.Discard), commands: ring.New[func(time.Time)](1), counters: newCounters(v.scope)}
	from := netip.MustParseAddr("127.0.0.1")
	for range 3 {
		v.handleNotice(time.Now(), from, &wire.Notice{CreditRequest: &wire.CreditRequest{}})
	}
	v.handleNotice(time.Now(), from, &wire.Notice{CreditReply: &wire.CreditReply{}})
	(&credit{service: v.Service}).Return()
	for command, want := range map[string]int64{"question": 2, "reply": 1, "return": 1} {
		is.Equal(v.count("limit_commands_dropped", "command", command), want)
	}
}

// TestMessages guards against a limit from a datagram that grants without end, and
// against names that are no UTF-8.
func TestMessages(t *testing.T) {
	is := is.New(t)
	q := &ratelimit.Question{Organisation: "a\xff", Nonce: 7, Wanted: 3, Limit: ratelimit.Limit{Rate: 1.5, Burst: 2, Version: 4}}
	back, ok := decodeQuestion(encodeQuestion(q))
	is.True(ok)
	is.Equal(back, *q)
	inf := 1e308
	inf *= 10
	for _, rate := range []float64{-1, inf, inf - inf} {
		_, ok = decodeQuestion(&wire.CreditRequest{Rate: rate})
		is.True(!ok)
	}
	g := ratelimit.Grant{RetryAfter: time.Second, NotLedger: true}
	is.Equal(decodeGrant(encodeGrant(7, g)), g)
}
