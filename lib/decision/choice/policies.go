package choice

import (
	"math/rand/v2"
	"time"
)

const (
	// reportLifetime is the time over which a reported load loses its influence.
	// Queues of a few run times change within it.
	reportLifetime = 300 * time.Millisecond
	// localMargin is how much less loaded, in requests for each slot, an
	// instance of another data centre must be to be preferred.
	localMargin = 0.5
	// maxDraws bounds the random draws before all candidates are looked at.
	maxDraws = 16
)

// TwoChoices samples candidates by weight, two of the own data centre and two
// of all, and takes the less loaded. A candidate of another data centre must be
// less loaded by a margin.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(now time.Time, rng *rand.Rand, cs Candidates) int {
	local, localLoad := lessLoaded(now, rng, cs, cs.LocalLen())
	if local >= 0 && cs.LocalLen() == cs.Len() {
		return local
	}
	other, otherLoad := lessLoaded(now, rng, cs, cs.Len())
	if local >= 0 && localLoad <= otherLoad+localMargin {
		return local
	}
	return other
}

// lessLoaded samples two of the first n candidates and returns the less loaded
// one and its load, or a negative index.
func lessLoaded(now time.Time, rng *rand.Rand, cs Candidates, n int) (int, float64) {
	a := sample(rng, cs, n)
	if a < 0 {
		return a, 0
	}
	b := sample(rng, cs, n)
	if b < 0 {
		// The candidates are not frozen: a node may have begun to leave meanwhile.
		return a, load(now, cs.At(a))
	}
	la, lb := load(now, cs.At(a)), load(now, cs.At(b))
	if lb < la {
		return b, lb
	}
	return a, la
}

// sample returns one of the first n candidates with a probability in
// proportion to its weight. It takes O(1) time unless most weights are small.
func sample(rng *rand.Rand, cs Candidates, n int) int {
	if n == 0 {
		return -1
	}
	for range maxDraws {
		i := rng.IntN(n)
		if rng.Float64() < effectiveWeight(cs.At(i)) {
			return i
		}
	}
	sum := 0.0
	for i := range n {
		sum += effectiveWeight(cs.At(i))
	}
	x := rng.Float64() * sum
	last := -1
	for i := range n {
		w := effectiveWeight(cs.At(i))
		if w <= 0 {
			continue
		}
		last = i
		if x -= w; x < 0 {
			break
		}
	}
	return last
}

// effectiveWeight returns the weight of a candidate, reduced during a cold start.
func effectiveWeight(c Candidate) float64 {
	if c.OpenSlots > 0 && c.OpenSlots < c.Slots {
		return c.Weight * float64(c.OpenSlots) / float64(c.Slots)
	}
	return c.Weight
}

// load returns the expected number of requests for each slot of a candidate.
func load(now time.Time, c Candidate) float64 {
	n := float64(c.Outstanding)
	if age := now.Sub(c.ReportedAt); age < reportLifetime {
		n += float64(c.OthersOutstanding) * float64(reportLifetime-age) / float64(reportLifetime)
	}
	slots := c.Slots
	if c.OpenSlots > 0 {
		slots = c.OpenSlots
	}
	return n / float64(max(slots, 1))
}

// RoundRobin takes the candidates in turn. It is a baseline.
type RoundRobin struct {
	next int
}

// Pick implements Policy.
func (r *RoundRobin) Pick(_ time.Time, _ *rand.Rand, cs Candidates) int {
	for range cs.Len() {
		r.next = (r.next + 1) % cs.Len()
		if cs.At(r.next).Weight > 0 {
			return r.next
		}
	}
	return -1
}

// LeastOutstanding takes the candidate with the fewest requests of the
// chooser. It is a baseline.
type LeastOutstanding struct{}

// Pick implements Policy.
func (LeastOutstanding) Pick(_ time.Time, rng *rand.Rand, cs Candidates) int {
	first := rng.IntN(cs.Len())
	best, fewest := -1, 0
	for k := range cs.Len() {
		i := (first + k) % cs.Len()
		c := cs.At(i)
		if c.Weight > 0 && (best < 0 || c.Outstanding < fewest) {
			best, fewest = i, c.Outstanding
		}
	}
	return best
}
