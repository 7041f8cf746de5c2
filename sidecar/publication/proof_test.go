package publication

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"cassiarack.example/lib/decision/routing"
	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
	"cassiarack.example/platform/sample"
	"cassiarack.example/sidecar/notice"
)

// listen opens a socket for datagrams; a port of zero means any.
func listen(t *testing.T, address netip.Addr, port uint16) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, port)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// proofTest is a service with a fake boot clock, without its goroutine, and the socket
// of another sidecar.
type proofTest struct {
	t     *testing.T
	s     *Service
	clock time.Duration
	other *net.UDPConn
	out   strings.Builder
}

// document returns the configuration of a version as it is in the store.
func document(version int) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","routes":{"columns":["name","host","path_prefix","kind","timeout_s",`+
		`"target_latency_s","priority","service","attempts","weighted_split"],"rows":[["a","h.example","/","safe",2,1,1,"s",2,null]]},`+
		`"services":{"columns":["name"],"rows":[["s"]]}}`, version)
}

// otherSidecar is the address of the other sidecar.
var otherSidecar = netip.MustParseAddr("127.74.1.2")

func newProofTest(t *testing.T, keyRevocation time.Duration) *proofTest {
	t.Helper()
	other := listen(t, otherSidecar, 0)
	port := other.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	p := &proofTest{t: t, other: other, clock: 100 * time.Second}
	logger := log.New(&p.out)
	p.s = &Service{Self: netip.MustParseAddr("127.74.1.1"), DataCentre: "a", Port: port, KeyRevocation: keyRevocation,
		Boot: func() time.Time { return time.Unix(0, 0).Add(p.clock) }, Random: rand.New(rand.NewPCG(1, 1)),
		Scope: tally.NoopScope, Log: logger, commands: ring.New[func(time.Time)](commandCapacity),
		notices: &notice.Service{Conn: listen(t, netip.MustParseAddr("127.74.1.1"), port), Port: port, Incarnation: 1,
			Scope: tally.NoopScope, Log: log.New(io.Discard)}}
	p.s.state.Store(&State{})
	p.s.initProof()
	p.s.dataCentrePeers = []netip.Addr{otherSidecar}
	p.s.config.table = routing.Compile(&routing.Configuration{Version: 7})
	return p
}

// run executes the commands that wait for the goroutine of Run.
func (p *proofTest) run() {
	for p.s.commands.Stats().Depth > 0 {
		f, err := p.s.commands.Take(p.t.Context())
		if err != nil {
			p.t.Fatal(err)
		}
		f(time.Now())
	}
}

// sent returns the notice that the service has sent, or nil.
func (p *proofTest) sent() *wire.Notice {
	p.t.Helper()
	if err := p.other.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		p.t.Fatal(err)
	}
	buf := make([]byte, 4096)
	n, err := p.other.Read(buf)
	if err != nil {
		return nil
	}
	var m wire.Notice
	if err := proto.Unmarshal(buf[:n], &m); err != nil {
		p.t.Fatal(err)
	}
	return &m
}

// announce delivers an announcement of the other sidecar.
func (p *proofTest) announce(incarnation, version uint64, clock, age time.Duration) {
	p.s.handleAnnouncement(time.Now(), otherSidecar, &wire.Notice{Incarnation: incarnation, Announcement: &wire.Announcement{
		ConfigVersion: version, RosterDigest: p.s.roster.Digest(), Clock: int64(clock), ConfigAge: int64(age)}})
	p.run()
}

// reply delivers a reply of the other sidecar, which has version 7, to the question that
// it received.
func (p *proofTest) reply(incarnation uint64, clock, age time.Duration) {
	p.t.Helper()
	q := p.sent().GetClockRequest()
	if q == nil {
		p.t.Fatal("no question was sent")
	}
	p.s.handleClockReply(time.Now(), otherSidecar, &wire.Notice{Incarnation: incarnation, ClockReply: &wire.ClockReply{
		Nonce: q.GetNonce(), ConfigVersion: 7, Clock: int64(clock), ConfigAge: int64(age)}})
	p.run()
}

