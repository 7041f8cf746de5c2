package ejection

import (
	"time"

	"cassiarack.example/lib/decision/floor"
)

// minLocalWeight is the least weight of an instance that is not ejected: an instance
// that nobody may eject still gets some requests, as the floor counts on it.
const minLocalWeight = 1.0 / 16

// State is how an instance stands out. The zero value is an instance without a
// mark.
type State struct {
	// Ejected is set while the instance gets no requests.
	Ejected bool
	// TrialShare is the share while it returns, between 0 and 1, or 0.
	TrialShare float64
	// LocalWeight is the weight that this node's own evidence leaves, or 0 for all.
	LocalWeight float64
	// Until is when the ejection or trial ends if nothing renews it.
	Until time.Time
}

// Snapshot is an immutable view of the instances that stand out.
type Snapshot struct {
	// At is when the snapshot was made.
	At time.Time
	// Instances holds the instances with a mark.
	Instances map[string]State
	// ServiceWide holds the instances whose fault the whole service shares, with the
	// time of the decision.
	ServiceWide map[string]time.Time
	// SelfSuspected is set while this node suspects itself.
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

// WithheldShare orders instances that all have weight 0: the lowest is the least bad.
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
