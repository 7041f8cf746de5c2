package router

import (
	"time"

	"cassiarack.example/lib/decision/choice"
)

// weigh lowers the weights of instances that are ejected, on trial or suspect.
// If all would be excluded, the least bad one stays.
func (s *Service[P]) weigh(now time.Time, q Query, cs []choice.Candidate) {
	snap := s.ejection.Snapshot()
	best, left := -1, false
	for i := range cs {
		cs[i].Weight *= snap.Weight(now, cs[i].Instance, q.Idempotent)
		left = left || cs[i].Weight > 0
		if best < 0 || snap.Badness(now, cs[i].Instance) < snap.Badness(now, cs[best].Instance) {
			best = i
		}
	}
	if !left && best >= 0 {
		cs[best].Weight = 1
	}
}
