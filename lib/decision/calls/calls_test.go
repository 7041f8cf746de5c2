package calls

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// TestPerRun guards against requests of clients that are taken for calls of the instance,
// and against calls that are missed.
func TestPerRun(t *testing.T) {
	cases := []struct {
		name string
		// runs and requests are the rates per second of runs and of clients' requests to
		// another service.
		runs, requests float64
		runTime        time.Duration
		// A part of the runs makes calls each.
		part  float64
		calls int
	}{
		{"no calls", 4, 3, 100 * time.Millisecond, 0, 0},
		{"no calls, rarely idle", 12, 3, 250 * time.Millisecond, 0, 0},
		{"calls of all runs", 4, 0, 100 * time.Millisecond, 1, 1},
		{"two calls of most runs", 4, 2, 100 * time.Millisecond, 0.7, 2},
		{"few calls among many requests", 2, 20, 100 * time.Millisecond, 0.5, 1},
		{"never idle", 4, 2, 10 * time.Second, 0.7, 2},
		{"too few runs", 0.01, 3, 100 * time.Millisecond, 1, 1},
	}
	var b strings.Builder
	for _, tc := range cases {
		rng := rand.New(rand.NewPCG(1, 2))
		var e Estimator
		now := time.Unix(0, 0)
		var ends []time.Time
		for end := now.Add(2 * time.Minute); now.Before(end); {
			now = now.Add(time.Duration(rng.ExpFloat64() / (tc.runs + tc.requests) * float64(time.Second)))
			for len(ends) > 0 && ends[0].Before(now) {
				e.End(ends[0], true)
				ends = ends[1:]
			}
			if rng.Float64()*(tc.runs+tc.requests) < tc.requests {
				e.Request(now, "other")
				continue
			}
			e.Start(now)
			ends = append(ends, now.Add(tc.runTime))
			if rng.Float64() < tc.part {
				for range tc.calls {
					e.Request(now, "other")
				}
			}
		}
		fmt.Fprintf(&b, "%s:", tc.name)
		for service, n := range e.PerRun(now) {
			fmt.Fprintf(&b, " %s %.1f", service, n)
		}
		b.WriteString("\n")
	}
	golden.Check(t, "perRun", b.String())
}

// TestRefusedRuns guards against runs that the instance refused and that lower the number
// of calls of the others.
func TestRefusedRuns(t *testing.T) {
	var e Estimator
	now := time.Unix(0, 0)
	for n := range 3 * minRuns {
		now = now.Add(time.Second)
		e.Start(now)
		executed := n%3 == 0
		if executed {
			e.Request(now, "other")
		}
		now = now.Add(time.Millisecond)
		e.End(now, executed)
	}
	for service, n := range e.PerRun(now) {
		if service != "other" || n != 1 {
			t.Errorf("%s %f, want other 1", service, n)
		}
	}
}

// TestChange guards against an estimate that does not follow a change of the calls, and
// against services that are kept although nothing is sent to them any more.
func TestChange(t *testing.T) {
	var e Estimator
	now := time.Unix(0, 0)
	var b strings.Builder
	for n := range 10 * maxRuns {
		now = now.Add(50 * time.Millisecond)
		e.Start(now)
		if n < maxRuns {
			e.Request(now, "first")
		} else {
			e.Request(now, "second")
			e.Request(now, "second")
		}
		now = now.Add(time.Millisecond)
		e.End(now, true)
		if n == maxRuns-1 || n == 2*maxRuns || n == 10*maxRuns-1 {
			fmt.Fprintf(&b, "after %d runs:", n+1)
			for service, perRun := range e.PerRun(now) {
				fmt.Fprintf(&b, " %s %.2f", service, perRun)
			}
			fmt.Fprintf(&b, ", %d services\n", len(e.services))
		}
	}
	golden.Check(t, "change", b.String())
}
