package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWindow guards against a sum of the repeats of all nodes that exceeds the
// budget in some window, however the traffic is spread over the nodes.
func TestWindow(t *testing.T) {
	is := is.New(t)
	const (
		nodes  = 27
		ratio  = 0.2
		slack  = 64.0
		length = 10 * time.Second
	)
	rng := rand.New(rand.NewPCG(3, 4))
	windows := make([]Window, nodes)
	for i := range windows {
		windows[i] = Window{Length: length, Ratio: ratio}
	}
	var all Window
	all.Length = length
	now := time.Unix(0, 0)
	for range 20000 {
		now = now.Add(time.Duration(rng.Int64N(int64(40 * time.Millisecond))))
		// A few nodes carry most of the traffic.
		w := &windows[min(rng.IntN(nodes), rng.IntN(nodes))]
		w.Fresh(now)
		all.Fresh(now)
		if rng.IntN(2) == 0 && w.Allow(now, slack/nodes, 0) {
			all.repeats = append(prune(all.repeats, now.Add(-length)), now)
		}
		all.repeats, all.fresh = prune(all.repeats, now.Add(-length)), prune(all.fresh, now.Add(-length))
		is.True(float64(len(all.repeats)) <= ratio*float64(len(all.fresh))+slack)
	}
}

// TestWindowReserve guards against a test that uses up what a repeat needs.
func TestWindowReserve(t *testing.T) {
	is := is.New(t)
	w := Window{Length: time.Second, Ratio: 0}
	now := time.Unix(0, 0)
	is.True(!w.Allow(now, 2, 1.5))
	is.True(w.Allow(now, 2, 0))
	is.Equal(w.Left(now, 2), 1.0)
	is.Equal(w.Left(now.Add(2*time.Second), 2), 2.0)
}
