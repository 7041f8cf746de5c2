package freshness

import (
	"math/rand/v2"
	"time"
)

const (
	// AskAge is the age of the proof at which other nodes are asked. The reader of
	// the data centre renews proofs every 450 ms, and the slowest rank takes over
	// after 1.35 s.
	AskAge = 1200 * time.Millisecond
	// askInterval is the shortest time between two questions: less than three in any
	// second.
	askInterval = 340 * time.Millisecond
	// nearInTurn is the number of questions to the own data centre before each
	// question to another one.
	nearInTurn = 2
)

// Questions decides when a node asks others for their proofs, and whom. The nodes are
// identified by values of type K. It is not safe for concurrent use.
type Questions[K comparable] struct {
	lastAt time.Time
	// asked counts the questions since the proof was last young.
	asked int
	// near and far are the positions of the next nodes of the own data centre and of
	// other ones. All are asked in turn, since some may not be reachable.
	near, far position
}

// position is a place in a list of nodes. It starts at a random one, so that the nodes
// of a data centre ask different ones.
type position struct {
	next    int
	started bool
}

// take returns the index of the next of n nodes.
func (p *position) take(rng *rand.Rand, n int) int {
	if !p.started {
		p.next, p.started = rng.IntN(n), true
	}
	i := p.next % n
	p.next = i + 1
	return i
}

// Next returns the node to ask at now, or false if no question is due. The lists hold
// the nodes of the own data centre and those of other ones.
func (q *Questions[K]) Next(now time.Time, p Proof, near, far []K, rng *rand.Rand) (K, bool) {
	var none K
	if age, ok := p.Age(now); ok && age < AskAge {
		q.asked = 0
		return none, false
	}
	if len(near)+len(far) == 0 || !q.Take(now) {
		return none, false
	}
	q.asked++
	if len(far) == 0 || len(near) > 0 && q.asked%(nearInTurn+1) != 0 {
		return near[q.near.take(rng, len(near))], true
	}
	return far[q.far.take(rng, len(far))], true
}

// Take reports whether a question may be sent at now, and counts it as sent if so.
func (q *Questions[K]) Take(now time.Time) bool {
	if now.IsZero() || !q.lastAt.IsZero() && now.Sub(q.lastAt) < askInterval {
		return false
	}
	q.lastAt = now
	return true
}
