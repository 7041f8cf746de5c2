package retry

import "time"

const (
	// maxMoves bounds the gates that one request is offered to. It covers all
	// instances of the largest service of today, so that a request is refused
	// only if none of them has room.
	maxMoves = 12
	// shortMoves bounds the moves with a short wait.
	shortMoves = maxMoves / 2
	// minPatience covers the time between two ticks of a gate.
	minPatience = 10 * time.Millisecond
	// longPatience is the shortest bound of a long wait.
	longPatience = 100 * time.Millisecond
	// longRuns is a long wait in expected run times. It is the wait in a queue
	// that is filled to its bound of four requests for each slot, and the run in
	// front of it.
	longRuns = 5
	// longShare is the part of the time left that a long wait may take at least.
	// The queue is bounded by its length, so that the wait at a healthy instance
	// is short; one whose slots are all stuck must leave time for others.
	longShare = 8
)

// Move is how a request is offered to a gate.
type Move struct {
	// Long allows the longest wait in the queue.
	Long bool
	// Again offers the request to gates that refused it before.
	Again bool
}

// Next returns move number n of a request, which counts from 0, at a service
// with a number of gates. It reports false after the last move. The request
// first looks for a gate with a short queue, then for one with any room.
func Next(n, gates int) (Move, bool) {
	short := min(gates, shortMoves)
	if gates == 1 {
		short = 0
	}
	m := Move{Long: n >= short, Again: n > 0 && n == gates}
	return m, n < min(short+gates, maxMoves)
}

// Patience returns the longest wait at one gate. While a request looks for a
// gate with a short queue, it waits as long as a short run; then it waits as
// long as the queue allows. A wait never takes the time that the run needs.
func (m Move) Patience(expected, remaining time.Duration) time.Duration {
	p := max(expected, minPatience)
	if m.Long {
		p = max(longRuns*expected, longPatience, remaining/longShare)
	}
	return max(0, min(p, remaining-expected))
}
