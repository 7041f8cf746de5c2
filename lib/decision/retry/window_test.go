package retry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/golden"
)

// TestWindowBudget guards against repeats of all nodes that together exceed the
// budget in some window, however the traffic is spread over the nodes.
func TestWindowBudget(t *testing.T) {
	is := is.New(t)
	const (
		nodes  = 27
		ratio  = 0.2
		slack  = 64.0
		length = 10 * time.Second
	)
	rng := rand.New(rand.NewPCG(3, 4))
	windows := make([]WindowBudget, nodes)
	for i := range windows {
		windows[i] = WindowBudget{Length: length, Ratio: ratio}
	}
	var all WindowBudget
	all.Length = length
	now := time.Unix(0, 0)
	for range 20000 {
		now = now.Add(time.Duration(rng.Int64N(int64(40 * time.Millisecond))))
		// A few nodes carry most of the traffic.
		w := &windows[min(rng.IntN(nodes), rng.IntN(nodes))]
		w.RecordRequest(now)
		all.RecordRequest(now)
		if rng.IntN(2) == 0 && w.Allow(now, slack/nodes, 0) {
			all.repeats = append(dropBefore(all.repeats, now.Add(-length)), now)
		}
		all.repeats, all.requests = dropBefore(all.repeats, now.Add(-length)), dropBefore(all.requests, now.Add(-length))
		is.True(float64(len(all.repeats)) <= ratio*float64(len(all.requests))+slack)
	}
}

// TestWindowBudgetReserve guards against a caller with a reserve that uses up
// the repeats that others need.
func TestWindowBudgetReserve(t *testing.T) {
	is := is.New(t)
	w := WindowBudget{Length: time.Second, Ratio: 0}
	now := time.Unix(0, 0)
	is.True(!w.Allow(now, 2, 1.5))
	is.True(w.Allow(now, 2, 0))
	is.Equal(w.Remaining(now, 2), 1.0)
	is.Equal(w.Remaining(now.Add(2*time.Second), 2), 2.0)
}

// TestWindowBudgetRestarts guards against repeats above the budget in a rolling
// restart: each new process knows nothing of the repeats of the one before it. With
// the slack from the start on, the budget was exceeded within the first windows.
func TestWindowBudgetRestarts(t *testing.T) {
	is := is.New(t)
	const (
		nodes   = 21
		ratio   = 0.2
		slack   = 56.0
		length  = 10 * time.Second
		restart = 500 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(5, 6))
	windows := make([]WindowBudget, nodes)
	for i := range windows {
		windows[i] = WindowBudget{Length: length, Ratio: ratio}
	}
	all := WindowBudget{Length: length}
	now := time.Unix(0, 0)
	next, restarted, allowed := now.Add(2*length), 0, 0
	for range 5000 {
		now = now.Add(time.Duration(rng.Int64N(int64(40 * time.Millisecond))))
		if now.After(next) {
			windows[restarted%nodes] = WindowBudget{Length: length, Ratio: ratio, Started: now}
			next, restarted = now.Add(restart), restarted+1
		}
		w := &windows[rng.IntN(nodes)]
		w.RecordRequest(now)
		all.RecordRequest(now)
		// Each request asks for repeats, as when most instances fail.
		for w.Allow(now, slack/nodes, 0) {
			all.repeats = append(all.repeats, now)
			allowed++
		}
		all.repeats = dropBefore(all.repeats, now.Add(-length))
		is.True(float64(len(all.repeats)) <= ratio*float64(len(all.requests))+slack)
	}
	is.True(restarted > 2*nodes && allowed > 0)
}

// TestWindowBudgetShares guards against one organisation that uses up the repeats
// which others need, and against a bound on an organisation that is alone.
func TestWindowBudgetShares(t *testing.T) {
	var b strings.Builder
	for _, others := range []int{0, 1, 4, 30} {
		w := WindowBudget{Length: 10 * time.Second, Ratio: 0.2}
		now := time.Unix(0, 0)
		taken := map[string]int{}
		for n := range 200 {
			now = now.Add(20 * time.Millisecond)
			w.RecordRequest(now)
			// The first organisation asks for a repeat of each request, and the
			// others in turn.
			ask := []string{"first"}
			if others > 0 {
				ask = append(ask, fmt.Sprintf("other%d", n%others))
			}
			for _, name := range ask {
				if w.AllowShare(now, 4, name) {
					taken[name]++
				}
			}
		}
		sum := 0
		for _, n := range taken {
			sum += n
		}
		fmt.Fprintf(&b, "%d others: first %d, all %d of a budget of 44\n", others, taken["first"], sum)
		later := now.Add(w.Length)
		fmt.Fprintf(&b, "  a window later, alone: allowed %t, organisations kept %d\n", w.AllowShare(later, 4, "first"), len(w.asked))
	}
	golden.Check(t, "shares", b.String())
}
