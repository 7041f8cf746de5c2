package room

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/room"
	"cassiarack.example/lib/decision/roster"
	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
	"cassiarack.example/sidecar/notice"
	"cassiarack.example/sidecar/publication"
)

// fleet connects the services of several nodes without sockets.
type fleet struct {
	nodes  []*node
	loads  int
	across int
}

// node is a fake of the publication, the notices and the gate of a sidecar.
type node struct {
	*Service
	fleet *fleet
	state *publication.State
	down  bool
}

func (n *node) State() *publication.State                           { return n.state }
func (n *node) AttachRooms(func(now time.Time) []*wire.RoomSummary) {}
func (n *node) ReportLoad(func(l room.Load, refused int))           {}
func (n *node) Handle(notice.Handler)                               {}
func (n *node) Send(m *wire.Notice, to []netip.Addr)                { n.fleet.send(n, m, to) }
func (n *node) drain(t *testing.T, now time.Time) {
	t.Helper()
	for n.commands.Stats().Depth > 0 {
		f, err := n.commands.Take(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		f(now)
	}
}

// at is the time of all notices that are being sent.
var at time.Time

func (f *fleet) send(from *node, m *wire.Notice, to []netip.Addr) {
	if m.GetLoad() != nil {
		f.loads++
	}
	for _, n := range f.nodes {
		for _, a := range to {
			if n.Self != a || n.down {
				continue
			}
			if n.DataCentre != from.DataCentre {
				f.across++
			}
			n.handleNotice(at, from.Self, m)
		}
	}
}

// newFleet returns nodes of two data centres, with three and two nodes.
func newFleet() *fleet {
	f := &fleet{}
	list := make([]roster.Instance, 0, 5)
	for n, dataCentre := range []string{"a", "a", "a", "b", "b"} {
		list = append(list, roster.Instance{ID: fmt.Sprint(n), Service: "s", DataCentre: dataCentre, Slots: 3,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 80)})
	}
	for n, i := range list {
		st := &publication.State{Services: map[string][]roster.Instance{"s": list}}
		var remote []netip.Addr
		for _, o := range list {
			switch {
			case o.ID == i.ID:
			case o.DataCentre == i.DataCentre:
				st.DataCentrePeers = append(st.DataCentrePeers, o.Address.Addr())
			default:
				remote = append(remote, o.Address.Addr())
			}
		}
		st.RemotePeers = [][]netip.Addr{remote}
		x := &node{fleet: f, state: st}
		x.Service = &Service{Enabled: true, Self: i.Address.Addr(), DataCentre: i.DataCentre, ServiceName: "s",
			Random: rand.New(rand.NewPCG(uint64(n), 1)), Scope: tally.NoopScope, Log: log.New(io.Discard), publication: x, notices: x,
			gate: x, commands: ring.New[func(time.Time)](commandCapacity), totals: map[string]map[string]room.Sum{},
			services: map[string]*serviceRoom{}}
		f.nodes = append(f.nodes, x)
	}
	return f
}

// announce makes a node announce its state to its data centre.
func (f *fleet) announce(n *node, now time.Time) {
	a := &wire.Announcement{Age: int64(100 * time.Millisecond), Rooms: n.summaries(now)}
	f.send(n, &wire.Notice{Announcement: a}, n.state.DataCentrePeers)
}

// TestSums guards against entries that learn nothing of the load in their own or
// another data centre, against messages while the gates have room, and against refusals
// by sums of nodes that are away.
func TestSums(t *testing.T) {
	f := newFleet()
	var b strings.Builder
	for n := range 90 {
		at = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(n) * 100 * time.Millisecond)
		// From 2 s on all gates are full, with a queue and refusals. At 6 s the first
		// node of each data centre, which reads the store, stops.
		refusals := 0
		load := room.Load{Instances: 1, Slots: 3, Running: 1}
		if n >= 20 {
			load.Running, load.Waiting, refusals = 3, 6, 5
		}
		if n == 60 {
			f.nodes[0].down, f.nodes[3].down = true, true
		}
		refused := 0
		for _, x := range f.nodes {
			if x.down {
				continue
			}
			x.report(at, load, refusals)
			if (x == f.nodes[0] || x == f.nodes[3]) && n%4 == 0 {
				f.announce(x, at)
			}
			x.Observe("s", 600*time.Millisecond)
			for range 20 {
				if !x.decide(at, "s", room.Request{Priority: 1}).admitted {
					refused++
				}
			}
		}
		for _, x := range f.nodes {
			x.drain(t, at)
		}
		if n%10 == 9 {
			fmt.Fprintf(&b, "%.1f s: loads sent %d, between data centres %d, refused %d; known instances", float64(n+1)/10, f.loads, f.across, refused)
			for _, x := range f.nodes {
				var sums []room.Sum
				for _, totals := range x.totals {
					sums = append(sums, totals["s"])
				}
				fmt.Fprintf(&b, " %d", room.Combine(at, sums).Instances)
			}
			fmt.Fprintf(&b, "\n")
		}
	}
	golden.Check(t, "sums", b.String())
}

// TestOff guards against messages, handlers and refusals where the setting is off.
func TestOff(t *testing.T) {
	is := is.New(t)
	s := &Service{Log: log.New(io.Discard)}
	is.NoErr(s.Bind(nil)) // no other service is looked up
	for range 1000 {
		ok, after := s.Admit(t.Context(), "s", room.Request{})
		is.True(ok)
		is.Equal(after, time.Duration(0))
		s.Observe("s", time.Second)
	}
	is.Equal(s.commands.Stats().Depth, 0)
}
