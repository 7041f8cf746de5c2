package admin

import (
	"net/http"
	"net/netip"
	"time"
)

// MemberState is a member of the fleet, as this node sees it.
type MemberState struct {
	VM          string         `json:"vm"`
	DataCentre  string         `json:"dataCentre"`
	Address     netip.AddrPort `json:"address"`
	State       string         `json:"state"`
	Incarnation uint64         `json:"incarnation"`
	// HeardSeconds is the time since the last message of the member itself, or -1
	// when there was none.
	HeardSeconds float64 `json:"heardSeconds"`
}

func (s *Service) showMembers(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	out := []MemberState{}
	for _, m := range s.members.Members() {
		heard := -1.0
		if !m.LastHeard.IsZero() {
			heard = now.Sub(m.LastHeard).Seconds()
		}
		out = append(out, MemberState{VM: m.Name, DataCentre: m.DataCentre, Address: m.Address,
			State: m.State.String(), Incarnation: m.Incarnation, HeardSeconds: heard})
	}
	s.writeJSON(w, out)
}
