package slot

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// step is one call of a gate. Its times are in milliseconds.
type step struct {
	at   int
	call string // admit, release, withdraw, tick or leave
	item string
	org  string
	// The other fields describe an admitted request; maxWait is its longest wait in
	// the queue.
	weight, expected, deadline, maxWait int
}

func shortRequest(at int, item, org string) step {
	return step{at: at, call: "admit", item: item, org: org, expected: 10, deadline: 1000, maxWait: 500}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// runSteps performs the steps and renders the decisions of the gate.
func runSteps[Q Queue[string]](g *Gate[string, Q], steps []step) string {
	var b strings.Builder
	for _, s := range steps {
		now := epoch.Add(ms(s.at))
		var ds []Decision[string]
		switch s.call {
		case "admit":
			ds = g.Admit(now, Request[string]{Item: s.item, Organisation: s.org, Weight: s.weight,
				Expected: ms(s.expected), Deadline: now.Add(ms(s.deadline)), QueueDeadline: now.Add(ms(s.maxWait))})
		case "release":
			ds = g.Release(now, s.item)
		case "withdraw":
			fmt.Fprintf(&b, "  withdrawn %v\n", g.Withdraw(s.item))
		case "leave":
			g.Leaving = true
			ds = g.Tick(now)
		default:
			ds = g.Tick(now)
		}
		fmt.Fprintf(&b, "%d ms %s %s:", s.at, s.call, s.item)
		for _, d := range ds {
			fmt.Fprintf(&b, " %s %s", d.Item, map[bool]string{true: "granted", false: string(d.Refusal)}[d.Granted])
		}
		fmt.Fprintf(&b, "; running %d of %d, waiting %d\n", g.Running(), g.OpenSlots(now), g.Waiting())
	}
	return b.String()
}

// TestDecisions guards against wrong grants and refusals. Each case covers one
// rule of the gate and its queue.
func TestDecisions(t *testing.T) {
	burst := func(n int, org string) (out []step) {
		for i := range n {
			out = append(out, shortRequest(0, fmt.Sprint(org, i), org))
		}
		return out
	}
	longRequest := func(at int, item string) step {
		return step{at: at, call: "admit", item: item, org: "a", expected: 200, deadline: 5000, maxWait: 1000}
	}
	cases := []struct {
		name  string
		slots int
		ramp  Ramp
		steps []step
	}{
		{name: "order of arrival within an organisation", slots: 1, steps: []step{
			shortRequest(0, "1", "a"), shortRequest(0, "2", "a"), shortRequest(1, "3", "a"),
			{at: 10, call: "withdraw", item: "2"}, {at: 10, call: "release", item: "1"},
			{at: 10, call: "release", item: "1"}, {at: 20, call: "release", item: "3"}}},
		{name: "refused if the deadline cannot be met", slots: 1, steps: []step{
			{call: "admit", item: "idle-gate", expected: 10, deadline: 9, maxWait: 9},
			{call: "admit", item: "runs", expected: 10, deadline: 10, maxWait: 10},
			{call: "admit", item: "queued", expected: 10, deadline: 19, maxWait: 19},
			{call: "admit", item: "fits", expected: 10, deadline: 25, maxWait: 25},
			{at: 15, call: "tick"}}},
		{name: "longest wait in the queue", slots: 1, steps: []step{shortRequest(0, "1", "a"),
			{call: "admit", item: "max-5ms", org: "a", expected: 10, deadline: 100, maxWait: 5},
			{call: "admit", item: "max-12ms", org: "a", expected: 10, deadline: 100, maxWait: 12}, {at: 12, call: "tick"}}},
		{name: "full with one organisation", slots: 1, steps: burst(6, "a")},
		{name: "an organisation with a small load displaces one with a large load", slots: 1, steps: append(burst(6, "a"),
			shortRequest(1, "b0", "b"), shortRequest(1, "b1", "b"), shortRequest(1, "b2", "b"), shortRequest(2, "a6", "a"),
			step{at: 10, call: "release", item: "a0"}, step{at: 20, call: "release", item: "b0"})},
		{name: "weights", slots: 1, steps: append(burst(5, "a"),
			step{at: 1, call: "admit", item: "b0", org: "b", weight: 4, expected: 10, deadline: 1000, maxWait: 500},
			step{at: 1, call: "admit", item: "b1", org: "b", weight: 4, expected: 10, deadline: 1000, maxWait: 500},
			step{at: 1, call: "admit", item: "b2", org: "b", weight: 4, expected: 10, deadline: 1000, maxWait: 500},
			step{at: 10, call: "release", item: "a0"}, step{at: 20, call: "release", item: "b0"},
			step{at: 30, call: "release", item: "b1"}, step{at: 40, call: "release", item: "b2"})},
		{name: "one slot is reserved for short requests", slots: 2, steps: []step{shortRequest(0, "s0", "a"),
			{at: 1, call: "release", item: "s0"}, longRequest(2, "l0"), longRequest(3, "l1"), shortRequest(4, "s1", "a"),
			{at: 5, call: "release", item: "s1"}, {at: 1500, call: "tick"}}},
		{name: "a short request that reaches the bound counts as long", slots: 2, steps: []step{shortRequest(0, "s0", "a"),
			{at: 80, call: "tick"}, longRequest(81, "l0"), shortRequest(82, "s1", "a"), {at: 83, call: "release", item: "s0"},
			{at: 84, call: "release", item: "s1"}}},
		{name: "cold start", slots: 3, ramp: Ramp{Start: epoch, Length: ms(100)}, steps: append(burst(3, "a"),
			step{at: 49, call: "tick"}, step{at: 50, call: "tick"}, step{at: 100, call: "tick"})},
		{name: "leaving", slots: 1, steps: append(burst(2, "a"), step{at: 1, call: "leave"}, shortRequest(2, "late", "a"),
			step{at: 3, call: "release", item: "a0"})},
	}
	var b strings.Builder
	for _, c := range cases {
		g := &Gate[string, *Fair[string]]{Slots: c.slots, LongBound: ms(80), Ramp: c.ramp, Queue: NewFair[string]()}
		fmt.Fprintf(&b, "# %s\n%s", c.name, runSteps(g, c.steps))
	}
	fifo := &Gate[string, *FIFO[string]]{Slots: 1, Queue: &FIFO[string]{}}
	fmt.Fprintf(&b, "# baseline\n%s", runSteps(fifo, append(burst(6, "a"), shortRequest(1, "b0", "b"),
		step{at: 10, call: "release", item: "a0"}, step{at: 1000, call: "tick"})))
	golden.Check(t, "decisions", b.String())
}

// TestConservation guards against lost requests, leaked slots and accounts that
// are never deleted. It makes random calls and compares the gate with a model.
func TestConservation(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 2))
		q := NewFair[int]()
		g := &Gate[int, *Fair[int]]{Slots: 1 + rng.IntN(4), LongBound: ms(50), Queue: q}
		now := epoch
		waiting, running := map[int]bool{}, map[int]bool{}
		record := func(ds []Decision[int]) {
			for _, d := range ds {
				if !waiting[d.Item] {
					t.Fatalf("seed %d: decision about request %d, which is not waiting", seed, d.Item)
				}
				delete(waiting, d.Item)
				if d.Granted {
					running[d.Item] = true
				}
			}
			if len(waiting) != g.Waiting() || len(running) != g.Running() || g.Running() > g.Slots {
				t.Fatalf("seed %d: %d requests wait, the gate reports %d; %d run, the gate reports %d on %d slots",
					seed, len(waiting), g.Waiting(), len(running), g.Running(), g.Slots)
			}
		}
		newest := func(m map[int]bool) int {
			best := -1
			for i := range m {
				best = max(best, i)
			}
			return best
		}
		for i := range 3000 {
			now = now.Add(ms(rng.IntN(8)))
			switch rng.IntN(5) {
			case 0, 1:
				waiting[i] = true
				record(g.Admit(now, Request[int]{Item: i, Organisation: fmt.Sprint(rng.IntN(4)), Weight: 1 + rng.IntN(3),
					Expected: ms(1 + rng.IntN(60)), Deadline: now.Add(ms(rng.IntN(300))), QueueDeadline: now.Add(ms(rng.IntN(200)))}))
			case 2, 3:
				if x := newest(running); x >= 0 {
					delete(running, x)
					record(g.Release(now, x))
				}
			default:
				if x := newest(waiting); x >= 0 {
					delete(waiting, x)
					if !g.Withdraw(x) {
						t.Fatalf("seed %d: waiting request %d was not withdrawn", seed, x)
					}
				}
				record(g.Tick(now))
			}
		}
		g.Leaving = true
		record(g.Tick(now))
		for x := range running {
			delete(running, x)
			record(g.Release(now, x))
		}
		if len(q.accounts) != 0 || q.totalWeight != 0 || q.held != 0 || q.queuedWork != [2]time.Duration{} || g.runningShortWork != 0 {
			t.Errorf("seed %d: state left after the last request: %d accounts, %d requests held, queued work %v",
				seed, len(q.accounts), q.held, q.queuedWork)
		}
	}
}

// BenchmarkGate measures one release and one admission with a full queue.
func BenchmarkGate(b *testing.B) {
	for _, slots := range []int{3, 100, 10_000} {
		b.Run(fmt.Sprint(slots), func(b *testing.B) {
			g := &Gate[int, *Fair[int]]{Slots: slots, LongBound: ms(80), Queue: NewFair[int]()}
			orgs := make([]string, 1000)
			for i := range orgs {
				orgs[i] = fmt.Sprint(i)
			}
			now := epoch
			admit := func(i int) {
				g.Admit(now, Request[int]{Item: i, Organisation: orgs[i%len(orgs)], Expected: ms(10),
					Deadline: now.Add(time.Hour), QueueDeadline: now.Add(time.Hour)})
			}
			for i := range (QueuePerSlot + 1) * slots {
				admit(i)
			}
			oldest := 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				for _, d := range g.Release(now, oldest) {
					oldest = d.Item
				}
				admit((QueuePerSlot+1)*slots + i)
			}
		})
	}
}
