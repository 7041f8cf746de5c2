package gossip

import (
	"time"

	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/member"
)

// snapshot is the membership at one moment. It is immutable.
type snapshot struct {
	members  []member.Member
	states   map[string]member.State
	isolated bool
}

// Members returns the members, ordered by name. The caller must not modify the slice.
func (s *Service) Members() []member.Member { return s.snapshot.Load().members }

// State returns the state of the node of a VM. An unknown node counts as alive.
func (s *Service) State(vm string) member.State {
	if st, ok := s.snapshot.Load().states[vm]; ok {
		return st
	}
	return member.Alive
}

// Isolated reports whether more than half of the last probes of this node failed, so
// that the fault is probably its own.
func (s *Service) Isolated() bool { return s.snapshot.Load().isolated }

// publish replaces the snapshot and logs the members whose state changed.
func (s *Service) publish(now time.Time) {
	s.version, s.lastPublished = s.table.Version(), now
	next := &snapshot{members: s.table.Members(now), isolated: s.table.Isolated()}
	next.states = make(map[string]member.State, len(next.members))
	counts := make(map[member.State]int)
	before := s.snapshot.Load()
	for _, m := range next.members {
		next.states[m.Name] = m.State
		counts[m.State]++
		if before != nil {
			s.logChange(before, m)
		}
	}
	if before != nil && before.isolated != next.isolated {
		s.Log.Warn("Isolation of this node changed.", "isolated", next.isolated)
	}
	s.snapshot.Store(next)
	s.reportMetrics(counts)
}

func (s *Service) logChange(before *snapshot, m member.Member) {
	old, ok := before.states[m.Name]
	if !ok || old == m.State {
		return
	}
	s.Log.Info("Member changed.", "vm", m.Name, "from", old, "to", m.State, "incarnation", m.Incarnation)
}

// reportMetrics updates the metrics of the membership. counts is the number of members
// in each state.
func (s *Service) reportMetrics(counts map[member.State]int) {
	for _, st := range []member.State{member.Alive, member.Suspect, member.Leaving, member.Dead} {
		s.scope.Tagged(map[string]string{"state": st.String()}).Gauge("members").Update(float64(counts[st]))
	}
	c, old := s.table.Counters(), s.reportedCounters
	s.reportedCounters = c
	for _, x := range []struct {
		name     string
		now, old uint64
	}{
		{"pings", c.Pings, old.Pings}, {"failed_pings", c.FailedPings, old.FailedPings}, {"suspected", c.Suspected, old.Suspected},
		{"died", c.Died, old.Died}, {"refuted", c.Refuted, old.Refuted}, {"duplicates", c.DuplicateNames, old.DuplicateNames},
	} {
		add(s.scope.Counter(x.name), x.now-x.old)
	}
}

func add(c tally.Counter, n uint64) {
	if n > 0 {
		c.Inc(int64(n))
	}
}
