package room

import "time"

// Validity is how long a load is used.
const Validity = 1500 * time.Millisecond

const (
	// minReportInterval is the minimum time between two reports of a gate.
	minReportInterval = 300 * time.Millisecond
	// maxReportInterval is the time after which a full gate reports an unchanged load
	// again, so that one lost datagram does not let the load expire.
	maxReportInterval = 600 * time.Millisecond
)

// Load is the load of one instance or the sum of several.
type Load struct {
	Instances, Slots, Running, Waiting int
	// Refused is the number of requests that were refused in a second.
	Refused float64
}

// Plus returns the sum of l and o.
func (l Load) Plus(o Load) Load {
	return Load{Instances: l.Instances + o.Instances, Slots: l.Slots + o.Slots, Running: l.Running + o.Running,
		Waiting: l.Waiting + o.Waiting, Refused: l.Refused + o.Refused}
}

// full reports whether a new request would have to wait.
func (l Load) full() bool { return l.Running >= l.Slots }

// Reporter decides when a gate reports its load. It is not safe for concurrent use.
type Reporter struct {
	last       Load
	reportedAt time.Time
}

// Due reports whether the gate is to report the load now, and records that it does.
// A gate whose load is unchanged and that has a free slot does not report.
func (r *Reporter) Due(now time.Time, l Load) bool {
	age := now.Sub(r.reportedAt)
	if age < minReportInterval {
		return false
	}
	change := l.Running + l.Waiting - r.last.Running - r.last.Waiting
	changed := change > 1 || change < -1 || l.Slots != r.last.Slots || l.full() != r.last.full()
	if !changed && (!l.full() || age < maxReportInterval) {
		return false
	}
	r.last, r.reportedAt = l, now
	return true
}
