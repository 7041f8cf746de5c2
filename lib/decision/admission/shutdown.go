package admission

import "time"

// CloseTime returns when the gate of an instance closes after the shutdown of its
// node began. The node runs at least until earliestEnd, for its own clients.
//
// The instance itself goes on. A gate that closes at once would take its capacity
// away for the whole shutdown, and rolling restarts would leave a service without
// the greater part of its instances. The gate therefore closes one mean run time
// before earliestEnd, so that most of its runs end by then and do not delay the
// restart.
func CloseTime(began, earliestEnd time.Time, meanRunTime time.Duration) time.Time {
	t := earliestEnd.Add(-meanRunTime)
	if t.Before(began) {
		return began
	}
	return t
}
