package poll

import (
	"math/rand/v2"
	"time"
)

const (
	// Interval is the age of the published state at which the node of the
	// lowest rank reads it again. It leaves time for another node to take over
	// within the 2 s in which a draining instance must stop getting requests.
	Interval = 450 * time.Millisecond
	// rankDelay is the additional age for each rank at which a node takes over.
	// It exceeds the time of a read and an announcement.
	rankDelay = 180 * time.Millisecond
	// maxRankDelay is the largest additional age, since a node of any rank may
	// be the only one that reaches the store.
	maxRankDelay = 900 * time.Millisecond
	// firstBackoff and maxBackoff are the largest delay after the first failed
	// read and after any number of failed reads.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 1500 * time.Millisecond
)

// Schedule decides when one node reads the store. It is not safe for concurrent
// use.
type Schedule struct {
	// failures counts the failed reads since the last success.
	failures int
	// retryAt is the earliest time of the next read after a failure.
	retryAt time.Time
}

// Due returns when the node is to read, if the state that it knows was read at
// readAt and its rank among the nodes of the data centre is rank. If readAt is
// the zero time, the node knows no state and reads at once, unless failed reads
// delay it.
func (s *Schedule) Due(readAt time.Time, rank int) time.Time {
	due := readAt
	if !readAt.IsZero() {
		due = readAt.Add(Interval + min(time.Duration(rank)*rankDelay, maxRankDelay))
	}
	if s.retryAt.After(due) {
		return s.retryAt
	}
	return due
}

// RecordResult records whether a read succeeded. After a failure the next read
// is delayed by a random time whose bound doubles up to maxBackoff, so that an
// outage does not multiply the calls.
func (s *Schedule) RecordResult(now time.Time, rng *rand.Rand, ok bool) {
	if ok {
		s.failures, s.retryAt = 0, time.Time{}
		return
	}
	limit := min(firstBackoff<<min(s.failures, 10), maxBackoff)
	s.failures++
	s.retryAt = now.Add(limit/2 + time.Duration(rng.Int64N(int64(limit/2))))
}