// note writes the proof and whether it is recent.
func (p *proofTest) note(what string) {
	version, provedAt := p.s.Proof()
	at := "never"
	if !provedAt.IsZero() {
		at = provedAt.Sub(time.Unix(0, 0)).String()
	}
	fmt.Fprintf(&p.out, "%v %s: version %d proved at %s, fresh %t\n", p.clock, what, version, at, p.s.Fresh(p.s.Boot()))
}

// TestAnnouncementProof guards against an announcement that proves more than it may: one
// that waited while the process was suspended, that came without an exchange or after a
// restart of its sender, or that is of another version.
func TestAnnouncementProof(t *testing.T) {
	p := newProofTest(t, 5*time.Second)
	p.announce(1, 7, 1000*time.Second, 200*time.Millisecond)
	p.note("announcement without an exchange")
	p.clock += time.Millisecond
	p.reply(1, 1000*time.Second, 200*time.Millisecond)
	p.note("reply")
	p.clock += time.Second
	p.announce(1, 7, 1001*time.Second, 100*time.Millisecond)
	p.note("announcement")
	changed := p.s.ProofChanged()
	p.clock += 10 * time.Second
	p.announce(1, 7, 1001500*time.Millisecond, 100*time.Millisecond)
	p.note("announcement from before a suspension of 10s")
	select {
	case <-changed:
	default:
		t.Error("the channel is not closed by a newer proof")
	}
	p.s.checkProof(p.s.Boot())
	p.reply(1, 1011*time.Second, time.Second)
	p.note("reply")
	p.s.checkProof(p.s.Boot())
	p.clock += time.Second
	p.announce(2, 7, 1020*time.Second, 100*time.Millisecond)
	p.note("announcement of a later incarnation")
	p.reply(2, 50*time.Second, 300*time.Millisecond)
	p.note("reply of that incarnation")
	p.clock += time.Second
	p.announce(2, 7, 51*time.Second, 200*time.Millisecond)
	p.note("announcement of that incarnation")
	p.clock += time.Second
	p.announce(2, 6, 52*time.Second, 100*time.Millisecond)
	p.note("announcement of an older version")
	p.s.proveByAnnouncement(p.s.Boot(), otherSidecar, 2, &wire.Announcement{ConfigVersion: 8,
		Clock: int64(52 * time.Second), ConfigAge: int64(100 * time.Millisecond)})
	p.note("announcement of a version that is not yet in force")
	p.announce(2, 7, 0, 0)
	p.note("announcement of a sidecar without the setting")
	golden.Check(t, "announcement", p.out.String())
}

// TestReadBoot guards against a list whose age stands still while the VM is suspended,
// and against the boot time of a list that was not taken over.
func TestReadBoot(t *testing.T) {
	p := newProofTest(t, 5*time.Second)
	is := is.New(t)
	boot := func() time.Duration { return p.s.State().ReadBoot.Sub(time.Unix(0, 0)) }
	now := time.Now()
	adopt := func(age time.Duration) {
		p.s.adoptSnapshot(now, p.s.Boot(), otherSidecar, &wire.SnapshotReply{Age: int64(age), ConfigVersion: 7, ConfigAge: 1})
	}
	adopt(time.Second)
	is.Equal(boot(), 99*time.Second)
	p.clock += 10 * time.Second
	adopt(2 * time.Second)
	is.Equal(boot(), 99*time.Second)
	p.s.config.table = routing.Compile(&routing.Configuration{Version: 8})
	p.s.publish()
	is.Equal(boot(), 99*time.Second)
	p.announce(1, 8, 0, 0)
	is.Equal(boot(), 110*time.Second)
}

