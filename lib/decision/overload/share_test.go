package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cassiarack.example/lib/decision/choice"
	"cassiarack.example/lib/decision/retry"
)

// TestFairShares guards against an organisation that takes the capacity of
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
	// lowest returns the lowest share of its demand that one of the others got.
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
	was, heavyWas := lowest(b.calls)
	used := goodput(s, m.calls, 0, s.duration)
	t.Logf("lowest share of its demand %.3f, baseline %.3f; heavy organisation %.3f, baseline %.3f; use of capacity %.3f",
		got, was, heavy, heavyWas, used)
	if got < 0.95 {
		t.Errorf("an organisation got %.3f of its demand, want 0.95", got)
	}
	if used < 0.95 {
		t.Errorf("%.3f of the capacity used, want 0.95", used)
	}
}

// TestBudgetsWhenAllFails guards against retries and hedges that multiply the
// load when every run fails.
func TestBudgetsWhenAllFails(t *testing.T) {
	// The floor and the first tokens of each entry come on top of the shares.
	const floor = 1.0
	for _, load := range []float64{0.01, 0.5, 3} {
		s := base
		s.failing = true
		s.duration = time.Duration(scale(t) * float64(2*time.Second))
		s.rate = func(time.Duration) float64 { return load * s.capacity() }
		m, b := newCurrentModel(s), newBaselineModel(s)
		m.run()
		b.run()
		fresh := float64(m.counts.requests)
		extra := float64(s.entries) * floor * (1 + s.duration.Seconds() + s.timeout.Seconds())
		t.Logf("load %.2f: %d fresh, %d retries (%.3f), %d hedges (%.3f), baseline %d retries (%.3f); floor %.0f", load,
			m.counts.requests, m.counts.retries, float64(m.counts.retries)/fresh, m.counts.hedges,
			float64(m.counts.hedges)/fresh, b.counts.retries, float64(b.counts.retries)/float64(b.counts.requests), extra)
		if n := float64(m.counts.retries); n > retry.RetryShare*fresh+extra {
			t.Errorf("load %.2f: %.0f retries of %.0f fresh requests", load, n, fresh)
		}
		if n := float64(m.counts.hedges); n > retry.HedgeShare*fresh+extra {
			t.Errorf("load %.2f: %.0f hedges of %.0f fresh requests", load, n, fresh)
		}
	}
}

// TestPolicies compares the policy in use with the baselines on the same
// queues at a load of 0.7, and guards against refusals below capacity.
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
		t.Errorf("%.4f answered at 0.7 of the capacity, want 0.99", got)
	}
}
