package retry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// callLoad plays a service whose instances shed most requests, and another one whose
// runs call it and are repeated when the call fails.
type callLoad struct {
	charge bool
	rng    *rand.Rand
	// called and calling are the budgets of each node for the two services.
	called, calling []WindowBudget
	// runs holds the end of each run of the calling service at a node, negative for
	// those that are repeats.
	runs [][]run
	// requests and repeats are the times at which the called service got a request for
	// the first time, and beyond that.
	requests, repeats []time.Time
}

type run struct {
	end    time.Time
	repeat bool
}

const (
	callNodes    = 89
	callers      = 31 // nodes with an instance of the calling service
	callRatio    = 0.2
	callSlack    = 186.0
	callShare    = 0.85 // part of the budget that nodes use
	callWindow   = 10 * time.Second
	callRunTime  = 940 * time.Millisecond
	shedShare    = 0.55
	callAttempts = 3
)

// call sends a request to the called service from a node and reports whether it was
// served. Repeat is set if the run that makes the call is a repeat.
func (l *callLoad) call(now time.Time, node int, repeat bool) bool {
	b := &l.called[node]
	b.RecordRequest(now)
	if l.charge {
		b.Charge(now, l.repeatShare(now, node))
	}
	for n := range callAttempts {
		if n == 0 && !repeat {
			l.requests = append(l.requests, now)
		} else {
			l.repeats = append(l.repeats, now)
		}
		if l.rng.Float64() >= shedShare {
			return true
		}
		if n == callAttempts-1 || !b.Allow(now, callSlack*callShare/callNodes, 0) {
			return false
		}
	}
	return false
}

// repeatShare returns the share of the runs at a node that are repeats.
func (l *callLoad) repeatShare(now time.Time, node int) float64 {
	all, repeats := 0.0, 0.0
	for _, r := range l.runs[node] {
		if now.Before(r.end) {
			all++
			if r.repeat {
				repeats++
			}
		}
	}
	return repeats / max(all, 1)
}

// serve sends a request to the calling service from a node and repeats it once.
func (l *callLoad) serve(now time.Time, entry int) {
	b := &l.calling[entry]
	b.RecordRequest(now)
	for n := range 2 {
		if n > 0 && !b.Allow(now, callSlack*callShare/callNodes, 0) {
			return
		}
		node := l.rng.IntN(callers)
		l.runs[node] = append(l.runs[node], run{now.Add(callRunTime), n > 0})
		if l.rng.Float64() >= 0.7 || l.call(now, node, n > 0) {
			return
		}
	}
}

// worst returns the largest number of repeats in a window, less the allowed ones.
func (l *callLoad) worst() float64 {
	count := func(times []time.Time, from time.Time) (n float64) {
		for _, t := range times {
			if !t.Before(from) && t.Before(from.Add(callWindow)) {
				n++
			}
		}
		return n
	}
	worst := -callSlack
	for _, from := range l.repeats {
		worst = max(worst, count(l.repeats, from)-callRatio*count(l.requests, from)-callSlack)
	}
	return worst
}

// TestWindowBudgetCalls guards against repeats above the budget of a service that is
// called by runs which are repeated themselves: their calls count as repeats, and
// the budget was exceeded while all instances shed 55% of the requests.
func TestWindowBudgetCalls(t *testing.T) {
	var b strings.Builder
	for _, charge := range []bool{false, true} {
		l := &callLoad{charge: charge, rng: rand.New(rand.NewPCG(5, 6)), called: make([]WindowBudget, callNodes),
			calling: make([]WindowBudget, callNodes), runs: make([][]run, callNodes)}
		for i := range callNodes {
			l.called[i] = WindowBudget{Length: callWindow, Ratio: callRatio * callShare}
			l.calling[i] = WindowBudget{Length: callWindow, Ratio: callRatio * callShare}
		}
		now := time.Unix(0, 0)
		for end := now.Add(25 * time.Second); now.Before(end); {
			now = now.Add(time.Duration(l.rng.ExpFloat64() * float64(time.Second) / 280))
			if l.rng.Float64() < 0.3 {
				l.serve(now, l.rng.IntN(callNodes))
			} else {
				l.call(now, l.rng.IntN(callNodes), false)
			}
		}
		worst := l.worst()
		fmt.Fprintf(&b, "calls of repeats are charged %t: %d requests, %d repeats, at worst %.0f beyond the budget of a window\n", charge,
			len(l.requests), len(l.repeats), worst)
		if charge && worst > 0 {
			t.Errorf("%.0f repeats beyond the budget", worst)
		}
	}
	golden.Check(t, "calls", b.String())
}
