package admin

import (
	"net/http"
	"net/netip"
	"time"
)

// MemberState is the state of a member of the fleet, as known to this node.
type MemberState struct {
	VM          string         `json:"vm"`
	DataCentre  string         `json:"dataCentre"`
	Address     netip.AddrPort `json:"address"`
	State       string         `json:"state"`
	Incarnation uint64         `json:"incarnation"`
	// HeardSeconds is the time since the last message that this node received from
	// the member itself, in seconds, or -1 if there was none.
	HeardSeconds float64 `json:"heardSeconds"`
}

func (s *Service) showMembers(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	out := []MemberState{}
	for _, m := range s.members.Members() {
		sinceLastHeard := -1.0
		if !m.LastHeard.IsZero() {
			sinceLastHeard = now.Sub(m.LastHeard).Seconds()
		}
		out = append(out, MemberState{VM: m.Name, DataCentre: m.DataCentre, Address: m.Address,
			State: m.State.String(), Incarnation: m.Incarnation, HeardSeconds: sinceLastHeard})
	}
	s.writeJSON(w, out)
}
