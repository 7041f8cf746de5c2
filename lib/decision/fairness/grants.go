package fairness

import "time"

// minRequests is the number of recent requests from which the granted part of them
// says something about a holder.
const minRequests = 4

// Grants counts the recent requests of each holder and those that were granted. It is
// not safe for concurrent use.
type Grants[K comparable] struct {
	HalfLife time.Duration
	// Limit is the number of holders that are kept.
	Limit int

	table table[K, grants]
	all   grants
}

// grants counts requests and those that were granted.
type grants struct {
	requests, granted decaying
}

// part returns the granted part of the requests.
func (g *grants) part(now time.Time, halfLife time.Duration) float64 {
	return g.granted.valueAt(now, halfLife) / max(g.requests.valueAt(now, halfLife), 1)
}

// Request records a request of k.
func (g *Grants[K]) Request(now time.Time, k K) {
	g.of(now, k).requests.add(now, g.HalfLife, 1)
	g.all.requests.add(now, g.HalfLife, 1)
}

// Grant records that n requests of k were granted. A negative number takes grants
// back.
func (g *Grants[K]) Grant(now time.Time, k K, n int) {
	g.of(now, k).granted.add(now, g.HalfLife, float64(n))
	g.all.granted.add(now, g.HalfLife, float64(n))
}

func (g *Grants[K]) of(now time.Time, k K) *grants {
	return g.table.get(k, g.Limit, func(r *grants) float64 { return r.requests.valueAt(now, g.HalfLife) })
}

// Part returns the granted part of all requests.
func (g *Grants[K]) Part(now time.Time) float64 { return g.all.part(now, g.HalfLife) }

// Below reports whether the granted part of the requests of k is less than part. It is
// not known after few requests.
func (g *Grants[K]) Below(now time.Time, k K, part float64) bool {
	r := g.table.find(k)
	return r != nil && r.requests.valueAt(now, g.HalfLife) >= minRequests && r.part(now, g.HalfLife) < part
}

// Each calls f with each holder that is kept and the number of its recent requests.
func (g *Grants[K]) Each(now time.Time, f func(k K, requests float64)) {
	for k, r := range g.table.records {
		f(k, r.requests.valueAt(now, g.HalfLife))
	}
}

// AllRequests returns the number of recent requests of all holders, and how many of them
// were granted.
func (g *Grants[K]) AllRequests(now time.Time) (requests, granted float64) {
	return g.all.requests.valueAt(now, g.HalfLife), g.all.granted.valueAt(now, g.HalfLife)
}
