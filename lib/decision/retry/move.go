package retry

import "time"

const (
	// maxOffers bounds the gates that one request is offered to. It covers all
	// instances of the largest service of today, so that a request is refused
	// only if none of them has room.
	maxOffers = 12
	// maxShortOffers bounds the moves with a short wait.
	maxShortOffers = maxOffers / 2
	// minWait covers the time between two ticks of a gate.
	minWait = 10 * time.Millisecond
	// minLongWait is the shortest bound of a long wait.
	minLongWait = 100 * time.Millisecond
	// longWaitRuns is a long wait in expected run times. It is the wait in a queue
	// that is filled to its bound of four requests for each slot, and the run in
	// front of it.
	longWaitRuns = 5
	// longWaitDivisor is the part of the time left that a long wait may take at least.
	// The queue is bounded by its length, so that the wait at a healthy instance
	// is short; one whose slots are all stuck must leave time for others.
	longWaitDivisor = 8
)

// Offer is how a request is offered to a gate.
type Offer struct {
	// LongWait allows the longest wait in the queue.
	LongWait bool
	// IncludeRefused offers the request to gates that refused it before.
	IncludeRefused bool
}

// NextOffer returns move number n of a request, which counts from 0, at a service
// with a number of gates. It reports false after the last move. The request
// first looks for a gate with a short queue, then for one with any room.
func NextOffer(n, gates int) (Offer, bool) {
	short := min(gates, maxShortOffers)
	if gates == 1 {
		short = 0
	}
	m := Offer{LongWait: n >= short, IncludeRefused: n > 0 && n == gates}
	return m, n < min(short+gates, maxOffers)
}

// MaxWait returns the longest wait at one gate. While a request looks for a
// gate with a short queue, it waits as long as a short run; then it waits as
// long as the queue allows. A wait never takes the time that the run needs.
func (m Offer) MaxWait(expected, remaining time.Duration) time.Duration {
	p := max(expected, minWait)
	if m.LongWait {
		p = max(longWaitRuns*expected, minLongWait, remaining/longWaitDivisor)
	}
	return max(0, min(p, remaining-expected))
}
