package member

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/golden"
)

// Targets for one node, from the design page.
const (
	// targetBytes is the most that a node may send, in bytes per second.
	targetBytes = 7 << 10
	// targetShare is the share of a core that the control plane of a node may use.
	targetShare = 0.013
)

// TestDetection guards against slow failure detection and against traffic that
// grows with the fleet. It stops one member of each fleet and measures when the
// first, half and all of the others have declared it dead.
func TestDetection(t *testing.T) {
	checkDetection(t, "detection", []fleetSize{{25, 3}, {100, 3}, {1000, 6}})
}

// TestDetectionTarget is TestDetection for a fleet of the target size. It takes
// about a minute with the race detector, so it runs only if CASSIARACK_LONG is
// set.
func TestDetectionTarget(t *testing.T) {
	if os.Getenv("CASSIARACK_LONG") == "" {
		t.Skip("long run: set CASSIARACK_LONG=1")
	}
	checkDetection(t, "detection_target", []fleetSize{{3300, 12}})
}

type fleetSize struct{ members, dataCentres int }

func checkDetection(t *testing.T, name string, sizes []fleetSize) {
	var b strings.Builder
	fmt.Fprintln(&b, "members  first  half   all    messages/s  bytes/s  largest")
	for _, c := range sizes {
		s := newSim(uint64(c.members), c.members, c.dataCentres)
		s.run(2*time.Second, nil)
		clear(s.messages)
		clear(s.bytes)
		const quiet = 10 * time.Second
		s.run(quiet, nil)
		messages := float64(sum(s.messages)) / quiet.Seconds() / float64(c.members)
		bytes := float64(slices.Max(s.bytes)) / quiet.Seconds()
		s.down[7] = true
		var first, half time.Duration
		start := s.now
		all := s.run(2*time.Minute, func() bool {
			n := s.countViews(7, Dead)
			if n > 0 && first == 0 {
				first = s.now.Sub(start)
			}
			if n > c.members/2 && half == 0 {
				half = s.now.Sub(start)
			}
			return n == c.members-1
		})
		fmt.Fprintf(&b, "%7d  %4.1fs  %4.1fs  %4.1fs  %10.2f  %7.0f  %7d\n", c.members, first.Seconds(),
			half.Seconds(), all.Seconds(), messages, bytes, s.largest)
		if bytes > targetBytes {
			t.Errorf("%d members: %.0f bytes/s, target %d", c.members, bytes, targetBytes)
		}
		if s.largest > 1200 {
			t.Errorf("%d members: datagram of %d bytes", c.members, s.largest)
		}
	}
	golden.Check(t, name, b.String())
}

func sum(xs []int) int {
	n := 0
	for _, x := range xs {
		n += x
	}
	return n
}

// TestMerge guards against a burst of traffic, and against tables that do not
// converge, after a partition between two regions that lasted an hour.
func TestMerge(t *testing.T) {
	is := is.New(t)
	const n = 40
	s := newSim(3, n, 4)
	s.run(10*time.Second, nil)
	s.cut = func(from, to int) bool { return s.register[from].Region != s.register[to].Region }
	s.run(time.Hour, nil)
	is.Equal(s.countViews(0, Dead), n/2) // the other region has declared the members dead
	s.cut = func(int, int) bool { return false }
	clear(s.bytes)
	merged := s.run(10*time.Minute, s.settled)
	is.True(s.settled())
	rate := float64(slices.Max(s.bytes)) / merged.Seconds()
	if rate > targetBytes {
		t.Errorf("%.0f bytes/s during the merge, target %d", rate, targetBytes)
	}
	golden.Check(t, "merge", fmt.Sprintf("members %d, merged in %.1fs, %.0f bytes/s at the busiest node\n", n,
		merged.Seconds(), rate))
}

// TestUpdates guards against a result that depends on the order in which two
// updates about the same member arrive.
func TestUpdates(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	states := []State{Alive, Suspect, Leaving, Dead}
	for _, first := range states {
		for _, second := range states {
			for _, later := range []uint64{5, 6} {
				u, v := Update{Name: "b", Incarnation: 5, State: first}, Update{Name: "b", Incarnation: later, State: second}
				got, reverse := stateAfter(u, v), stateAfter(v, u)
				is.Equal(got, reverse)
				fmt.Fprintf(&b, "%v 5 and %v %d: %s\n", first, second, later, got)
			}
		}
	}
	golden.Check(t, "updates", b.String())
}

