package choice

import (
	"container/list"
	"math"
	"time"
)

const (
	// DefaultMaxRoutes is the default of RunTimes.MaxRoutes. The estimate of a
	// route takes about 200 bytes.
	DefaultMaxRoutes = 1 << 14
	// gain is the weight of a new observation. The first observations of a route
	// weigh more.
	gain = 0.05
	// clipFactor bounds an observation in multiples of the mean, so that single
	// stragglers do not raise the expected run time.
	clipFactor = 5
	// minObservations is the number of observations from which the p95 is used.
	minObservations = 20
	// idleHalfLife is the time without observations after which the expected run
	// time begins to decay, and the half-life of the decay. Without it, an
	// estimate that is too high would refuse all requests that could correct it.
	idleHalfLife = time.Second
)

// RunTimes estimates the run times of requests by route. Its memory is bounded:
// when MaxRoutes is reached, the least recently observed route is dropped.
type RunTimes struct {
	// MaxRoutes is the largest number of routes; zero means DefaultMaxRoutes.
	MaxRoutes int

	byRoute   map[string]*list.Element
	byRecency list.List // of *estimate, most recently observed first
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
func (r *RunTimes) Observe(now time.Time, route string, d time.Duration) {
	x := max(d.Seconds(), 1e-6)
	e := r.estimateFor(route)
	e.observations++
	e.lastObserved = now
	if e.observations == 1 {
		e.mean, e.logP95 = x, math.Log(x)
		return
	}
	g := max(gain, 1/float64(e.observations))
	e.mean += g * (min(x, clipFactor*e.mean) - e.mean)
	// An observation above the estimate raises it by 0.95 steps, one below lowers it
	// by 0.05 steps. The two balance at the 95th percentile.
	step := g * 4
	if math.Log(x) > e.logP95 {
		e.logP95 += step * 0.95
	} else {
		e.logP95 -= step * 0.05
	}
}

// estimateFor returns the estimate of a route as the most recently observed one,
// and creates it if it does not exist.
func (r *RunTimes) estimateFor(route string) *estimate {
	if r.byRoute == nil {
		r.byRoute = make(map[string]*list.Element)
	}
	if el, ok := r.byRoute[route]; ok {
		r.byRecency.MoveToFront(el)
		return el.Value.(*estimate)
	}
	limit := r.MaxRoutes
	if limit == 0 {
		limit = DefaultMaxRoutes
	}
	if r.byRecency.Len() >= limit {
		oldest := r.byRecency.Remove(r.byRecency.Back()).(*estimate)
		delete(r.byRoute, oldest.route)
	}
	e := &estimate{route: route}
	r.byRoute[route] = r.byRecency.PushFront(e)
	return e
}

// Expected returns the expected run time of a route, or zero if it is unknown.
func (r *RunTimes) Expected(now time.Time, route string) time.Duration {
	el, ok := r.byRoute[route]
	if !ok {
		return 0
	}
	e := el.Value.(*estimate)
	return seconds(e.mean * math.Exp2(-e.halvings(now)))
}

// halvings returns the number of half-lives for which the estimate has decayed.
// The decay begins idleHalfLife after the last observation.
func (e *estimate) halvings(now time.Time) float64 {
	return max(0, float64(now.Sub(e.lastObserved))/float64(idleHalfLife)-1)
}

// P95 returns the estimated 95th percentile of the run times of a route, or zero
// if it has fewer than minObservations.
func (r *RunTimes) P95(route string) time.Duration {
	el, ok := r.byRoute[route]
	if !ok || el.Value.(*estimate).observations < minObservations {
		return 0
	}
	return seconds(math.Exp(el.Value.(*estimate).logP95))
}

// Len returns the number of known routes.
func (r *RunTimes) Len() int { return r.byRecency.Len() }

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// minHedgeDelay is the shortest delay of a hedge. Shorter delays are within the
// noise of the machine.
const minHedgeDelay = 2 * time.Millisecond

// HedgeAfter returns how long after the start of a request a second copy of it is
// sent, and whether it may be sent. The p95 of the route must be known, and the
// remaining time must cover the delay and the expected run time of the copy.
func (r *RunTimes) HedgeAfter(now time.Time, route string, remaining time.Duration) (time.Duration, bool) {
	p95 := r.P95(route)
	if p95 == 0 {
		return 0, false
	}
	after := max(p95, minHedgeDelay)
	return after, after+r.Expected(now, route) < remaining
}
