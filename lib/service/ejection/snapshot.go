package ejection

import (
	"time"

	"cassiarack.example/lib/decision/floor"
)

// minLocalWeight is the lowest local weight. An instance that cannot be ejected
// because of the floor must still get some requests, as the floor counts it as in
// use.
const minLocalWeight = 1.0 / 16

// State is the ejection state of an instance. The zero value is an instance that is
// neither ejected nor on trial and has its full local weight.
type State struct {
	// Ejected is set while the instance gets no requests.
	Ejected bool
	// TrialShare is the share of requests, between 0 and 1, that the instance gets
	// while it is on trial. It is 0 if it is not on trial.
	TrialShare float64
	// LocalWeight is the weight, below 1, to which this node lowered the instance
	// on its own evidence. It is 0 if the weight was not lowered.
	LocalWeight float64
	// Until is when the ejection or trial ends if nothing renews it.
	Until time.Time
}

// Snapshot is an immutable view of the ejected and suspicious instances.
type Snapshot struct {
	// At is when the snapshot was made.
	At time.Time
	// Instances holds the instances whose State is not the zero value.
	Instances map[string]State
	// ServiceWide holds the suspicious instances whose fault is service-wide, with
	// the time of that decision.
	ServiceWide map[string]time.Time
	// SelfSuspected is set while this node considers itself faulty.
	SelfSuspected bool

	leases []floor.Lease
}

// Weight returns the share of requests that an instance may get, between 0 and
// 1. An instance on trial gets idempotent requests only.
func (s *Snapshot) Weight(now time.Time, instance string, idempotent bool) float64 {
	if s == nil {
		return 1
	}
	x, ok := s.Instances[instance]
	switch {
	case !ok:
		return 1
	case now.Before(x.Until) && (x.Ejected || !idempotent):
		return 0
	case now.Before(x.Until):
		return x.TrialShare
	case x.LocalWeight > 0:
		return x.LocalWeight
	}
	return 1
}

// WithheldShare returns the share of requests, between 0 and 1, that an ejection or
// trial withholds from an instance. The router uses it to choose among instances
// that all have weight 0.
func (s *Snapshot) WithheldShare(now time.Time, instance string) float64 {
	if s == nil {
		return 0
	}
	x := s.Instances[instance]
	if !now.Before(x.Until) {
		return 0
	}
	return 1 - x.TrialShare
}
