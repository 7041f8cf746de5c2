package choice

import (
	"math/rand/v2"
	"time"
)

const (
	// reportLifetime is the age at which a reported load no longer counts; its
	// influence falls linearly until then. Queues of a few run times change
	// within this time.
	reportLifetime = 300 * time.Millisecond
	// localMargin is the difference in load, in requests for each slot, above which
	// an instance of another data centre is preferred to a local one.
	localMargin = 0.5
	// maxDraws bounds the random draws of sample. After them it reads all
	// candidates.
	maxDraws = 16
)

// TwoChoices samples two candidates of the local data centre and two of all
// candidates by weight, and picks the less loaded one of each pair. It prefers the
// local one unless the load of the other is lower by more than localMargin.
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
// one and its load, or a negative index if none has a weight above 0.
func lessLoaded(now time.Time, rng *rand.Rand, cs Candidates, n int) (int, float64) {
	a := sample(rng, cs, n)
	if a < 0 {
		return a, 0
	}
	b := sample(rng, cs, n)
	if b < 0 {
		// Weights can drop between the two samples: a node may have begun to leave.
		return a, load(now, cs.At(a))
	}
	la, lb := load(now, cs.At(a)), load(now, cs.At(b))
	if lb < la {
		return b, lb
	}
	return a, la
}

// sample returns one of the first n candidates with a probability proportional
// to its effective weight, or a negative index if none has a weight above 0. It
// takes O(1) time unless most weights are small.
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

// effectiveWeight returns the weight of a candidate. During a cold start it is
// reduced in proportion to the open slots.
func effectiveWeight(c Candidate) float64 {
	if c.OpenSlots > 0 && c.OpenSlots < c.Slots {
		return c.Weight * float64(c.OpenSlots) / float64(c.Slots)
	}
	return c.Weight
}

// load returns the estimated number of requests for each open slot of a candidate.
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

// RoundRobin picks the candidates with a weight above 0 in turn. It is a baseline
// for comparisons.
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

// LeastOutstanding picks the candidate with the fewest outstanding requests of
// the chooser. It is a baseline for comparisons.
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
