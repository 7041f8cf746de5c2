package load

import (
	"math/rand/v2"
	"time"

	"cassiarack.example/standin/backend"
)

// Plan describes the load of a run.
type Plan struct {
	// Seed determines the arrivals: equal plans yield equal arrivals.
	Seed uint64
	// Phases run one after the other.
	Phases []Phase
	// Kinds is the mix of requests, by weight.
	Kinds []Kind
	// Organisations is the mix of organisations that send requests, by weight. If
	// it is empty, requests name no organisation.
	Organisations []Share
	// Timeout is the time from when a request is due to its deadline.
	Timeout time.Duration
	// Events change backend servers during the run, in the order of their times.
	Events []Event
	// DirectShare is the share of the requests, from 0 to 1, that bypasses the fleet
	// and goes to the backend servers in turn, as a baseline.
	DirectShare float64
}

// Phase is a period with a constant mean rate of arrivals.
type Phase struct {
	Duration time.Duration
	// Rate is the mean rate in requests per second.
	Rate float64
}

// Kind describes requests that are alike.
type Kind struct {
	Name    string
	Service string
	Method  string
	// Path is the path after the prefix of the service, without a leading slash.
	Path string
	// Weight is the share of this kind, relative to the other weights.
	Weight float64
	// Body is the size of the body in bytes.
	Body int
	// Idempotent reports whether the rules let the kind run more than once. The
	// check of executions depends on it.
	Idempotent bool
	// Keyed sends an idempotency key with each request.
	Keyed bool
	// Work is the service time that requests ask of the stand-in; zero means the
	// stand-in's own service time.
	Work time.Duration
}

// Share is an organisation and its weight in a mix.
type Share struct {
	Name   string
	Weight float64
}

// Event sets the fault of a backend server at a time after the start of a run.
type Event struct {
	At       time.Duration
	Instance string
	Fault    backend.Fault
}

// arrival is one request of a plan. The time due counts from the start of the run.
type arrival struct {
	number       int
	due          time.Duration
	phase        int
	kind         *Kind
	organisation string
	direct       bool
}

// arrivals yields the requests of a plan in the order of their due times. In each
// phase they form a Poisson process.
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

// pickIndex returns a random index with a probability proportional to its weight.
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