// TestReplyProof guards against a proof by the arrival of a slow reply or snapshot, by
// one of another version, and by a field that the sender did not set. It also guards
// against a newer version that goes on with the proof of the older one.
func TestReplyProof(t *testing.T) {
	p := newProofTest(t, 5*time.Second)
	p.s.checkProof(p.s.Boot())
	p.clock += 3 * time.Second
	p.reply(1, 1000*time.Second, 200*time.Millisecond)
	p.note("reply after 3s")
	asked := p.s.Boot()
	snapshot := func(what string, version uint64, age time.Duration) {
		p.s.adoptSnapshot(time.Now(), asked, otherSidecar, &wire.SnapshotReply{Age: -1, ConfigVersion: version, ConfigAge: int64(age)})
		p.note("snapshot " + what)
	}
	p.clock += time.Second
	snapshot("of an older version", 6, time.Millisecond)
	snapshot("of a sidecar without the setting", 7, 0)
	snapshot("of a sidecar without a proof", 7, -1)
	snapshot("of the same version, asked 1s ago", 7, 500*time.Millisecond)
	snapshot("of a newer version that was not taken over", 8, 500*time.Millisecond)
	p.s.config.table = routing.Compile(&routing.Configuration{Version: 8})
	snapshot("that brought a newer version without a proof", 8, -1)
	fmt.Fprintf(&p.out, "states %v to others\n", time.Duration(p.s.snapshot(time.Now(), 8).GetConfigAge()))
	p.s.applyStoreConfig(asked, document(8))
	p.note("own read")
	fmt.Fprintf(&p.out, "states %v to others\n", time.Duration(p.s.snapshot(time.Now(), 8).GetConfigAge()))
	version, _ := p.s.Proof()
	fresh := p.s.Fresh(p.s.Boot())
	fmt.Fprintf(&p.out, "fresh for version 7: %t, 8: %t, 9: %t\n", fresh && version <= 7, fresh && version <= 8, fresh && version <= 9)
	later := asked.Add(500 * time.Millisecond)
	p.s.applyStoreConfig(later, document(7))
	p.note("own read of an older version")
	p.s.applyStoreConfig(later, nil)
	p.note("own read without a configuration")
	p.s.applyStoreConfig(later, []byte("{"))
	p.note("own read of an invalid configuration")
	p.s.applyStoreConfig(asked, document(9))
	p.note("own read of a newer version, which began earlier")
	golden.Check(t, "reply", p.out.String())
}

// TestRejectedProof guards against keys that stay accepted although a document that was
// rejected may revoke them, and against a proof that is lost without such a document.
func TestRejectedProof(t *testing.T) {
	for _, bound := range []time.Duration{5 * time.Second, 0} {
		p := newProofTest(t, bound)
		is := is.New(t)
		p.s.applyStoreConfig(p.s.Boot(), document(8))
		proves := func(text []byte) bool {
			p.clock += time.Second
			p.s.applyStoreConfig(p.s.Boot(), text)
			version, at := p.s.Proof()
			is.Equal(version, uint64(8))
			return at.Equal(p.s.Boot())
		}
		newer := sample.Configuration(9, `["",["Secret1"]]`)
		is.Equal(proves(newer), bound == 0)
		is.Equal(proves(newer), bound == 0) // the same document again
		is.Equal(proves([]byte(`{"version":"r9","routes":1}`)), bound == 0)
		is.True(proves([]byte(`{"version":"9"}`)))
		is.True(proves([]byte("{")))
		is.True(proves([]byte(`{"version":"r7","routes":1}`)))
		is.True(proves(document(8)))
	}
}

