package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cassiarack.example/lib/decision/choice"
	"cassiarack.example/lib/decision/retry"
)

// TestFairShares guards against an organisation that takes the capacity of the
// others: one of ten sends 20 times its share, the others send their share.
func TestFairShares(t *testing.T) {
	const organisations, factor = 10, 20
	s := base
	s.duration = time.Duration(scale(t) * float64(4*time.Second))
	share := s.capacity() / organisations
	s.rate = func(time.Duration) float64 { return (organisations - 1 + factor) * share }
	s.drawOrganisation = func(rng *rand.Rand) string {
		return fmt.Sprint(max(0, rng.IntN(organisations-1+factor)-factor+1))
	}
	// lowest returns the lowest answered share of the demand among the nine others,
	// and the answered share of the organisation that sends too much.
	lowest := func(calls []*call) (low, heavy float64) {
		sent, got := make([]int, organisations), make([]int, organisations)
		for _, c := range calls {
			i := int(c.organisation[0] - '0')
			sent[i]++
			if c.done {
				got[i]++
			}
		}
		low = 1
		for i := 1; i < organisations; i++ {
			low = min(low, float64(got[i])/float64(sent[i]))
		}
		return low, float64(got[0]) / float64(sent[0])
	}
	m, b := newCurrentModel(s), newBaselineModel(s)
	m.run()
	b.run()
	got, heavy := lowest(m.calls)
	baseline, baselineHeavy := lowest(b.calls)
	used := goodput(s, m.calls, 0, s.duration)
	t.Logf("lowest answered share of the demand %.3f, baseline %.3f; "+
		"overloading organisation %.3f, baseline %.3f; use of capacity %.3f",
		got, baseline, heavy, baselineHeavy, used)
	if got < 0.95 {
		t.Errorf("an organisation within its share got answers to %.3f of its demand, want at least 0.95", got)
	}
	if used < 0.95 {
		t.Errorf("goodput is %.3f of the capacity, want at least 0.95", used)
	}
}

// TestBudgetsWhenAllFails guards against retries and hedges that multiply the
// load when every request fails.
func TestBudgetsWhenAllFails(t *testing.T) {
	// In addition to its share, each entry gets one first token and this many
	// tokens per second.
	const floorRate = 1.0
	for _, load := range []float64{0.01, 0.5, 3} {
		s := base
		s.failing = true
		s.duration = time.Duration(scale(t) * float64(2*time.Second))
		s.rate = func(time.Duration) float64 { return load * s.capacity() }
		m, b := newCurrentModel(s), newBaselineModel(s)
		m.run()
		b.run()
		requests := float64(m.counts.requests)
		extra := float64(s.entries) * floorRate * (1 + s.duration.Seconds() + s.timeout.Seconds())
		t.Logf("load %.2f: %d requests, %d retries (%.3f), %d hedges (%.3f), "+
			"baseline %d retries (%.3f); minimum allowance %.0f", load,
			m.counts.requests, m.counts.retries, float64(m.counts.retries)/requests, m.counts.hedges,
			float64(m.counts.hedges)/requests, b.counts.retries, float64(b.counts.retries)/float64(b.counts.requests), extra)
		if n := float64(m.counts.retries); n > retry.RetryShare*requests+extra {
			t.Errorf("load %.2f: %.0f retries for %.0f requests exceed the budget", load, n, requests)
		}
		if n := float64(m.counts.hedges); n > retry.HedgeShare*requests+extra {
			t.Errorf("load %.2f: %.0f hedges for %.0f requests exceed the budget", load, n, requests)
		}
	}
}

// TestPolicies guards against refusals below capacity: at a load of 0.7 nearly all
// calls must be answered. It also logs the p99 of the policy in use and of the
// baselines with the same queues.
func TestPolicies(t *testing.T) {
	s := base
	s.duration = time.Duration(scale(t) * float64(2*time.Second))
	s.rate = func(time.Duration) float64 { return 0.7 * s.capacity() }
	a := newModel(s, func() choice.TwoChoices { return choice.TwoChoices{} }, newFairQueue)
	b := newModel(s, func() choice.LeastOutstanding { return choice.LeastOutstanding{} }, newFairQueue)
	c := newModel(s, func() *choice.RoundRobin { return &choice.RoundRobin{} }, newFairQueue)
	a.run()
	b.run()
	c.run()
	for _, x := range []struct {
		name  string
		calls []*call
	}{{"two choices", a.calls}, {"least outstanding", b.calls}, {"round robin", c.calls}} {
		d, lost := p99(x.calls)
		t.Logf("%s: p99 %v, without an answer %.4f", x.name, d, lost)
	}
	if got := answeredShare(a.calls, 0, s.duration); got < 0.99 {
		t.Errorf("%.4f of the calls answered at 0.7 of the capacity, want at least 0.99", got)
	}
}
