package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// distanceCost is the cost of an instance in another data centre, relative
	// to a certain success of 1, as are the costs below. It is the price of
	// about 4 KB of traffic between data centres, two exchanges of usual size.
	distanceCost = 0.12
	// waitCost is the cost of waiting for one run time of a slot.
	waitCost = 0.25
	// loadCost is the cost of an instance whose slots are all in use. It is
	// charged in proportion to the load, as some instances slow down when they
	// are nearly full.
	loadCost = 0.06
	// coldCost is the cost of an instance that is slow after its start.
	coldCost = 0.15
	// testInterval is the time without evidence after which an instance that
	// may be failing is tested. It bounds the delay until a recovered instance
	// is used again.
	testInterval = 600 * time.Millisecond
	// unreachableCost is the cost of an instance whose node did not answer the
	// last call.
	unreachableCost = 2.0
	// jitter is the largest random bonus of a candidate. It spreads the choices
	// of nodes that have the same information over equal candidates.
	jitter = 0.02
	// testThreshold is the probability of failing at or above which an instance
	// is tested. It lies below the share of time that instances fail on
	// average, to which the probability returns without evidence.
	testThreshold = 0.2
	// DoubtfulThreshold is the probability of failing at or above which an
	// instance is doubtful: it gets only tests while others have room. At 1 to
	// 20 requests a second, a lower threshold excludes good instances for
	// longer without keeping more requests from failing ones.
	DoubtfulThreshold = 0.5
)

// Candidate is an instance and what the node knows about it.
type Candidate struct {
	// FailingProbability is the probability that the instance fails requests.
	FailingProbability float64
	// EvidenceAt is when the last outcome of a request at the instance was
	// observed.
	EvidenceAt time.Time
	// Load is the number of requests that run or wait at the instance.
	Load int
	// Slots is the number of requests that the instance processes concurrently.
	Slots int
	// Remote is set if the instance is in another data centre.
	Remote bool
	// Cold is set while the instance is slow after its start.
	Cold bool
	// Unreachable is set if the last call to the node of the instance got no
	// answer.
	Unreachable bool
	// Excluded is set if this request was sent to the instance before.
	Excluded bool
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	// MayTest is set if the request may test an instance that may be failing:
	// it can be repeated, and there is budget for a repetition.
	MayTest bool
}

// Choice is the result of Choose.
type Choice struct {
	// Index is the index of the chosen candidate, or -1 if all are excluded.
	Index int
	// Test is set if the instance was chosen to find out whether it has
	// recovered.
	Test bool
	// Value is the expected benefit of the best candidate; 1 is a certain
	// success without a wait.
	Value float64
}

// Choose returns the candidate with the largest expected benefit. If the
// request may test an instance and a test is due, it returns the instance to be
// tested.
func Choose(now time.Time, rng *rand.Rand, r Request, candidates []Candidate) Choice {
	best := Choice{Index: -1}
	for i, c := range candidates {
		if c.Excluded {
			continue
		}
		v := Value(c) + rng.Float64()*jitter
		if best.Index < 0 || v > best.Value {
			best = Choice{Index: i, Value: v}
		}
	}
	if !r.MayTest {
		return best
	}
	if i := selectForTest(now, rng, candidates); i >= 0 {
		return Choice{Index: i, Test: true, Value: best.Value}
	}
	return best
}

// Value returns the expected benefit of a request at c: the probability of
// success less the costs.
func Value(c Candidate) float64 {
	v := 1 - c.FailingProbability
	slots := max(c.Slots, 1)
	if c.Load < slots {
		v -= loadCost * float64(c.Load) / float64(slots)
	} else {
		v -= loadCost + waitCost*float64(c.Load-slots+1)/float64(slots)
	}
	if c.Remote {
		v -= distanceCost
	}
	if c.Cold {
		v -= coldCost
	}
	if c.Unreachable {
		v -= unreachableCost
	}
	return v
}

// selectForTest returns the index of an instance with a free slot that may be
// failing and that has had no evidence for testInterval, or -1. It chooses at
// random among several, so that nodes test different ones.
func selectForTest(now time.Time, rng *rand.Rand, candidates []Candidate) int {
	chosen, n := -1, 0
	for i, c := range candidates {
		if c.Excluded || c.Unreachable || c.FailingProbability < testThreshold || c.Load >= c.Slots || now.Sub(c.EvidenceAt) < testInterval {
			continue
		}
		n++
		if rng.IntN(n) == 0 {
			chosen = i
		}
	}
	return chosen
}
