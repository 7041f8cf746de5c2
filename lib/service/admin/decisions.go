package admin

import (
	"net/http"
	"time"

	"cassiarack.example/lib/service/ejection"
)

// Decisions is the body of /decisions.
type Decisions struct {
	VM string `json:"vm"`
	// SelfSuspect is set while the node suspects that it is faulty itself.
	SelfSuspect bool `json:"selfSuspect"`
	// Instances holds the instances that are suspect, ejected or on trial, by name.
	Instances map[string]EjectionState `json:"instances"`
	// Decisions are the latest verdicts of the detector and ejection decisions,
	// the oldest first.
	Decisions []ejection.Decision `json:"decisions"`
}

// EjectionState is the state of an instance that is suspect, ejected or on trial.
type EjectionState struct {
	Ejected bool `json:"ejected"`
	// Weight is the share of idempotent requests that the instance may get, between
	// 0 and 1.
	Weight float64 `json:"weight"`
	// Until is when the ejection or trial ends unless it is renewed.
	Until *time.Time `json:"until,omitempty"`
}

func (s *Service) decisions(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	out := Decisions{VM: s.VM, Instances: make(map[string]EjectionState), Decisions: s.ejection.Decisions()}
	if snap := s.ejection.Snapshot(); snap != nil {
		out.SelfSuspect = snap.SelfSuspected
		for i, x := range snap.Instances {
			e := EjectionState{Ejected: x.Ejected && now.Before(x.Until), Weight: snap.Weight(now, i, true)}
			if now.Before(x.Until) {
				e.Until = &x.Until
			}
			out.Instances[i] = e
		}
	}
	s.writeJSON(w, out)
}
