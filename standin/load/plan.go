package load

import (
	"math/rand/v2"
	"time"

	"cassiarack.example/standin/backend"
)

// Plan says what to send.
type Plan struct {
	// Seed makes the arrivals repeatable.
	Seed uint64
	// Phases follow each other.
	Phases []Phase
	// Kinds is the mix of requests.
	Kinds []Kind
	// Organisations is the mix of organisations; empty means unnamed callers.
	Organisations []Share
	// Timeout is the deadline of each request.
	Timeout time.Duration
	// Events happen at their times.
	Events []Event
	// DirectShare is the share of the requests that goes straight to the backend
	// servers in turn, as a baseline.
	DirectShare float64
}

// Phase is a time with a constant mean rate of arrivals.
type Phase struct {
	Duration time.Duration
	// Rate is in requests per second.
	Rate float64
}

// Kind is a kind of request.
type Kind struct {
	Name    string
	Service string
	Method  string
	// Path follows the service's prefix.
	Path   string
	Weight float64
	// Body is the size of the body in bytes.
	Body int
	// Idempotent tells what the rules say of the kind, for the check of runs.
	Idempotent bool
	// Keyed sends an idempotency key with each request.
	Keyed bool
	// Work is the service time that the stand-in is asked for; zero leaves it
	// to the stand-in.
	Work time.Duration
}

// Share is a part of a mix.
type Share struct {
	Name   string
	Weight float64
}

// Event changes how a backend server behaves.
type Event struct {
	At       time.Duration
	Instance string
	Fault    backend.Fault
}

// arrival is one request of a plan.
type arrival struct {
	number       int
	due          time.Duration
	phase        int
	kind         *Kind
	organisation string
	direct       bool
}

// arrivals yields the requests of a plan in the order of their times, as a
// Poisson process.
func (p *Plan) arrivals(yield func(arrival) bool) {
	rng := rand.New(rand.NewPCG(p.Seed, 0))
	number := 0
	var begin time.Duration
	for i, ph := range p.Phases {
		end := begin + ph.Duration
		due := begin
		for {
			due += time.Duration(rng.ExpFloat64() / ph.Rate * float64(time.Second))
			if due >= end {
				break
			}
			number++
			a := arrival{number: number, due: due, phase: i, kind: p.pickKind(rng), organisation: p.pickOrganisation(rng),
				direct: rng.Float64() < p.DirectShare}
			if !yield(a) {
				return
			}
		}
		begin = end
	}
}

func (p *Plan) pickKind(rng *rand.Rand) *Kind {
	weights := make([]float64, len(p.Kinds))
	for i := range p.Kinds {
		weights[i] = p.Kinds[i].Weight
	}
	return &p.Kinds[pickIndex(rng, weights)]
}

func (p *Plan) pickOrganisation(rng *rand.Rand) string {
	if len(p.Organisations) == 0 {
		return ""
	}
	weights := make([]float64, len(p.Organisations))
	for i, o := range p.Organisations {
		weights[i] = o.Weight
	}
	return p.Organisations[pickIndex(rng, weights)].Name
}

// pickIndex returns an index with the probability of its weight.
func pickIndex(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}
