package retry

import "time"

// WindowBudget is one node's part of a budget of repeats that all nodes share:
// in any span of Length, the node makes at most Ratio times as many repeats as
// requests, plus its part of a constant (the slack). The nodes need not
// communicate, because the sum of their parts is the budget. It is not safe for
// concurrent use.
type WindowBudget struct {
	Length time.Duration
	Ratio  float64
	// Started is when the process started. It has no slack for Length from then
	// on, as an earlier process of the node may have used it in the same span.
	Started time.Time

	repeats  []time.Time
	requests []time.Time
	// charges holds the repeats that Charge counted, and charged the part of one that it
	// has not counted yet.
	charges []time.Time
	charged float64
	// asked holds when each organisation last asked for a repeat, and taken the
	// repeats that it took. Both hold only organisations that asked within Length.
	asked map[string]time.Time
	taken map[string][]time.Time
}

// maxShares is the part of the budget that one organisation may use while others
// ask for repeats, as a multiple of the equal share.
const maxShares = 2

// RecordRequest counts a request that is not a repeat.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.requests = append(dropBefore(w.requests, now.Add(-w.Length)), now)
}

// Remaining returns the number of repeats that the budget still allows, which
// may be fractional or negative. slack is the node's part of the constant.
func (w *WindowBudget) Remaining(now time.Time, slack float64) float64 {
	w.charges = dropBefore(w.charges, now.Add(-w.Length))
	return w.Uncharged(now, slack) - float64(len(w.charges))
}

// Uncharged is like Remaining, without what Charge counted.
func (w *WindowBudget) Uncharged(now time.Time, slack float64) float64 {
	start := now.Add(-w.Length)
	w.repeats, w.requests = dropBefore(w.repeats, start), dropBefore(w.requests, start)
	if w.Started.After(start) {
		slack = 0
	}
	return w.Ratio*float64(len(w.requests)) + slack - float64(len(w.repeats))
}

// Allow takes one repeat if the budget allows it and leaves reserve repeats for
// others, and reports whether it did.
func (w *WindowBudget) Allow(now time.Time, slack, reserve float64) bool {
	if w.Remaining(now, slack) < 1+reserve {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

// Charge counts repeats that are expected of runs which this node begins: the calls of a
// repeated run are repeats at the service that it calls. The number may be fractional.
func (w *WindowBudget) Charge(now time.Time, repeats float64) {
	w.charges = dropBefore(w.charges, now.Add(-w.Length))
	for w.charged += repeats; w.charged >= 1; w.charged-- {
		w.charges = append(w.charges, now)
	}
}

// Refund takes back charged repeats of a run that did not take place.
func (w *WindowBudget) Refund(repeats float64) {
	for w.charged -= repeats; w.charged < 0 && len(w.charges) > 0; w.charged++ {
		w.charges = w.charges[:len(w.charges)-1]
	}
	w.charged = max(w.charged, 0)
}

// AllowShare takes one repeat for an organisation, like Allow without a reserve. While
// other organisations have asked within Length, it allows at most maxShares equal
// shares of the budget, but at least one repeat.
func (w *WindowBudget) AllowShare(now time.Time, slack float64, organisation string) bool {
	w.recordAsk(now, organisation)
	if n := len(w.asked); n > 1 {
		budget := w.Uncharged(now, slack) + float64(len(w.repeats))
		if float64(len(w.taken[organisation])+1) > max(1, maxShares*budget/float64(n)) {
			return false
		}
	}
	if !w.Allow(now, slack, 0) {
		return false
	}
	w.taken[organisation] = append(w.taken[organisation], now)
	return true
}

// recordAsk records that an organisation asks for a repeat and drops what is older
// than Length.
func (w *WindowBudget) recordAsk(now time.Time, organisation string) {
	if w.asked == nil {
		w.asked, w.taken = make(map[string]time.Time), make(map[string][]time.Time)
	}
	w.asked[organisation] = now
	start := now.Add(-w.Length)
	for name, at := range w.asked {
		if !at.After(start) {
			delete(w.asked, name)
			delete(w.taken, name)
			continue
		}
		w.taken[name] = dropBefore(w.taken[name], start)
	}
}

// dropBefore returns the sorted times that are after start.
func dropBefore(times []time.Time, start time.Time) []time.Time {
	n := 0
	for n < len(times) && !times[n].After(start) {
		n++
	}
	return times[n:]
}
