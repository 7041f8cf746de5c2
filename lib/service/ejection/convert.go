package ejection

import (
	"time"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/floor"
	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/wire"
)

// ToLease converts a lease to its message. The message carries the remaining time
// instead of the end, because each node stores a lease with times on its own
// clock.
func ToLease(now time.Time, x floor.Lease) *wire.Lease {
	return &wire.Lease{
		Instance:   x.Instance,
		Holder:     x.Holder,
		Token:      uint32(x.Token),
		Assignment: x.Assignment,
		Remaining:  int64(max(0, x.Until.Sub(now))),
		Cause:      x.Cause,
		Sequence:   x.Sequence,
		Trial:      uint32(x.TrialShare),
	}
}

// FromLease converts a lease from its message. It reports false for an instance
// that is not configured. The remaining time is limited to floor.MaxLease.
func FromLease(now time.Time, c *config.Configuration, m *wire.Lease) (floor.Lease, bool) {
	if c == nil || c.Instances[m.GetInstance()] == nil {
		return floor.Lease{}, false
	}
	remaining := min(max(0, time.Duration(m.GetRemaining())), floor.MaxLease)
	return floor.Lease{
		Service:    c.Instances[m.GetInstance()].Service.Name,
		Instance:   m.GetInstance(),
		Holder:     m.GetHolder(),
		Token:      int(m.GetToken()),
		Assignment: m.GetAssignment(),
		Granted:    now,
		Until:      now.Add(remaining),
		Cause:      m.GetCause(),
		Sequence:   m.GetSequence(),
		TrialShare: int(m.GetTrial()),
	}, true
}

func toSuspicion(now time.Time, s health.Suspicion, assignment uint64) *wire.Suspicion {
	return &wire.Suspicion{
		Instance:   s.Instance,
		Reporter:   s.Reporter,
		Gate:       s.Gate,
		Samples:    uint32(s.Samples),
		Bad:        uint32(s.Bad),
		Score:      s.Score,
		Raw:        s.Raw,
		Siblings:   uint32(max(0, s.Siblings)),
		Cause:      string(s.Cause),
		Hypothesis: uint32(s.Hypothesis),
		Age:        int64(now.Sub(s.Since)),
		Assignment: assignment,
	}
}

func fromSuspicion(now time.Time, m *wire.Suspicion) health.Suspicion {
	return health.Suspicion{
		Instance:   m.GetInstance(),
		Reporter:   m.GetReporter(),
		Gate:       m.GetGate(),
		Samples:    int(m.GetSamples()),
		Bad:        int(m.GetBad()),
		Score:      m.GetScore(),
		Raw:        m.GetRaw(),
		Siblings:   int(m.GetSiblings()),
		Cause:      health.Cause(m.GetCause()),
		Hypothesis: health.Hypothesis(min(m.GetHypothesis(), uint32(health.Hangs))),
		Since:      now.Add(-time.Duration(m.GetAge())),
	}
}
