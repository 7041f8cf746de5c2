package belief

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestFilter guards against an estimate that needs many failures to rise, that
// falls on a single success while failures continue, or that does not return to
// the prior without evidence.
func TestFilter(t *testing.T) {
	cases := []struct {
		name string
		// outcomes holds one event per 200 ms: o is a success, x a failure, n a
		// failure that a nested call explains, and . no event.
		outcomes string
	}{
		{"unknown", "....."},
		{"successes", "ooooo"},
		{"one failure", "ooooox....."},
		{"failures", "oooooxxx"},
		{"recovery", "oooooxxx.....oo"},
		{"one success in an episode", "xxxxoxx"},
		{"nested failures", "ooooonnn"},
		{"8 s without evidence", "ooooox" + strings.Repeat(".", 40)},
	}
	var b strings.Builder
	for _, tc := range cases {
		f := Filter{Model: DefaultModel}
		now := start
		fmt.Fprintf(&b, "%s:", tc.name)
		for _, o := range tc.outcomes {
			switch o {
			case 'o':
				f.Observe(now, false, 1)
			case 'x':
				f.Observe(now, true, 1)
			case 'n':
				f.Observe(now, true, 0.15)
			}
			fmt.Fprintf(&b, " %c%.2f", o, f.FailingProbability(now))
			now = now.Add(200 * time.Millisecond)
		}
		b.WriteString("\n")
	}
	golden.Check(t, "filter", b.String())
}

// TestBaseline compares the filter with a rule that excludes an instance for
// two seconds after any failure, on instances that fail 85% of their requests
// in episodes. It guards against a filter that is worse than the rule in the
// sum of requests sent to failing instances and good time excluded.
func TestBaseline(t *testing.T) {
	const (
		instances = 200
		seconds   = 120
		threshold = 0.5
	)
	var b strings.Builder
	for _, rate := range []float64{1, 5, 20} {
		filter, rule := simulate(rate, instances, seconds, threshold)
		fmt.Fprintf(&b, "%g requests/s: filter sends %.1f%% of requests to failing instances and excludes %.1f%% of good time; rule %.1f%% and %.1f%%\n",
			rate, filter.bad, filter.lost, rule.bad, rule.lost)
		if filter.bad+filter.lost > rule.bad+rule.lost {
			t.Errorf("at %g requests/s the filter has a sum of %.1f%%, worse than the rule with %.1f%%", rate,
				filter.bad+filter.lost, rule.bad+rule.lost)
		}
	}
	golden.Check(t, "baseline", b.String())
}

// share holds two percentages: bad is the share of the sent requests that met a
// failing instance, and lost the share of the good time in which the instance
// was excluded.
type share struct{ bad, lost float64 }

// simulate runs the filter and the rule on independent instances. An excluded
// instance still gets one test request each 600 ms.
func simulate(rate float64, instances int, seconds, threshold float64) (filter, rule share) {
	rng := rand.New(rand.NewPCG(1, 2))
	var sent, bad, good, lost [2]float64
	for range instances {
		f := Filter{Model: DefaultModel}
		var until, tested [2]time.Time
		failing := false
		step := time.Duration(float64(time.Second) / rate)
		for now := start; now.Sub(start).Seconds() < seconds; now = now.Add(step) {
			mean := DefaultModel.MeanGood
			if failing {
				mean = DefaultModel.MeanFailing
			}
			if rng.Float64() < step.Seconds()/mean.Seconds() {
				failing = !failing
			}
			p := 0.012
			if failing {
				p = 0.85
			}
			failed := rng.Float64() < p
			out := [2]bool{f.FailingProbability(now) >= threshold, now.Before(until[1])}
			for k := range 2 {
				if !failing {
					good[k]++
					if out[k] {
						lost[k]++
					}
				}
				test := out[k] && now.Sub(tested[k]) >= 600*time.Millisecond
				if out[k] && !test {
					continue
				}
				tested[k] = now
				sent[k]++
				if failing {
					bad[k]++
				}
				if k == 0 {
					f.Observe(now, failed, 1)
				} else if failed {
					until[1] = now.Add(2 * time.Second)
				}
			}
		}
	}
	result := func(k int) share { return share{100 * bad[k] / sent[k], 100 * lost[k] / good[k]} }
	return result(0), result(1)
}

// TestHang guards against instances that hang on part of their requests and are
// still taken for good, and against the exclusion of an instance for a single
// straggler.
func TestHang(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var b strings.Builder
	f := Filter{Model: DefaultModel}
	note := func(what string) { fmt.Fprintf(&b, "%s: failing %.2f\n", what, f.FailingProbability(now)) }
	for range 3 {
		f.Observe(now, false, 1)
	}
	note("three successes")
	for n := range 3 {
		now = now.Add(300 * time.Millisecond)
		f.Observe(now, true, HangWeight)
		note(fmt.Sprintf("overdue runs %d", n+1))
	}
	f.Observe(now, false, 1)
	note("one overdue run succeeds")
	for _, expected := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, time.Second} {
		fmt.Fprintf(&b, "expected %v, overdue after %v\n", expected, HangAfter(expected))
	}
	golden.Check(t, "hang", b.String())
}
