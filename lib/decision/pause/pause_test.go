package pause

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// TestTick guards against missing a pause that only one of the clocks shows, and
// against reporting a pause because the wall clock was set back.
func TestTick(t *testing.T) {
	const tick = 100 * time.Millisecond
	cases := []struct {
		name            string
		monotonic, wall time.Duration
	}{
		{"regular tick", tick, tick},
		{"late tick", 500 * time.Millisecond, 500 * time.Millisecond},
		{"no CPU time", 501 * time.Millisecond, 501 * time.Millisecond},
		{"VM suspended, monotonic clock stopped", tick, time.Hour},
		{"wall clock set back during a pause", 2 * time.Second, -time.Hour},
		{"wall clock set back", tick, -time.Hour},
		{"wall clock set forward by 400 ms", tick, 400 * time.Millisecond},
	}
	start := time.Unix(1_700_000_000, 0)
	var b strings.Builder
	for _, c := range cases {
		var w Detector
		if _, paused := w.Tick(start, start); paused {
			t.Error("the first tick was reported as a pause")
		}
		p, paused := w.Tick(start.Add(c.monotonic), start.Add(c.wall))
		fmt.Fprintf(&b, "%s: pause %v, %v\n", c.name, paused, p.Length)
		if _, again := w.Tick(start.Add(c.monotonic+tick), start.Add(c.wall+tick)); again {
			t.Errorf("%s: the pause was reported twice", c.name)
		}
	}
	golden.Check(t, "tick", b.String())
}
