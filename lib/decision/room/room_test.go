package room

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// TestReporter guards against reports for each change, against none after a change, and
// against the load of a full gate that expires although it is unchanged.
func TestReporter(t *testing.T) {
	var r Reporter
	var b strings.Builder
	loads := []Load{{Slots: 3}, {Slots: 3, Running: 1}, {Slots: 3, Running: 3}, {Slots: 3, Running: 3, Waiting: 5}}
	for n, from := 0, 0; n < 60; n++ {
		now := epoch.Add(time.Duration(n) * 100 * ms)
		if n%15 == 0 && n > 0 {
			from++
		}
		if l := loads[from]; r.Due(now, l) {
			fmt.Fprintf(&b, "%v: reported %d running, %d waiting\n", now.Sub(epoch), l.Running, l.Waiting)
		}
	}
	golden.Check(t, "reporter", b.String())
}

// TestSums guards against loads that are used after their validity, and against a sum
// that seems younger than its oldest load.
func TestSums(t *testing.T) {
	var s Sums[int]
	var b strings.Builder
	for n := range 3 {
		s.Record(epoch.Add(time.Duration(n)*500*ms), n, "s", Load{Instances: 1, Slots: 3, Running: n, Refused: 2})
	}
	s.Record(epoch, 3, "other", Load{Instances: 1, Slots: 10})
	for _, at := range []time.Duration{1 * time.Second, 1700 * ms, 2300 * ms, 4 * time.Second} {
		now := epoch.Add(at)
		totals := s.Totals(now)
		fmt.Fprintf(&b, "%v: services %d, loads %d; s %+v of age %v\n", at, len(totals), len(s.reports), totals["s"].Load,
			now.Sub(totals["s"].At))
	}
	all := Combine(epoch, []Sum{{Load{Instances: 2}, epoch}, {Load{Instances: 3}, epoch.Add(-time.Second)}, {Load{Instances: 4}, epoch.Add(-2 * time.Second)}})
	fmt.Fprintf(&b, "combined: %d instances of age %v\n", all.Instances, epoch.Sub(all.At))
	golden.Check(t, "sums", b.String())
}

// TestFilter guards against refused calls of instances, against refusals of urgent
// requests while less urgent ones are admitted, against a kind that gets nothing, and
// against callers that all return at one moment.
func TestFilter(t *testing.T) {
	var b strings.Builder
	for _, share := range []float64{1, 0.8, 0.5, 0.2} {
		f, rng := NewFilter(), rand.New(rand.NewPCG(1, 2))
		asked, admitted := map[string]int{}, map[string]int{}
		var all, sum int
		var retries []time.Duration
		for n := range 4000 {
			now := epoch.Add(time.Duration(n) * 20 * ms)
			r := Request{Organisation: fmt.Sprint("light", n%40), OrganisationPriority: 1, Priority: n % 3}
			name := fmt.Sprintf("priority %d", r.Priority)
			switch {
			case n%10 == 0:
				r, name = Request{Nested: true, Priority: 2}, "nested"
			case n%10 < 4:
				r.Organisation, name = "heavy", fmt.Sprintf("heavy, priority %d", r.Priority)
			}
			asked[name]++
			all++
			ok, after := f.Admit(now, rng, share, r)
			if ok {
				admitted[name]++
				sum++
			} else {
				retries = append(retries, after)
			}
		}
		fmt.Fprintf(&b, "share %.1f: admitted %.3f;", share, float64(sum)/float64(all))
		for _, name := range []string{"nested", "priority 0", "heavy, priority 0", "priority 1", "heavy, priority 1", "priority 2", "heavy, priority 2"} {
			part := float64(admitted[name]) / float64(asked[name])
			fmt.Fprintf(&b, " %s %.3f", name, part)
			if part < share/4 {
				t.Errorf("share %.1f: %.3f of the kind %q are admitted, want at least a quarter of the share", share, part, name)
			}
		}
		for n, after := range retries {
			if n >= 100 && n < 104 {
				fmt.Fprintf(&b, "; retry after %v", after.Round(ms))
			}
		}
		fmt.Fprintf(&b, "\n")
	}
	golden.Check(t, "filter", b.String())
}
