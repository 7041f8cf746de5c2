package poll

import (
	"math/rand/v2"
	"time"
)

const (
	// Interval is the age of the published state at which the reader reads it
	// again. It leaves time for a change of the reader within the two seconds in
	// which a draining instance must get no more requests.
	Interval = 450 * time.Millisecond
	// rankDelay is the additional age at which the next rank takes over. It
	// exceeds the time of a read and an announcement.
	rankDelay = 180 * time.Millisecond
	// maxRankDelay bounds the additional age, since a node of any rank may be the
	// only one that reaches the store.
	maxRankDelay = 900 * time.Millisecond
	// firstBackoff and maxBackoff bound the time between failed reads.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 1500 * time.Millisecond
)

// Schedule tells when one node reads. It is used by one goroutine.
type Schedule struct {
	failures int
	retryAt  time.Time
}

// Due returns when the node reads, if the state it knows was read at readAt and
// its rank among the nodes of the data centre is rank. The zero time of readAt
// means that it knows nothing; it then reads at once.
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

// RecordResult records the result of a read. After failures the next read is delayed by
// a random time that doubles, so that an outage does not multiply the calls.
func (s *Schedule) RecordResult(now time.Time, rng *rand.Rand, ok bool) {
	if ok {
		s.failures, s.retryAt = 0, time.Time{}
		return
	}
	limit := min(firstBackoff<<min(s.failures, 10), maxBackoff)
	s.failures++
	s.retryAt = now.Add(limit/2 + time.Duration(rng.Int64N(int64(limit/2))))
}