// stateAfter returns the state and incarnation of member b after the updates.
func stateAfter(us ...Update) string {
	tb := newTestTable()
	for _, u := range us {
		tb.Handle(epoch, Message{Kind: Announce, From: "c", Incarnation: 1, Source: address(3), Updates: []Update{u}})
	}
	e := tb.members["b"]
	return fmt.Sprintf("%v %d", e.State, e.Incarnation)
}

// newTestTable returns the table of member a with a register of a, b and c.
func newTestTable() *Table {
	tb := &Table{Self: Member{Name: "a", DataCentre: "x", Address: address(1), Incarnation: 100}}
	tb.SetRegister(epoch, []Member{{Name: "a", DataCentre: "x", Address: address(1)},
		{Name: "b", DataCentre: "x", Address: address(2)}, {Name: "c", DataCentre: "y", Address: address(3)}})
	return tb
}

// TestIdentity guards against wrong handling of duplicate names, reused
// addresses, restarts and the platform's list.
func TestIdentity(t *testing.T) {
	cases := []struct {
		name string
		do   func(tb *Table)
	}{
		{"refutes a suspicion of itself", func(tb *Table) {
			tb.Handle(epoch, announcement("b", 2, 50, Update{Name: "a", Incarnation: 100, State: Suspect, Address: address(1)}))
		}},
		{"refutes a declaration of its death with a later incarnation", func(tb *Table) {
			tb.Handle(epoch, announcement("b", 2, 50, Update{Name: "a", Incarnation: 200, State: Dead, Address: address(1)}))
		}},
		{"does not raise its incarnation against another node of the same name", func(tb *Table) {
			tb.Handle(epoch, announcement("b", 2, 50, Update{Name: "a", Incarnation: 200, State: Alive, Address: address(9)}))
		}},
		{"accepts a restart at the same address", func(tb *Table) {
			tb.Handle(epoch, announcement("c", 3, 50, Update{Name: "b", Incarnation: 60, State: Dead, Address: address(2)}))
			tb.Handle(epoch, announcement("b", 2, 61))
		}},
		{"ignores a message of an incarnation that is dead", func(tb *Table) {
			tb.Handle(epoch, announcement("c", 3, 50, Update{Name: "b", Incarnation: 60, State: Dead, Address: address(2)}))
			tb.Handle(epoch, announcement("b", 2, 60))
		}},
		{"declares the old name of an address dead", func(tb *Table) {
			tb.Handle(epoch, announcement("b", 2, 50))
			tb.Handle(epoch, announcement("d", 2, 70))
		}},
		{"ignores a late message of the old name", func(tb *Table) {
			tb.Handle(epoch, announcement("d", 2, 70))
			tb.Handle(epoch, announcement("b", 2, 0))
		}},
		{"declares a member missing in the list dead", func(tb *Table) {
			tb.Handle(epoch, announcement("b", 2, 50))
			tb.ApplyPlatformList(epoch.Add(time.Minute), map[string]PlatformState{"a": PlatformLive, "c": PlatformLive})
		}},
		{"keeps a member missing in the list that was heard recently", func(tb *Table) {
			tb.Handle(epoch, announcement("b", 2, 50))
			tb.ApplyPlatformList(epoch.Add(time.Second), map[string]PlatformState{"a": PlatformLive, "c": PlatformLive})
		}},
		{"accepts a new incarnation of a member that is still missing in the list", func(tb *Table) {
			tb.ApplyPlatformList(epoch, map[string]PlatformState{"a": PlatformLive, "c": PlatformLive})
			tb.Handle(epoch, announcement("b", 2, 50))
			tb.ApplyPlatformList(epoch.Add(time.Minute), map[string]PlatformState{"a": PlatformLive, "c": PlatformLive})
		}},
		{"does not mark a dead member alive because it is in the list", func(tb *Table) {
			tb.Handle(epoch, announcement("c", 3, 50, Update{Name: "b", Incarnation: 60, State: Dead, Address: address(2)}))
			tb.ApplyPlatformList(epoch, map[string]PlatformState{"a": PlatformLive, "b": PlatformLive, "c": PlatformLive})
		}},
		{"shows a member as leaving that the list has as leaving", func(tb *Table) {
			tb.ApplyPlatformList(epoch, map[string]PlatformState{"a": PlatformLive, "b": PlatformLeaving, "c": PlatformLive})
		}},
		{"ignores an empty list", func(tb *Table) { tb.ApplyPlatformList(epoch, nil) }},
		{"does not add a dead member outside the register", func(tb *Table) {
			tb.Handle(epoch, announcement("c", 3, 50, Update{Name: "z", Incarnation: 60, State: Dead, Address: address(9)}))
		}},
	}
	var b strings.Builder
	for _, c := range cases {
		tb := newTestTable()
		c.do(tb)
		fmt.Fprintf(&b, "%s:", c.name)
		for _, m := range tb.Members(epoch) {
			fmt.Fprintf(&b, " %s %v %d;", m.Name, m.State, m.Incarnation)
		}
		fmt.Fprintf(&b, " duplicates %d\n", tb.Counters().DuplicateNames)
	}
	golden.Check(t, "identity", b.String())
}

