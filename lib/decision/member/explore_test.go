package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestExplore guards against running members that stay dead in a table, and
// against stopped ones that stay alive. It injects random stops, starts, pauses,
// broken links, packet losses and wrong platform lists, and expects all tables
// to be correct within 10 minutes of the last fault.
func TestExplore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 7
		s := newSim(rapid.Uint64().Draw(rt, "seed"), n, 3)
		s.run(3*time.Second, nil)
		cut := make(map[[2]int]bool)
		loss := 0.0
		s.cut = func(from, to int) bool { return cut[[2]int{from, to}] || s.rng.Float64() < loss }
		node := rapid.IntRange(0, n-1)
		rt.Repeat(map[string]func(*rapid.T){
			"kill":    func(rt *rapid.T) { s.down[node.Draw(rt, "node")] = true },
			"restart": func(rt *rapid.T) { s.start(node.Draw(rt, "node")) },
			"resume":  func(rt *rapid.T) { s.down[node.Draw(rt, "node")] = false },
			"cut":     func(rt *rapid.T) { cut[[2]int{node.Draw(rt, "from"), node.Draw(rt, "to")}] = true },
			"heal":    func(rt *rapid.T) { clear(cut) },
			"loss":    func(rt *rapid.T) { loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(rt, "loss") },
			"gone": func(rt *rapid.T) {
				list := make(map[string]PlatformState)
				gone := node.Draw(rt, "gone")
				for i, m := range s.register {
					if i != gone {
						list[m.Name] = PlatformLive
					}
				}
				s.tables[node.Draw(rt, "node")].ApplyPlatformList(s.now, list)
			},
			"wait": func(rt *rapid.T) {
				s.run(time.Duration(rapid.IntRange(1, 20).Draw(rt, "seconds"))*time.Second, nil)
			},
			"": func(*rapid.T) {},
		})
		clear(cut)
		loss = 0
		s.down[0] = false
		s.run(10*time.Minute, s.settled)
		if !s.settled() {
			rt.Fatalf("tables are wrong 10 min after the last fault")
		}
	})
}

// TestRefutation guards against a running member that fails to refute a wrong
// update about it. The update is applied to all other tables at once.
func TestRefutation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 9
		s := newSim(rapid.Uint64().Draw(rt, "seed"), n, 3)
		s.run(3*time.Second, nil)
		accused := rapid.IntRange(0, n-1).Draw(rt, "accused")
		state := rapid.SampledFrom([]State{Suspect, Leaving, Dead}).Draw(rt, "state")
		u := s.tables[accused].self.update()
		u.State = state
		for at, tb := range s.tables {
			if at != accused {
				tb.apply(s.now, u)
			}
		}
		s.run(2*time.Minute, s.settled)
		if !s.settled() {
			rt.Fatalf("member %d is not alive in all tables", accused)
		}
	})
}

// TestCutPair guards against declaring a member dead because one link from or to
// it is broken. It tries every ordered pair of a small fleet.
func TestCutPair(t *testing.T) {
	const n = 6
	for a := range n {
		for b := range n {
			if a == b {
				continue
			}
			s := newSim(uint64(a*n+b), n, 2)
			s.cut = func(from, to int) bool { return from == a && to == b }
			s.run(time.Minute, nil)
			for i := range n {
				if s.countViews(i, Dead) > 0 {
					t.Errorf("link from %d to %d broken: another node considers member %d dead", a, b, i)
				}
			}
		}
	}
}