// TestStatements guards against announcements and replies without the clock and the age
// of the proof. Other sidecars would then live by their own questions.
func TestStatements(t *testing.T) {
	p := newProofTest(t, 5*time.Second)
	send := func(what string) {
		p.s.dataCentrePeers = []netip.Addr{otherSidecar}
		p.s.announce(time.Now())
		a := p.sent().GetAnnouncement()
		fmt.Fprintf(&p.out, "%s: announcement at %v of version %d, age %v\n", what, time.Duration(a.GetClock()),
			a.GetConfigVersion(), time.Duration(a.GetConfigAge()))
		p.s.handleClockRequest(time.Now(), otherSidecar, &wire.Notice{ClockRequest: &wire.ClockRequest{Nonce: 5}})
		r := p.sent().GetClockReply()
		fmt.Fprintf(&p.out, "%s: reply %d at %v of version %d, age %v\n", what, r.GetNonce(), time.Duration(r.GetClock()),
			r.GetConfigVersion(), time.Duration(r.GetConfigAge()))
	}
	send("without a proof")
	p.s.applyStoreConfig(p.s.Boot(), document(8))
	p.clock += 300 * time.Millisecond
	send("300ms after a read")
	golden.Check(t, "statements", p.out.String())
}

// TestOrganisationsWithoutSetting guards against a proof by the arrival of an
// announcement that waited while the process was stopped, and against sidecars that do
// not state what others need instead.
func TestOrganisationsWithoutSetting(t *testing.T) {
	p := newProofTest(t, 0)
	p.s.applyStoreConfig(p.s.Boot(), sample.Configuration(8, `["a",["Secret1"]]`))
	p.s.dataCentrePeers = []netip.Addr{otherSidecar}
	p.note("own read")
	p.clock += 3 * time.Second
	p.announce(1, 8, 1000*time.Second, 200*time.Millisecond)
	p.note("announcement without an exchange")
	q := p.sent().GetClockRequest()
	if q == nil {
		t.Fatal("no question was sent")
	}
	p.s.handleClockReply(time.Now(), otherSidecar, &wire.Notice{Incarnation: 1, ClockReply: &wire.ClockReply{
		Nonce: q.GetNonce(), ConfigVersion: 8, Clock: int64(1000 * time.Second), ConfigAge: int64(200 * time.Millisecond)}})
	p.run()
	p.note("reply")
	p.clock += 3 * time.Second
	p.announce(1, 8, 1000500*time.Millisecond, 100*time.Millisecond)
	p.note("announcement from before a stop")
	p.s.announce(time.Now())
	fmt.Fprintf(&p.out, "announced: age of the proof %v\n", time.Duration(p.sent().GetAnnouncement().GetConfigAge()))
	fmt.Fprintf(&p.out, "snapshot: age of the proof %v\n", time.Duration(p.s.snapshot(time.Now(), 8).GetConfigAge()))
	p.s.checkProof(p.s.Boot())
	fmt.Fprintf(&p.out, "asks for a proof: %t\n", p.sent().GetClockRequest() != nil)
	golden.Check(t, "organisations_without_setting", p.out.String())
}

// TestWithoutSetting guards against messages and fields that a deployment without the
// setting would pay for.
func TestWithoutSetting(t *testing.T) {
	p := newProofTest(t, 0)
	p.s.applyStoreConfig(p.s.Boot(), nil)
	p.s.checkProof(p.s.Boot())
	p.announce(1, 7, 1000*time.Second, 200*time.Millisecond)
	p.s.handleClockRequest(time.Now(), otherSidecar, &wire.Notice{ClockRequest: &wire.ClockRequest{Nonce: 5}})
	fmt.Fprintf(&p.out, "sent: %v\n", p.sent())
	p.s.announce(time.Now())
	a := p.sent().GetAnnouncement()
	fmt.Fprintf(&p.out, "announcement: clock %d, age of the proof %d\n", a.GetClock(), a.GetConfigAge())
	fmt.Fprintf(&p.out, "snapshot: age of the proof %d\n", p.s.snapshot(time.Now(), 7).GetConfigAge())
	p.note("end")
	golden.Check(t, "setting", p.out.String())
}
