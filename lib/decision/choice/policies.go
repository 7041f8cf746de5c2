package choice

import (
	"math/rand/v2"
	"time"
)

// TwoChoices samples two candidates by weight and takes the less loaded.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(now time.Time, rng *rand.Rand, cs []Candidate) int {
	a, b := sample(rng, cs), sample(rng, cs)
	if load(now, cs[b]) < load(now, cs[a]) {
		return b
	}
	return a
}

func sample(rng *rand.Rand, cs []Candidate) int {
	sum := 0.0
	for _, c := range cs {
		sum += c.Weight
	}
	x := rng.Float64() * sum
	for i, c := range cs {
		if x -= c.Weight; x < 0 {
			return i
		}
	}
	return len(cs) - 1
}

// reportAge is how long a reported load is taken into account.
const reportAge = time.Second

// load returns the expected load of a candidate relative to its slots.
func load(now time.Time, c Candidate) float64 {
	n := c.Outstanding
	if now.Sub(c.Reported) < reportAge {
		n = max(n, c.Running+c.Waiting)
	}
	return float64(n) / float64(max(c.Slots, 1))
}

// RoundRobin takes the candidates in turn. It is a baseline.
type RoundRobin struct {
	next int
}

// Pick implements Policy.
func (r *RoundRobin) Pick(_ time.Time, _ *rand.Rand, cs []Candidate) int {
	r.next++
	return r.next % len(cs)
}

// LeastOutstanding takes the candidate with the fewest requests of the
// chooser. It is a baseline.
type LeastOutstanding struct{}

// Pick implements Policy.
func (LeastOutstanding) Pick(_ time.Time, rng *rand.Rand, cs []Candidate) int {
	best := rng.IntN(len(cs))
	for i, c := range cs {
		if c.Outstanding < cs[best].Outstanding {
			best = i
		}
	}
	return best
}
