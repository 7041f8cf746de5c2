package retry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/decision/calls"
	"cassiarack.example/lib/golden"
)

// callLoad is a service whose instances shed most requests, and another one whose runs
// call it and are repeated when a call fails.
type callLoad struct {
	name string
	// nodes is the number of nodes, and callers how many have an instance of the calling
	// service.
	nodes, callers int
	slack          float64
	// called and calling are the rates per second of the requests of clients to the two
	// services.
	called, calling float64
	// calls is the number of calls of a run, if it makes any, and attempts the number of
	// instances that a request to the calling service may be sent to.
	calls, attempts int
	// runTime is the time of a run.
	runTime time.Duration
}

const (
	callRatio   = 0.2
	callShare   = 0.85 // part of the budget that nodes use
	callWindow  = 10 * time.Second
	callingRuns = 0.7 // part of the runs that make calls
	shedShare   = 0.55
	// callOffers is the number of instances of the called service that a call may be sent
	// to.
	callOffers = 3
)

// accounting is how calls of repeated runs are counted for the budget of the called
// service.
type accounting string

const (
	notAccounted accounting = "not accounted"
	// byShare charges each request of a node, when it arrives, with the share of the
	// node's runs that are repeats.
	byShare accounting = "charged by the share of repeats"
	// reserved charges a repeat with the estimated number of its calls before it runs, at
	// a node whose budget has room for them.
	reserved accounting = "reserved before the run"
)

// callPlay is a play of a callLoad.
type callPlay struct {
	callLoad
	accounting accounting
	rng        *rand.Rand
	called     []WindowBudget
	calling    []WindowBudget
	estimators []calls.Estimator
	runs       [][]run
	// requests and repeats are the times at which the called service got a request for
	// the first time, and beyond that.
	requests, repeats []time.Time
	served, all       int
}

type run struct {
	end    time.Time
	repeat bool
}

// call sends a request to the called service from a node and reports whether it was
// served. Repeat is set if the run that makes the call is a repeat.
func (p *callPlay) call(now time.Time, node int, repeat bool) bool {
	b := &p.called[node]
	b.RecordRequest(now)
	if node < p.callers {
		p.estimators[node].Request(now, "called")
		if p.accounting == byShare {
			b.Charge(now, p.repeatShare(node))
		}
	}
	for n := range callOffers {
		if n == 0 && !repeat {
			p.requests = append(p.requests, now)
		} else {
			p.repeats = append(p.repeats, now)
		}
		if p.rng.Float64() >= shedShare {
			return true
		}
		if n == callOffers-1 || !b.Allow(now, p.slack*callShare/float64(p.nodes), 0) {
			return false
		}
	}
	return false
}

// repeatShare returns the share of the runs at a node that are repeats.
func (p *callPlay) repeatShare(node int) float64 {
	repeats := 0.0
	for _, r := range p.runs[node] {
		if r.repeat {
			repeats++
		}
	}
	return repeats / max(float64(len(p.runs[node])), 1)
}

// endRuns ends the runs whose time has passed.
func (p *callPlay) endRuns(now time.Time) {
	for node, runs := range p.runs {
		left := runs[:0]
		for _, r := range runs {
			if now.Before(r.end) {
				left = append(left, r)
				continue
			}
			p.estimators[node].End(now, true)
		}
		p.runs[node] = left
	}
}

// reserve charges the calls of a repeat at a node and reports whether its budget has
// room. All repeats follow a failed call.
func (p *callPlay) reserve(now time.Time, node int) bool {
	if p.accounting != reserved {
		return true
	}
	b := &p.called[node]
	for _, n := range p.estimators[node].PerRun(now) {
		if b.Remaining(now, p.slack*callShare/float64(p.nodes)) < 1 {
			return false
		}
		b.Charge(now, math.Ceil(n)*(1+b.Ratio))
	}
	return true
}

// serve sends a request to the calling service from a node and repeats it.
func (p *callPlay) serve(now time.Time, entry int) {
	b := &p.calling[entry]
	b.RecordRequest(now)
	p.all++
	makesCalls := p.rng.Float64() < callingRuns
	for n := range p.attempts {
		if n > 0 && !b.Allow(now, p.slack*callShare/float64(p.nodes), 0) {
			return
		}
		node := p.rng.IntN(p.callers)
		if n > 0 && !p.reserve(now, node) {
			return
		}
		p.estimators[node].Start(now)
		p.runs[node] = append(p.runs[node], run{now.Add(p.runTime), n > 0})
		ok := true
		for range p.calls {
			if makesCalls && !p.call(now, node, n > 0) {
				ok = false
			}
		}
		if ok {
			p.served++
			return
		}
	}
}

// worst returns the largest number of repeats in a window, less the allowed ones.
func (p *callPlay) worst() float64 {
	count := func(times []time.Time, from time.Time) (n float64) {
		for _, t := range times {
			if !t.Before(from) && t.Before(from.Add(callWindow)) {
				n++
			}
		}
		return n
	}
	worst := -p.slack
	for _, from := range p.repeats {
		worst = max(worst, count(p.repeats, from)-callRatio*count(p.requests, from)-p.slack)
	}
	return worst
}

// play plays 40 s of the load.
func (l callLoad) play(a accounting) *callPlay {
	p := &callPlay{callLoad: l, accounting: a, rng: rand.New(rand.NewPCG(5, 6)), called: make([]WindowBudget, l.nodes),
		calling: make([]WindowBudget, l.nodes), estimators: make([]calls.Estimator, l.callers), runs: make([][]run, l.callers)}
	for i := range l.nodes {
		p.called[i] = WindowBudget{Length: callWindow, Ratio: callRatio * callShare}
		p.calling[i] = WindowBudget{Length: callWindow, Ratio: callRatio * callShare}
	}
	now := time.Unix(0, 0)
	for end := now.Add(40 * time.Second); now.Before(end); {
		now = now.Add(time.Duration(p.rng.ExpFloat64() * float64(time.Second) / (l.called + l.calling)))
		p.endRuns(now)
		if p.rng.Float64()*(l.called+l.calling) < l.calling {
			p.serve(now, p.rng.IntN(l.nodes))
		} else {
			p.call(now, p.rng.IntN(l.nodes), false)
		}
	}
	return p
}

// TestWindowBudgetCalls guards against repeats above the budget of a service that is
// called by runs which are repeated themselves: their calls count as repeats, and
// the budget was exceeded while all instances shed 55% of the requests.
func TestWindowBudgetCalls(t *testing.T) {
	var b strings.Builder
	for _, l := range []callLoad{
		{name: "many nodes", nodes: 89, callers: 31, slack: 186, called: 196, calling: 84, calls: 1, attempts: 2,
			runTime: 940 * time.Millisecond},
		{name: "few nodes, two calls", nodes: 27, callers: 6, slack: 64, called: 40, calling: 14, calls: 2, attempts: 4,
			runTime: 300 * time.Millisecond},
	} {
		for _, a := range []accounting{notAccounted, byShare, reserved} {
			p := l.play(a)
			worst := p.worst()
			fmt.Fprintf(&b, "%s, calls %s: %d requests, %d repeats, at worst %.0f beyond the budget of a window; calling service served %.2f\n",
				l.name, a, len(p.requests), len(p.repeats), worst, float64(p.served)/float64(p.all))
			if a == reserved && worst > 0 {
				t.Errorf("%s: %.0f repeats beyond the budget", l.name, worst)
			}
		}
	}
	golden.Check(t, "calls", b.String())
}
