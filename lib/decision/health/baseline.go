package health

import (
	"math"
	"time"
)

// The times of a route are counted in bins whose bounds grow by the factor
// 2^(1/binsPerOctave).
const (
	bins          = 64
	binsPerOctave = 3
	// firstBin is the upper bound of the lowest bin. Differences between shorter
	// times are not seen by callers.
	firstBin = time.Millisecond
	// slowBins is the slowdown of the hypothesis Slow: 4 times.
	slowBins = 2 * binsPerOctave
	// hangShare and errorShare are the shares of the hypotheses Hangs and Errors.
	hangShare  = 0.2
	errorShare = 0.1
)

// Bounds of one observation. Errors often come in groups from one cause, so no
// single one may count much.
const (
	maxErrorRatio = 5
	maxSlowRatio  = 4
	maxHangRatio  = 9
	minSlowRatio  = -2
)

const (
	// halfLife is the time in which the weight of old observations halves.
	halfLife = time.Minute
	// minKeptWeight of observations is never forgotten, so that a pause of the
	// traffic does not lose the usual times.
	minKeptWeight = 400
	// minWeight of observations is needed before times are judged. The ratios of Slow
	// reach half of their size at halfTrust, as few observations give the rare
	// times only roughly.
	minWeight       = 40
	halfTrustWeight = 50
	// pseudoCount is the pseudo weight of each bin, which stands for times that
	// were not seen yet.
	pseudoCount = 0.005
	// Prior of the share of errors: 0.05 of 50, and never below minErrorShare.
	priorErrors   = 0.05
	priorAnswers  = 50
	minErrorShare = 3e-4
	// slowMixture is the weight of an unknown distribution in the hypothesis
	// Slow, which bounds the ratio of bins that the siblings never use.
	slowMixture = 0.02
)

// bin returns the bin of a time.
func bin(t time.Duration) int {
	if t <= firstBin {
		return 0
	}
	b := int(math.Ceil(binsPerOctave * math.Log2(float64(t)/float64(firstBin))))
	return min(b, bins-1)
}

// ratioTable is the usual distribution of a route, in the form that the ratios need.
type ratioTable struct {
	// slow is the ratio of a finished request for each bin.
	slow [bins]float64
	// slowRunning and hangRunning are those of a request that reached the bin and
	// still runs.
	slowRunning, hangRunning [bins]float64
}

// route is the usual behaviour of a route, learned from the siblings.
type route struct {
	counts  [bins]float64
	weight  float64
	decayed time.Time
	// table is derived from counts when they changed enough.
	table         ratioTable
	derivedWeight float64
	derivedAt     time.Time
}

// maxTableAge is the longest time for which a table is used while counts change.
const maxTableAge = 200 * time.Millisecond

func (r *route) learn(t time.Duration, w float64) {
	r.counts[bin(t)] += w
	r.weight += w
}

// decay halves the weight each halfLife.
func (r *route) decay(now time.Time) {
	if r.decayed.IsZero() {
		r.decayed = now
	}
	age := now.Sub(r.decayed)
	if age < time.Second {
		return
	}
	r.decayed = now
	if r.weight <= minKeptWeight {
		return
	}
	f := math.Exp2(-float64(age) / float64(halfLife))
	f = max(f, minKeptWeight/r.weight)
	r.weight *= f
	for i := range r.counts {
		r.counts[i] *= f
	}
}

// ready reports whether enough is known to judge times.
func (r *route) ready() bool { return r.weight >= minWeight }

// ratios returns the current table.
func (r *route) ratios(now time.Time) *ratioTable {
	if now.Sub(r.derivedAt) >= maxTableAge && r.weight != r.derivedWeight {
		r.derive()
		r.derivedWeight, r.derivedAt = r.weight, now
	}
	return &r.table
}

// derive computes the table from smoothed shares.
func (r *route) derive() {
	var p, s [bins + 1]float64
	total := r.weight + pseudoCount*bins
	for i := range bins {
		lower, upper := r.counts[max(i-1, 0)], r.counts[min(i+1, bins-1)]
		p[i] = (0.1*lower + 0.8*r.counts[i] + 0.1*upper + pseudoCount) / total
	}
	for i := bins - 1; i >= 0; i-- {
		s[i] = s[i+1] + p[i]
	}
	trust := r.weight / (r.weight + halfTrustWeight)
	for i := range bins {
		p1, s1 := 0.0, 1.0
		if i >= slowBins {
			p1, s1 = p[i-slowBins], s[i-slowBins]
		}
		p1 = (1-slowMixture)*p1 + slowMixture/bins
		r.table.slow[i] = trust * clamp(math.Log(p1/p[i]), minSlowRatio, maxSlowRatio)
		r.table.slowRunning[i] = trust * clamp(math.Log(s1/s[i]), 0, maxSlowRatio)
		r.table.hangRunning[i] = clamp(math.Log((hangShare+(1-hangShare)*s[i])/s[i]), 0, maxHangRatio)
	}
}

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }

// hangAnsweredRatio is the ratio of a finished request for the hypothesis Hangs.
var hangAnsweredRatio = math.Log(1 - hangShare)

// errorCounts is the usual share of errors, learned from the siblings.
type errorCounts struct {
	errors, answers float64
	decayed         time.Time
	// failedRatio and answered are the ratios, derived from the share.
	failedRatio, answeredRatio float64
}

func (e *errorCounts) learn(failed bool, w float64) {
	if failed {
		e.errors += w
	}
	e.answers += w
}

// refresh decays the counts and derives the ratios.
func (e *errorCounts) refresh(now time.Time) {
	age := now.Sub(e.decayed)
	if age >= time.Second && e.answers > minKeptWeight && !e.decayed.IsZero() {
		f := max(math.Exp2(-float64(age)/float64(halfLife)), minKeptWeight/e.answers)
		e.errors *= f
		e.answers *= f
	}
	if age >= time.Second {
		e.decayed = now
	}
	p0 := max((e.errors+priorErrors)/(e.answers+priorAnswers), minErrorShare)
	p0 = min(p0, 0.9)
	p1 := p0 + errorShare*(1-p0)
	e.failedRatio = min(math.Log(p1/p0), maxErrorRatio)
	e.answeredRatio = math.Log((1 - p1) / (1 - p0))
}
