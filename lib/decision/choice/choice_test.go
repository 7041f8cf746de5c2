package choice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// instances are the candidates of a service. The first locals ones are in the
// data centre of the chooser.
type instances struct {
	cs     []Candidate
	locals int
}

func (l *instances) Len() int           { return len(l.cs) }
func (l *instances) LocalLen() int      { return l.locals }
func (l *instances) At(i int) Candidate { return l.cs[i] }

// equalCandidates returns n candidates of weight 1 with 3 slots each.
func equalCandidates(n, locals int) *instances {
	l := &instances{locals: locals}
	for range n {
		l.cs = append(l.cs, Candidate{Weight: 1, Slots: 3})
	}
	return l
}

// TestShares guards against a policy that ignores weights, load, locality or a
// cold start. It renders the share of the choices of each candidate in percent.
func TestShares(t *testing.T) {
	cases := []struct {
		name string
		l    *instances
		edit func(cs []Candidate)
	}{
		{"equal candidates", equalCandidates(4, 0), nil},
		{"one weight is 0", equalCandidates(4, 0), func(cs []Candidate) { cs[1].Weight = 0 }},
		{"only one with a weight", equalCandidates(40, 2), func(cs []Candidate) {
			for i := range cs {
				cs[i].Weight = 0
			}
			cs[39].Weight = 1.0 / 16
		}},
		{"all weights are 0", equalCandidates(3, 1), func(cs []Candidate) {
			cs[0].Weight, cs[1].Weight, cs[2].Weight = 0, 0, 0
		}},
		{"small weight", equalCandidates(4, 0), func(cs []Candidate) { cs[0].Weight = 1.0 / 16 }},
		{"two local candidates at equal load", equalCandidates(6, 2), nil},
		{"two loaded local candidates", equalCandidates(6, 2), func(cs []Candidate) {
			cs[0].Outstanding, cs[1].Outstanding = 3, 3
		}},
		{"reported load", equalCandidates(4, 0), func(cs []Candidate) { cs[0].OthersOutstanding, cs[0].ReportedAt = 3, epoch }},
		{"old report", equalCandidates(4, 0), func(cs []Candidate) {
			cs[0].OthersOutstanding, cs[0].ReportedAt = 3, epoch.Add(-time.Second)
		}},
		{"cold start", equalCandidates(4, 0), func(cs []Candidate) { cs[0].OpenSlots = 1 }},
	}
	var b strings.Builder
	for _, c := range cases {
		if c.edit != nil {
			c.edit(c.l.cs)
		}
		fmt.Fprintf(&b, "# %s\n", c.name)
		writeShares(&b, "two choices", TwoChoices{}, c.l)
		writeShares(&b, "least outstanding", LeastOutstanding{}, c.l)
		writeShares(&b, "round robin", &RoundRobin{}, c.l)
	}
	golden.Check(t, "shares", b.String())
}

// writeShares writes the share of the choices of each candidate under a policy.
func writeShares[P Policy](b *strings.Builder, name string, p P, l *instances) {
	const n = 20_000
	ch := Chooser[P]{Policy: p, Random: rand.New(rand.NewPCG(1, 1))}
	counts := make([]int, l.Len())
	for range n {
		i, err := ch.Choose(epoch, "s", l)
		if err != nil {
			fmt.Fprintf(b, "%s: %v\n", name, err)
			return
		}
		counts[i]++
	}
	fmt.Fprintf(b, "%s:", name)
	for i, k := range counts {
		if k > 0 {
			fmt.Fprintf(b, " %d=%.0f%%", i, 100*float64(k)/n)
		}
	}
	fmt.Fprintln(b)
}

// TestRunTimes guards against estimates that are wrong by a factor, that rise by
// single stragglers, or that stay too high without new observations, and against
// a number of routes that grows without bound.
func TestRunTimes(t *testing.T) {
	var b strings.Builder
	rng := rand.New(rand.NewPCG(1, 1))
	l := &RunTimes{MaxRoutes: 2}
	now := epoch
	render := func(what, route string) {
		after, ok := l.HedgeAfter(now, route, time.Second)
		fmt.Fprintf(&b, "%s: expected %v, p95 %v, hedge after %v %v, routes %d\n", what,
			l.Expected(now, route).Round(time.Millisecond), l.P95(route).Round(5*time.Millisecond),
			after.Round(5*time.Millisecond), ok, l.Len())
	}
	render("unknown", "a")
	observe := func(route string, n int, mean, stragglers float64) {
		for range n {
			now = now.Add(time.Millisecond)
			x := mean * rng.ExpFloat64()
			if rng.Float64() < stragglers {
				x *= 50
			}
			l.Observe(now, route, seconds(x))
		}
	}
	observe("a", 10, 0.01, 0)
	render("10 observations, mean 10 ms", "a")
	observe("a", 2000, 0.01, 0)
	render("2000 more, mean 10 ms", "a")
	if got := l.P95("a").Seconds(); math.Abs(got/0.030-1) > 0.5 {
		t.Errorf("p95 %.4f s of an exponential distribution with mean 10 ms, want 0.030 s within 50%%", got)
	}
	observe("a", 2000, 0.01, 0.01)
	render("2000 more with 1% stragglers", "a")
	observe("a", 200, 0.1, 0)
	render("200 more, mean 100 ms", "a")
	now = now.Add(5 * time.Second)
	render("after 5 s without observations", "a")
	observe("b", 1, 0.01, 0)
	observe("c", 1, 0.01, 0)
	render("a third route drops the oldest", "a")
	golden.Check(t, "runtimes", b.String())
}

// benchmark measures the choice among several numbers of candidates.
func benchmark[P Policy](b *testing.B, name string, p P) {
	for _, n := range []int{12, 100, 1000} {
		b.Run(fmt.Sprint(name, "/", n), func(b *testing.B) {
			l := equalCandidates(n, n/3)
			rng := rand.New(rand.NewPCG(1, 1))
			for i := range l.cs {
				l.cs[i].Outstanding, l.cs[i].OthersOutstanding, l.cs[i].ReportedAt = rng.IntN(4), rng.IntN(4), epoch
			}
			ch := Chooser[P]{Policy: p, Random: rng}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ch.Choose(epoch, "s", l); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkChoose measures one choice.
func BenchmarkChoose(b *testing.B) {
	benchmark(b, "two choices", TwoChoices{})
	benchmark(b, "least outstanding", LeastOutstanding{})
	benchmark(b, "round robin", &RoundRobin{})
}

// BenchmarkRunTimes measures one observation and one look-up with the largest
// number of routes.
func BenchmarkRunTimes(b *testing.B) {
	var l RunTimes
	names := make([]string, DefaultMaxRoutes)
	for i := range names {
		names[i] = fmt.Sprintf("GET /service-%d/", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Observe(epoch, names[i%len(names)], time.Millisecond)
		l.Expected(epoch, names[i%len(names)])
	}
}
