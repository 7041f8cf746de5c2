package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRefusal bounds the time that an entry refuses requests by itself.
	maxRefusal = 100 * time.Millisecond
	// minRefusal bounds it from below, as run times may not be known yet.
	minRefusal = time.Millisecond
	// maxOrganisations bounds the organisations that are refused at once.
	maxOrganisations = 4096
	// recentlyFullTime is how long after a refusal the service counts as full.
	recentlyFullTime = time.Second
)

// Saturation refuses the requests of an organisation to a service at the entry
// for a short, jittered time after all gates refused one. Organisations are kept
// apart, as a gate that is full for one may admit another.
type Saturation struct {
	refusedUntil map[string]time.Time
	lastFull     time.Time
	lastPruned   time.Time
}

// RecordFull notes that all gates refused a request. It returns the time for which
// the entry refuses.
func (s *Saturation) RecordFull(now time.Time, rng *rand.Rand, organisation string, expected time.Duration) time.Duration {
	if s.refusedUntil == nil {
		s.refusedUntil = make(map[string]time.Time)
	}
	s.lastFull = now
	limit := min(maxRefusal, max(minRefusal, expected))
	d := time.Duration(rng.Int64N(int64(limit)))
	// No entry lasts for longer than maxClosed, so that more frequent passes over
	// all of them find little.
	if len(s.refusedUntil) >= maxOrganisations && now.Sub(s.lastPruned) >= maxRefusal {
		s.prune(now)
	}
	if len(s.refusedUntil) < maxOrganisations {
		s.refusedUntil[organisation] = now.Add(d)
	}
	return d
}

// RemainingRefusal returns the time for which requests of the organisation are still
// refused, or zero.
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

// RecentlyFull reports whether all gates refused a request a short time ago. Retries
// and hedges are not made then.
func (s *Saturation) RecentlyFull(now time.Time) bool {
	return !s.lastFull.IsZero() && now.Sub(s.lastFull) < recentlyFullTime
}

func (s *Saturation) prune(now time.Time) {
	s.lastPruned = now
	for o, end := range s.refusedUntil {
		if !now.Before(end) {
			delete(s.refusedUntil, o)
		}
	}
}
