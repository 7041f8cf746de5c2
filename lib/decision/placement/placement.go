package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// distanceCost is what an answer from another data centre is worth less: the
	// price of about 4 KB between data centres, two exchanges of usual size.
	distanceCost = 0.12
	// waitCost is what the wait for a full slot time is worth less.
	waitCost = 0.25
	// loadCost prefers idle instances among those with a free slot, as some slow
	// down when they are nearly full.
	loadCost = 0.06
	// coldCost is what a cold start is worth less.
	coldCost = 0.15
	// testInterval is the time without evidence after which a doubtful instance
	// is tested. It bounds the delay until a recovered instance is used again.
	testInterval = 600 * time.Millisecond
	// unreachableCost applies to an instance whose node did not answer lately.
	unreachableCost = 2.0
	// jitter spreads equal choices of nodes that know the same.
	jitter = 0.02
	// testThreshold is the probability of failing from which an instance is tested. It
	// lies below the share of time that instances fail on average, to which the
	// belief returns without evidence.
	testThreshold = 0.2
	// DoubtfulThreshold is the probability of failing from which an instance gets only
	// tests while others have room. Below it, good instances are left out for
	// longer and no fewer requests meet failing ones, at 1 to 20 requests a second.
	DoubtfulThreshold = 0.5
)

// Candidate is an instance and what the node knows of it.
type Candidate struct {
	// FailingProbability is the probability that the instance fails requests.
	FailingProbability float64
	// EvidenceAt is when the last outcome at the instance was observed.
	EvidenceAt time.Time
	// Load is the number of requests that run or wait at the instance.
	Load int
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// Remote tells that it stands in another data centre.
	Remote bool
	Cold   bool
	// Unreachable tells that the last call to its node got no answer.
	Unreachable bool
	// Excluded tells that this request was sent there before.
	Excluded bool
}

// Request describes the request to be placed.
type Request struct {
	// MayTest tells whether the request may test a doubtful instance: it may be
	// repeated and a repetition is affordable.
	MayTest bool
}

// Choice is the result of Choose.
type Choice struct {
	// Index is the chosen candidate, or -1 if all are excluded.
	Index int
	// Test tells that the instance was chosen to learn whether it recovered.
	Test bool
	// Value is the expected benefit; 1 is a certain success without wait.
	Value float64
}

// Choose returns the candidate for a request.
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

// Value returns the expected benefit of a request at an instance.
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

// selectForTest returns a doubtful instance with a free slot that was not tested
// lately, or -1. Ties are broken at random, so that nodes test different ones.
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
