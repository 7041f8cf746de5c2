package retry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// TestBounds guards against budgets, delays, waits and numbers of offers that
// exceed their bounds.
func TestBounds(t *testing.T) {
	var b strings.Builder
	for _, rate := range []int{0, 1, 10, 1000} {
		budget, got := Budget{Share: RetryShare}, 0
		for i := range 10 * 1000 {
			now := epoch.Add(ms(i))
			if rate > 0 && i%(1000/rate) == 0 {
				budget.Deposit(now)
			}
			if budget.Withdraw(now) {
				got++
			}
		}
		fmt.Fprintf(&b, "budget: %d new requests per second for 10 s: %d retries\n", rate, got)
	}
	idle := Budget{Share: RetryShare}
	for i := range 10_000 {
		idle.Deposit(epoch.Add(ms(i)))
	}
	n := 0
	for idle.Withdraw(epoch.Add(ms(10_000))) {
		n++
	}
	fmt.Fprintf(&b, "budget: burst of %d after 10000 new requests\n", n)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, k := range []int{0, 1, 5, 40} {
		var low, high, sum time.Duration = time.Hour, 0, 0
		for range 10_000 {
			d := Backoff(rng, k)
			low, high, sum = min(low, d), max(high, d), sum+d
		}
		fmt.Fprintf(&b, "backoff %d: %v to %v, mean %v\n", k, low.Round(time.Millisecond), high.Round(time.Millisecond),
			(sum / 10_000).Round(time.Millisecond))
	}
	for _, c := range []struct{ expected, remaining int }{{0, 1000}, {10, 1000}, {200, 1000}, {200, 300}, {200, 100}} {
		fmt.Fprintf(&b, "longest wait: expected %d ms, %d ms left: short %v, long %v\n", c.expected, c.remaining,
			Offer{}.MaxWait(ms(c.expected), ms(c.remaining)), Offer{LongWait: true}.MaxWait(ms(c.expected), ms(c.remaining)))
	}
	for _, gates := range []int{1, 3, 12, 1000} {
		fmt.Fprintf(&b, "offers at %d gates:", gates)
		for n := 0; ; n++ {
			m, ok := NextOffer(n, gates)
			if !ok {
				break
			}
			fmt.Fprintf(&b, " %s%s", map[bool]string{false: "short", true: "long"}[m.LongWait], map[bool]string{true: " including refused"}[m.IncludeRefused])
		}
		fmt.Fprintln(&b)
	}
	golden.Check(t, "rules", b.String())
}

// TestSaturation guards against an entry node that refuses requests for too
// long, or that refuses the requests of other organisations.
func TestSaturation(t *testing.T) {
	var b strings.Builder
	var s Saturation
	rng := rand.New(rand.NewPCG(1, 1))
	show := func(at int) {
		now := epoch.Add(ms(at))
		fmt.Fprintf(&b, "%d ms: heavy refused %v, light refused %v, recently full %v\n", at, s.RemainingRefusal(now, "heavy") > 0,
			s.RemainingRefusal(now, "light") > 0, s.RecentlyFull(now))
	}
	show(0)
	if d := s.RecordFull(epoch, rng, "heavy", time.Hour); d >= maxRefusal {
		t.Errorf("refused for %v, want below %v", d, maxRefusal)
	}
	show(0)
	show(100)
	show(1000)
	for i := range 3 * maxOrganisations {
		s.RecordFull(epoch.Add(ms(2000)), rng, fmt.Sprint(i), time.Second)
	}
	fmt.Fprintf(&b, "organisations refused: %d\n", len(s.refusedUntil))
	golden.Check(t, "saturation", b.String())
}

// TestInflight guards against one organisation that uses the whole limit of an
// entry node, and against requests that stay counted after their end.
func TestInflight(t *testing.T) {
	var b strings.Builder
	var f Inflight
	began := make(map[string]int)
	begin := func(name string, weight, n int) {
		got := 0
		for range n {
			if f.Begin(name, weight, 10) {
				got++
			}
		}
		began[name] += got
		fmt.Fprintf(&b, "%s of weight %d: %d of %d admitted, %d in flight\n", name, weight, got, n, f.total)
	}
	begin("heavy", 1, 20)
	begin("light", 1, 20)
	begin("weighty", 2, 20)
	begin("heavy", 1, 1)
	begin("late", 1, 20)
	for name, n := range began {
		for range n + 1 {
			f.End(name)
		}
	}
	if f.total != 0 || f.totalWeight != 0 || len(f.organisations) != 0 {
		t.Errorf("requests still counted after the end of all: %+v", f)
	}
	golden.Check(t, "inflight", b.String())
}
