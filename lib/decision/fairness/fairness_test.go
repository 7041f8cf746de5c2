package fairness

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

// TestUse guards against use that does not decay, and against running requests that
// do not count or count after their end.
func TestUse(t *testing.T) {
	u := Use[string]{HalfLife: 2 * time.Second, Limit: 8}
	var b strings.Builder
	show := func(at time.Duration, what string) {
		now := epoch.Add(at)
		fmt.Fprintf(&b, "%v %s: a %v, b %v, all %v, %d holders\n", at, what, u.Recent(now, "a").Round(ms),
			u.Recent(now, "b").Round(ms), u.Total(now).Round(ms), u.Holders())
	}
	u.Begin(epoch, "a", 200*ms)
	show(0, "a begins")
	u.Begin(epoch.Add(100*ms), "b", 300*ms)
	show(100*ms, "b begins")
	u.End(epoch.Add(500*ms), "a", 200*ms, 500*ms)
	show(500*ms, "a ends after 500 ms")
	show(2500*ms, "a half-life later")
	u.End(epoch.Add(2500*ms), "b", 300*ms, 0)
	u.End(epoch.Add(2500*ms), "b", 300*ms, time.Second)
	show(2500*ms, "b ends without use, and once more")
	show(30*time.Second, "long after")
	golden.Check(t, "use", b.String())
}

// TestUseBound guards against memory that grows with the number of organisations, and
// against dropping those that use the most or still run.
func TestUseBound(t *testing.T) {
	u := Use[int]{HalfLife: 2 * time.Second, Limit: 16}
	u.Begin(epoch, -1, 0)
	for n := range 1000 {
		now := epoch.Add(time.Duration(n) * ms)
		u.Begin(now, n, 10*ms)
		u.End(now, n, 10*ms, 10*ms)
		u.Begin(now, -2, 200*ms)
		u.End(now, -2, 200*ms, 200*ms)
		if u.Holders() > 17 {
			t.Fatalf("%d holders are kept, want at most 17", u.Holders())
		}
	}
	if got := u.Recent(epoch.Add(time.Second), -2); got < 100*time.Second {
		t.Errorf("the use of the largest holder is %v, want at least 100 s", got)
	}
	u.End(epoch.Add(time.Second), -1, 0, time.Second)
	if got := u.Recent(epoch.Add(time.Second), -1); got != time.Second {
		t.Errorf("the use of the holder whose request ran all the time is %v, want 1 s", got)
	}
}

// TestGrants guards against a holder that counts as neglected after few requests, or
// although its part is close to that of all, and against one that never does.
func TestGrants(t *testing.T) {
	g := Grants[string]{HalfLife: 2 * time.Second, Limit: 8}
	var b strings.Builder
	for n := range 13 {
		now := epoch.Add(time.Duration(n) * 100 * ms)
		g.Request(now, "never")
		g.Request(now, "half")
		g.Request(now, "always")
		g.Grant(now, "always", 1)
		if n%2 == 0 {
			g.Grant(now, "half", 1)
		}
		if n%3 == 0 {
			fmt.Fprintf(&b, "%d: below half of all: never %t, half %t, always %t\n", n+1, g.Below(now, "never", 0.5*g.Part(now)),
				g.Below(now, "half", 0.5*g.Part(now)), g.Below(now, "always", 0.5*g.Part(now)))
		}
	}
	later := epoch.Add(20 * time.Second)
	fmt.Fprintf(&b, "long after: never %t\n", g.Below(later, "never", 0.5*g.Part(later)))
	golden.Check(t, "grants", b.String())
}

// TestLevel guards against a level that gives more than the capacity or leaves some.
func TestLevel(t *testing.T) {
	var b strings.Builder
	for _, c := range []float64{-1, 0, 3, 6, 10, 11} {
		fmt.Fprintf(&b, "capacity %v, demands 1, 2, 3, 5: level %.2f\n", c, Level(c, []float64{5, 1, 3, 2}))
	}
	golden.Check(t, "level", b.String())
}
