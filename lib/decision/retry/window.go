package retry

import "time"

// WindowBudget is the part of one node in a budget that all nodes share: in any span
// of Length, the repeats stay below Ratio times the fresh requests of the node
// plus its part of Slack. Nodes need not talk to each other, since the sum of
// their parts is the budget. It is used by one goroutine.
type WindowBudget struct {
	Length time.Duration
	Ratio  float64

	repeats  []time.Time
	requests []time.Time
}

// RecordRequest counts a first request.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.requests = append(dropBefore(w.requests, now.Add(-w.Length)), now)
}

// Remaining returns the number of repeats that the budget holds. Slack is the node's
// part of the constant share.
func (w *WindowBudget) Remaining(now time.Time, slack float64) float64 {
	start := now.Add(-w.Length)
	w.repeats, w.requests = dropBefore(w.repeats, start), dropBefore(w.requests, start)
	return w.Ratio*float64(len(w.requests)) + slack - float64(len(w.repeats))
}

// Allow takes one repeat if the budget holds it and a reserve for others, and
// reports whether it did.
func (w *WindowBudget) Allow(now time.Time, slack, reserve float64) bool {
	if w.Remaining(now, slack) < 1+reserve {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

func dropBefore(times []time.Time, start time.Time) []time.Time {
	n := 0
	for n < len(times) && !times[n].After(start) {
		n++
	}
	return times[n:]
}
