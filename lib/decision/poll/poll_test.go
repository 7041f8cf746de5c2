package poll

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestSchedule guards against several nodes that read at the same time, and
// against a rank that never reads.
func TestSchedule(t *testing.T) {
	var b strings.Builder
	var s Schedule
	for _, rank := range []int{0, 1, 2, 5, 100} {
		fmt.Fprintf(&b, "rank %d reads at an age of %v\n", rank, s.Due(start, rank).Sub(start))
	}
	fmt.Fprintf(&b, "unknown state: %t\n", s.Due(time.Time{}, 3).IsZero())
	rng := rand.New(rand.NewPCG(1, 1))
	now := start
	for range 6 {
		s.RecordResult(now, rng, false)
		fmt.Fprintf(&b, "after a failure: %v\n", s.Due(time.Time{}, 0).Sub(now).Round(time.Millisecond))
	}
	s.RecordResult(now, rng, true)
	fmt.Fprintf(&b, "after a success: %v\n", s.Due(start, 0).Sub(start))
	golden.Check(t, "schedule", b.String())
}

// TestCalls simulates data centres of growing size for a minute, in which the
// node of rank 0 stops after 30 s and the store is unavailable for 5 s. It
// guards against calls that grow with the number of nodes, and against a state
// that gets older than the limit of 2 s while the store answers.
func TestCalls(t *testing.T) {
	var b strings.Builder
	for _, nodes := range []int{3, 30, 300} {
		calls, outage, oldest := simulate(nodes)
		fmt.Fprintf(&b, "%d nodes: %d calls in 50 s with the store, %.1f a node in 5 s without, state at most %v old\n", nodes,
			calls, float64(outage)/float64(nodes), oldest)
		if oldest > 2*time.Second {
			t.Errorf("%d nodes: the state was up to %v old, want at most 2 s", nodes, oldest)
		}
		if calls > 150 {
			t.Errorf("%d nodes: %d calls, want at most 150", nodes, calls)
		}
	}
	golden.Check(t, "calls", b.String())
}

func simulate(nodes int) (calls, outage int, oldest time.Duration) {
	const step = 10 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	schedules := make([]Schedule, nodes)
	known := start
	for now := start; now.Sub(start) < time.Minute; now = now.Add(step) {
		at := now.Sub(start)
		down := at >= 40*time.Second && at < 45*time.Second
		for rank := range schedules {
			dead := rank == 0 && at >= 30*time.Second
			if dead || now.Before(schedules[rank].Due(known, rank)) {
				continue
			}
			schedules[rank].RecordResult(now, rng, !down)
			if down {
				outage++
				continue
			}
			calls++
			known = now
		}
		// After the outage the backoff has to pass first.
		if at < 40*time.Second || at >= 47*time.Second {
			oldest = max(oldest, now.Sub(known))
		}
	}
	return calls, outage, oldest
}
