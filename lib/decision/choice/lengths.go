package choice

import (
	"container/list"
	"math"
	"time"
)

const (
	// DefaultRoutes bounds the routes of Lengths. An entry takes about 200 bytes.
	DefaultRoutes = 1 << 14
	// gain is the weight of a new observation after the first ones.
	gain = 0.05
	// clip bounds an observation in multiples of the estimate, so that single
	// stragglers do not raise the expected length.
	clip = 5
	// minObservations are needed before the p95 is used.
	minObservations = 20
	// quiet is the time without observations after which an estimate halves, and
	// halves again. An estimate that is too high would otherwise refuse all
	// requests that could correct it.
	quiet = time.Second
)

// Lengths estimates the run time of requests by route. Its memory is bounded:
// the route that was not observed for longest is forgotten.
type Lengths struct {
	// Routes is the largest number of routes; zero means DefaultRoutes.
	Routes int

	byName map[string]*list.Element
	order  list.List // of *length, the most recently observed first
}

// length is the estimate of one route.
type length struct {
	route string
	n     int
	mean  float64 // of clipped observations, in seconds
	log95 float64 // logarithm of the p95 in seconds
	last  time.Time
}

// Observe records the run time of a request.
func (l *Lengths) Observe(now time.Time, route string, d time.Duration) {
	x := max(d.Seconds(), 1e-6)
	e := l.entry(route)
	e.n++
	e.last = now
	if e.n == 1 {
		e.mean, e.log95 = x, math.Log(x)
		return
	}
	g := max(gain, 1/float64(e.n))
	e.mean += g * (min(x, clip*e.mean) - e.mean)
	// The estimate rises by 0.95 steps and falls by 0.05, which balances at the
	// quantile.
	step := g * 4
	if math.Log(x) > e.log95 {
		e.log95 += step * 0.95
	} else {
		e.log95 -= step * 0.05
	}
}

func (l *Lengths) entry(route string) *length {
	if l.byName == nil {
		l.byName = make(map[string]*list.Element)
	}
	if el, ok := l.byName[route]; ok {
		l.order.MoveToFront(el)
		return el.Value.(*length)
	}
	limit := l.Routes
	if limit == 0 {
		limit = DefaultRoutes
	}
	if l.order.Len() >= limit {
		oldest := l.order.Remove(l.order.Back()).(*length)
		delete(l.byName, oldest.route)
	}
	e := &length{route: route}
	l.byName[route] = l.order.PushFront(e)
	return e
}

// Expected returns the expected run time of a route, or zero if it is unknown.
func (l *Lengths) Expected(now time.Time, route string) time.Duration {
	el, ok := l.byName[route]
	if !ok {
		return 0
	}
	e := el.Value.(*length)
	return seconds(e.mean * math.Exp2(-e.halvings(now)))
}

// halvings returns how often the estimate halved since the last observation.
func (e *length) halvings(now time.Time) float64 {
	return max(0, float64(now.Sub(e.last))/float64(quiet)-1)
}

// P95 returns the run time that 95 of 100 requests of a route do not exceed,
// or zero if it is unknown.
func (l *Lengths) P95(route string) time.Duration {
	el, ok := l.byName[route]
	if !ok || el.Value.(*length).n < minObservations {
		return 0
	}
	return seconds(math.Exp(el.Value.(*length).log95))
}

// Len returns the number of routes that are known.
func (l *Lengths) Len() int { return l.order.Len() }

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// minHedge is the shortest delay of a hedge, as shorter ones are noise of the
// machine.
const minHedge = 2 * time.Millisecond

// HedgeAfter returns how long after its start a request of a route gets a
// second copy, and whether it may get one: the p95 must be known, and the time
// left must allow the copy a run of the expected length.
func (l *Lengths) HedgeAfter(now time.Time, route string, remaining time.Duration) (time.Duration, bool) {
	p95 := l.P95(route)
	if p95 == 0 {
		return 0, false
	}
	after := max(p95, minHedge)
	return after, after+l.Expected(now, route) < remaining
}