// announcement returns an announcement with updates us from the named node at
// address i.
func announcement(name string, i int, incarnation uint64, us ...Update) Message {
	return Message{Kind: Announce, From: name, Incarnation: incarnation, Source: address(i), Updates: us}
}

// TestOneWayCut guards against declaring a member dead because one other member
// cannot send to it.
func TestOneWayCut(t *testing.T) {
	s := newSim(5, 9, 3)
	s.cut = func(from, to int) bool { return from == 0 && to == 1 }
	s.run(5*time.Minute, func() bool { return s.countViews(0, Dead)+s.countViews(1, Dead) > 0 })
	if n := s.countViews(0, Dead) + s.countViews(1, Dead); n != 0 {
		t.Errorf("%d nodes consider a member of the pair dead after %v", n, s.now.Sub(epoch))
	}
}

// TestIsolated guards against a node that receives no messages and therefore
// declares the others dead.
func TestIsolated(t *testing.T) {
	is := is.New(t)
	s := newSim(6, 25, 3)
	s.run(10*time.Second, nil)
	s.cut = func(_, to int) bool { return to == 4 }
	s.run(30*time.Second, nil)
	is.True(s.tables[4].Isolated())
	for i := range s.tables {
		if i != 4 && s.countViews(i, Dead) > 0 {
			t.Errorf("another node considers member %d dead", i)
		}
	}
	s.cut = func(int, int) bool { return false }
	s.run(2*time.Minute, func() bool { return s.settled() && !s.tables[4].Isolated() })
	is.True(s.settled())
	is.True(!s.tables[4].Isolated())
}

// BenchmarkTick measures the CPU time of membership on one node of a fleet of the
// target size: ten ticks a second, the acknowledgements of its pings and two full
// messages a second from others. It fails above targetShare.
func BenchmarkTick(b *testing.B) {
	s := newSim(9, 3300, 12)
	s.run(2*time.Second, nil)
	tb := s.tables[0]
	now := s.now
	m := Message{Kind: Ping, From: "vm-0001", Incarnation: s.tables[1].Incarnation(), Source: address(1)}
	for i := range 15 {
		m.Updates = append(m.Updates, s.tables[i+2].self.update())
	}
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(simTick)
		for _, a := range tb.Tick(now, s.rng) {
			if a.Message.Kind == Ping {
				other := s.tables[s.index[a.To]]
				tb.Handle(now, Message{Kind: Ack, From: other.Self.Name, Incarnation: other.Incarnation(),
					Source: a.To, Sequence: a.Message.Sequence, Target: a.Message.Target})
			}
		}
		if i%5 == 0 {
			m.Updates[i%15].Incarnation++
			tb.Handle(now, m)
		}
	}
	share := float64(b.Elapsed()) / float64(b.N) * float64(time.Second/simTick) / float64(time.Second)
	b.ReportMetric(share*100, "%core")
	if share > targetShare {
		b.Errorf("%.2f%% of a core, target %.2f%%", share*100, targetShare*100)
	}
}
