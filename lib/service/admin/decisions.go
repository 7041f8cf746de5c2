package admin

import (
	"net/http"
	"time"

	"cassiarack.example/lib/service/ejection"
)

// Decisions is the body of /decisions.
type Decisions struct {
	VM string `json:"vm"`
	// SelfSuspect is set while the node suspects itself.
	SelfSuspect bool `json:"selfSuspect"`
	// Instances holds those that stand out now.
	Instances map[string]EjectionState `json:"instances"`
	// Decisions are the last verdicts and ejection decisions, oldest first.
	Decisions []ejection.Decision `json:"decisions"`
}

// EjectionState tells how an instance stands out.
type EjectionState struct {
	Ejected bool `json:"ejected"`
	// Weight is the share of idempotent requests, between 0 and 1.
	Weight float64    `json:"weight"`
	Until  *time.Time `json:"until,omitempty"`
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
