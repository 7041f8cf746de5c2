package gate

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// TestInstanceState guards against a cold backend server that receives its full
// load at once, and against a bound between short and long requests that follows
// single slow requests or cancelled work.
func TestInstanceState(t *testing.T) {
	var b strings.Builder
	epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := newInstanceState()
	d.slots.Slots = 5
	show := func(what string, at time.Duration) {
		l := d.load(epoch.Add(at))
		fmt.Fprintf(&b, "%v %s: slots %d, cold %v, long bound %v\n", at, what, l.GetSlots(), l.GetCold(),
			d.slots.LongBound.Round(10*time.Millisecond))
	}
	show("start", 0)
	d.recordRun(epoch.Add(time.Second), runOutcome{portClosed: true})
	for _, at := range []time.Duration{1000, 2000, 3500, 6000} {
		show("after a refused connection at 1s", at*time.Millisecond)
	}
	for i := range 100 {
		d.recordRun(epoch.Add(7*time.Second), runOutcome{runTime: time.Duration(8+i%5) * time.Millisecond, completed: true})
	}
	show("100 runs of 10 ms", 7*time.Second)
	d.recordRun(epoch.Add(7*time.Second), runOutcome{runTime: time.Minute, completed: true})
	show("one run of 1 min", 7*time.Second)
	d.recordRun(epoch.Add(7*time.Second), runOutcome{runTime: time.Millisecond})
	show("a short run that was cancelled", 7*time.Second)
	golden.Check(t, "state", b.String())
}
