package retry

import "time"

// Window is the part of one node in a budget that all nodes share: in any span
// of Length, the repeats stay below Ratio times the fresh requests of the node
// plus its part of Slack. Nodes need not talk to each other, since the sum of
// their parts is the budget. It is used by one goroutine.
type Window struct {
	Length time.Duration
	Ratio  float64

	repeats []time.Time
	fresh   []time.Time
}

// Fresh counts a first request.
func (w *Window) Fresh(now time.Time) {
	w.fresh = append(prune(w.fresh, now.Add(-w.Length)), now)
}

// Left returns the number of repeats that the budget holds. Slack is the node's
// part of the constant share.
func (w *Window) Left(now time.Time, slack float64) float64 {
	start := now.Add(-w.Length)
	w.repeats, w.fresh = prune(w.repeats, start), prune(w.fresh, start)
	return w.Ratio*float64(len(w.fresh)) + slack - float64(len(w.repeats))
}

// Allow takes one repeat if the budget holds it and a reserve for others, and
// reports whether it did.
func (w *Window) Allow(now time.Time, slack, reserve float64) bool {
	if w.Left(now, slack) < 1+reserve {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

func prune(times []time.Time, start time.Time) []time.Time {
	n := 0
	for n < len(times) && !times[n].After(start) {
		n++
	}
	return times[n:]
}
