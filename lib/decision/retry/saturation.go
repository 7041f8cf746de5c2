package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// maxClosed bounds the time that an entry refuses requests by itself.
	maxClosed = 100 * time.Millisecond
	// minClosed bounds it from below, as run times may not be known yet.
	minClosed = time.Millisecond
	// maxKeys bounds the organisations that are refused at once.
	maxKeys = 4096
	// recent is how long after a refusal the service counts as full.
	recent = time.Second
)

// Saturation refuses the requests of an organisation to a service at the entry
// for a short, jittered time after all gates refused one. Organisations are kept
// apart, as a gate that is full for one may admit another.
type Saturation struct {
	until  map[string]time.Time
	last   time.Time
	pruned time.Time
}

// Full notes that all gates refused a request. It returns the time for which
// the entry refuses.
func (s *Saturation) Full(now time.Time, rng *rand.Rand, organisation string, expected time.Duration) time.Duration {
	if s.until == nil {
		s.until = make(map[string]time.Time)
	}
	s.last = now
	limit := min(maxClosed, max(minClosed, expected))
	d := time.Duration(rng.Int64N(int64(limit)))
	// No entry lasts for longer than maxClosed, so that more frequent passes over
	// all of them find little.
	if len(s.until) >= maxKeys && now.Sub(s.pruned) >= maxClosed {
		s.prune(now)
	}
	if len(s.until) < maxKeys {
		s.until[organisation] = now.Add(d)
	}
	return d
}

// Closed returns the time for which requests of the organisation are still
// refused, or zero.
func (s *Saturation) Closed(now time.Time, organisation string) time.Duration {
	end, ok := s.until[organisation]
	if !ok {
		return 0
	}
	if d := end.Sub(now); d > 0 {
		return d
	}
	delete(s.until, organisation)
	return 0
}

// Recent reports whether all gates refused a request a short time ago. Retries
// and hedges are not made then.
func (s *Saturation) Recent(now time.Time) bool {
	return !s.last.IsZero() && now.Sub(s.last) < recent
}

func (s *Saturation) prune(now time.Time) {
	s.pruned = now
	for o, end := range s.until {
		if !now.Before(end) {
			delete(s.until, o)
		}
	}
}
