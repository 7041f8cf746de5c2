package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRefusal limits the time for which an entry node refuses requests
	// itself.
	maxRefusal = 100 * time.Millisecond
	// minRefusal is the lower bound of that time before jitter, because the
	// expected run time may not be known yet.
	minRefusal = time.Millisecond
	// maxOrganisations limits the organisations that are refused at the same
	// time.
	maxOrganisations = 4096
	// recentlyFullTime is how long the service counts as full after all gates
	// refused a request.
	recentlyFullTime = time.Second
)

// Saturation makes an entry node refuse the requests of an organisation to a
// service for a short, jittered time after all gates refused one. It treats
// organisations separately, because a gate that is full for one may admit
// another.
type Saturation struct {
	refusedUntil map[string]time.Time
	lastFull     time.Time
	lastPruned   time.Time
}

// RecordFull records that all gates refused a request, and returns the time for
// which the entry node refuses further ones. expected is the expected run time.
func (s *Saturation) RecordFull(now time.Time, rng *rand.Rand, organisation string, expected time.Duration) time.Duration {
	if s.refusedUntil == nil {
		s.refusedUntil = make(map[string]time.Time)
	}
	s.lastFull = now
	limit := min(maxRefusal, max(minRefusal, expected))
	d := time.Duration(rng.Int64N(int64(limit)))
	// No entry of the map lasts longer than maxRefusal, so more frequent
	// pruning would remove little.
	if len(s.refusedUntil) >= maxOrganisations && now.Sub(s.lastPruned) >= maxRefusal {
		s.prune(now)
	}
	if len(s.refusedUntil) < maxOrganisations {
		s.refusedUntil[organisation] = now.Add(d)
	}
	return d
}

// RemainingRefusal returns the time for which requests of the organisation are
// still refused, or zero.
func (s *Saturation) RemainingRefusal(now time.Time, organisation string) time.Duration {
	end, ok := s.refusedUntil[organisation]
	if !ok {
		return 0
	}
	if d := end.Sub(now); d > 0 {
		return d
	}
	delete(s.refusedUntil, organisation)
	return 0
}

// RecentlyFull reports whether all gates refused a request within
// recentlyFullTime. No retries or hedges are made in that time.
func (s *Saturation) RecentlyFull(now time.Time) bool {
	return !s.lastFull.IsZero() && now.Sub(s.lastFull) < recentlyFullTime
}

// prune removes the refusals that have ended.
func (s *Saturation) prune(now time.Time) {
	s.lastPruned = now
	for o, end := range s.refusedUntil {
		if !now.Before(end) {
			delete(s.refusedUntil, o)
		}
	}
}
