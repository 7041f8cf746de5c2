package retry

import "time"

const (
	// maxOffers limits the gates that one request is offered to. It covers all
	// instances of the largest service at present, so that a request is refused
	// only if none of them has capacity.
	maxOffers = 12
	// maxShortOffers limits the offers with a short wait.
	maxShortOffers = maxOffers / 2
	// minWait covers the time between two ticks of a gate.
	minWait = 10 * time.Millisecond
	// minLongWait is the lower bound of a long wait.
	minLongWait = 100 * time.Millisecond
	// longWaitRuns is the length of a long wait in expected run times: the wait
	// in a queue at its limit of four requests per slot, and the run before it.
	longWaitRuns = 5
	// A long wait may take at least 1/longWaitDivisor of the remaining time. The
	// wait at a healthy instance is short, because the length of its queue is
	// limited; a wait at an instance whose slots are all stuck must leave time
	// for other instances.
	longWaitDivisor = 8
)

// Offer describes how a request is offered to a gate.
type Offer struct {
	// LongWait selects the long wait in the queue of the gate.
	LongWait bool
	// IncludeRefused makes gates that refused the request before eligible
	// again.
	IncludeRefused bool
}

// NextOffer returns offer number n of a request, which counts from 0, for a
// service with the given number of gates. It returns false after the last
// offer. The first offers look for a gate with a short queue, and the others
// for a gate with any capacity.
func NextOffer(n, gates int) (Offer, bool) {
	short := min(gates, maxShortOffers)
	if gates == 1 {
		short = 0
	}
	o := Offer{LongWait: n >= short, IncludeRefused: n > 0 && n == gates}
	return o, n < min(short+gates, maxOffers)
}

// MaxWait returns the longest wait at one gate. A short wait is as long as one
// expected run; a long wait is as long as the queue may take. A wait never uses
// the time that the run itself needs.
func (o Offer) MaxWait(expected, remaining time.Duration) time.Duration {
	p := max(expected, minWait)
	if o.LongWait {
		p = max(longWaitRuns*expected, minLongWait, remaining/longWaitDivisor)
	}
	return max(0, min(p, remaining-expected))
}
