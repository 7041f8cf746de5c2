package router

import "time"

const (
	pruneInterval = time.Minute
	// unusedAfter is the time without requests after which the state of an instance
	// or service is removed. At the target, 4,400 VMs are replaced a day, and their
	// names with them.
	unusedAfter = 10 * time.Minute
)

// prune removes the state of instances and services that are not in use. It is
// created again when it is needed.
func (s *Service[P]) prune(now time.Time) {
	for name, p := range s.loads {
		if p.outstanding == 0 && now.Sub(p.reportedAt) > unusedAfter {
			delete(s.loads, name)
		}
	}
	for name, st := range s.services {
		if st.inflight.Idle() && now.Sub(st.lastUsed) > unusedAfter {
			delete(s.services, name)
		}
	}
}
