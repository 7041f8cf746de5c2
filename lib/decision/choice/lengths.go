package choice

import (
	"container/list"
	"math"
	"time"
)

const (
	// DefaultMaxRoutes bounds the routes of Lengths. An entry takes about 200 bytes.
	DefaultMaxRoutes = 1 << 14
	// gain is the weight of a new observation after the first ones.
	gain = 0.05
	// clipFactor bounds an observation in multiples of the estimate, so that single
	// stragglers do not raise the expected length.
	clipFactor = 5
	// minObservations are needed before the p95 is used.
	minObservations = 20
	// idleHalfLife is the time without observations after which an estimate halves, and
	// halves again. An estimate that is too high would otherwise refuse all
	// requests that could correct it.
	idleHalfLife = time.Second
)

// RunTimes estimates the run time of requests by route. Its memory is bounded:
// the route that was not observed for longest is forgotten.
type RunTimes struct {
	// MaxRoutes is the largest number of routes; zero means DefaultRoutes.
	MaxRoutes int

	byRoute   map[string]*list.Element
	byRecency list.List // of *length, the most recently observed first
}

// estimate is the estimate of one route.
type estimate struct {
	route        string
	observations int
	mean         float64 // of clipped observations, in seconds
	logP95       float64 // logarithm of the p95 in seconds
	lastObserved time.Time
}

// Observe records the run time of a request.
func (l *RunTimes) Observe(now time.Time, route string, d time.Duration) {
	x := max(d.Seconds(), 1e-6)
	e := l.estimateFor(route)
	e.observations++
	e.lastObserved = now
	if e.observations == 1 {
		e.mean, e.logP95 = x, math.Log(x)
		return
	}
	g := max(gain, 1/float64(e.observations))
	e.mean += g * (min(x, clipFactor*e.mean) - e.mean)
	// The estimate rises by 0.95 steps and falls by 0.05, which balances at the
	// quantile.
	step := g * 4
	if math.Log(x) > e.logP95 {
		e.logP95 += step * 0.95
	} else {
		e.logP95 -= step * 0.05
	}
}

func (l *RunTimes) estimateFor(route string) *estimate {
	if l.byRoute == nil {
		l.byRoute = make(map[string]*list.Element)
	}
	if el, ok := l.byRoute[route]; ok {
		l.byRecency.MoveToFront(el)
		return el.Value.(*estimate)
	}
	limit := l.MaxRoutes
	if limit == 0 {
		limit = DefaultMaxRoutes
	}
	if l.byRecency.Len() >= limit {
		oldest := l.byRecency.Remove(l.byRecency.Back()).(*estimate)
		delete(l.byRoute, oldest.route)
	}
	e := &estimate{route: route}
	l.byRoute[route] = l.byRecency.PushFront(e)
	return e
}

// Expected returns the expected run time of a route, or zero if it is unknown.
func (l *RunTimes) Expected(now time.Time, route string) time.Duration {
	el, ok := l.byRoute[route]
	if !ok {
		return 0
	}
	e := el.Value.(*estimate)
	return seconds(e.mean * math.Exp2(-e.halvings(now)))
}

// halvings returns how often the estimate halved since the last observation.
func (e *estimate) halvings(now time.Time) float64 {
	return max(0, float64(now.Sub(e.lastObserved))/float64(idleHalfLife)-1)
}

// P95 returns the run time that 95 of 100 requests of a route do not exceed,
// or zero if it is unknown.
func (l *RunTimes) P95(route string) time.Duration {
	el, ok := l.byRoute[route]
	if !ok || el.Value.(*estimate).observations < minObservations {
		return 0
	}
	return seconds(math.Exp(el.Value.(*estimate).logP95))
}

// Len returns the number of routes that are known.
func (l *RunTimes) Len() int { return l.byRecency.Len() }

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// minHedgeDelay is the shortest delay of a hedge, as shorter ones are noise of the
// machine.
const minHedgeDelay = 2 * time.Millisecond

// HedgeAfter returns how long after its start a request of a route gets a
// second copy, and whether it may get one: the p95 must be known, and the time
// left must allow the copy a run of the expected length.
func (l *RunTimes) HedgeAfter(now time.Time, route string, remaining time.Duration) (time.Duration, bool) {
	p95 := l.P95(route)
	if p95 == 0 {
		return 0, false
	}
	after := max(p95, minHedgeDelay)
	return after, after+l.Expected(now, route) < remaining
}
