package health

import (
	"math"
	"time"
)

// The service times of a route are counted in a histogram whose bin bounds grow by
// the factor 2^(1/binsPerOctave).
const (
	bins          = 64
	binsPerOctave = 3
	// firstBin is the upper bound of the lowest bin. Callers do not notice
	// differences between shorter times.
	firstBin = time.Millisecond
	// slowBins is the slowdown that the hypothesis Slow assumes, in bins. It is
	// a factor of 4.
	slowBins = 2 * binsPerOctave
	// hangShare and errorShare are the shares of requests that the hypotheses
	// Hangs and Errors assume to be affected.
	hangShare  = 0.2
	errorShare = 0.1
)

// Bounds of the log-likelihood ratio of one observation. Errors often come in
// groups with a common cause, so a single error must not weigh much.
const (
	maxErrorRatio = 5
	maxSlowRatio  = 4
	maxHangRatio  = 9
	minSlowRatio  = -2
)

const (
	// halfLife is the half-life of the weight of old observations.
	halfLife = time.Minute
	// minKeptWeight is the weight of observations below which there is no
	// decay, so that a pause in traffic does not erase the baseline.
	minKeptWeight = 400
	// minWeight is the weight of observations needed before service times are
	// compared. The ratios of Slow are scaled down to half at halfTrustWeight,
	// as few observations give only a rough estimate of rare times.
	minWeight       = 40
	halfTrustWeight = 50
	// pseudoCount is added to each bin to allow for times that were not
	// observed yet.
	pseudoCount = 0.005
	// priorErrors and priorAnswers are the pseudo-counts of the error share:
	// 0.05 errors in 50 requests. The estimated share is never below
	// minErrorShare.
	priorErrors   = 0.05
	priorAnswers  = 50
	minErrorShare = 3e-4
	// slowMixture is the weight of a uniform distribution that is mixed into
	// the hypothesis Slow. It limits the ratio of bins without observations in
	// the baseline.
	slowMixture = 0.02
)

// bin returns the index of the histogram bin of a duration.
func bin(t time.Duration) int {
	if t <= firstBin {
		return 0
	}
	b := int(math.Ceil(binsPerOctave * math.Log2(float64(t)/float64(firstBin))))
	return min(b, bins-1)
}

// ratioTable holds the log-likelihood ratios of a route for each bin.
type ratioTable struct {
	// slow is the ratio of the hypothesis Slow for a finished request.
	slow [bins]float64
	// slowRunning and hangRunning are the ratios of the hypotheses Slow and
	// Hangs for a request whose age is in the bin and that is still running.
	slowRunning, hangRunning [bins]float64
}

// route is the baseline of a route, learned from the instances of a service
// whose scores are below maxLearnScore.
type route struct {
	counts  [bins]float64
	weight  float64
	decayed time.Time
	// table is derived from counts when the weight changed and the table is at
	// least maxTableAge old. derivedWeight and derivedAt are the weight and the
	// time of the last derivation.
	table         ratioTable
	derivedWeight float64
	derivedAt     time.Time
}

// maxTableAge is the age from which a table is recomputed if counts changed.
const maxTableAge = 200 * time.Millisecond

// learn adds a service time with weight w.
func (r *route) learn(t time.Duration, w float64) {
	r.counts[bin(t)] += w
	r.weight += w
}

// decay halves the weights every halfLife, in steps of at least 1 s and down to
// a total of minKeptWeight.
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

// ready reports whether the baseline has enough observations to compare service
// times with it.
func (r *route) ready() bool { return r.weight >= minWeight }

// ratios returns the table of ratios, recomputed if it is out of date.
func (r *route) ratios(now time.Time) *ratioTable {
	if now.Sub(r.derivedAt) >= maxTableAge && r.weight != r.derivedWeight {
		r.derive()
		r.derivedWeight, r.derivedAt = r.weight, now
	}
	return &r.table
}

// derive computes the table. It smooths the histogram into a probability p for
// each bin and a survival function s.
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

// hangAnsweredRatio is the ratio of an answered request for the hypothesis
// Hangs.
var hangAnsweredRatio = math.Log(1 - hangShare)

// errorCounts is the baseline of the error share, learned from the instances of
// a service whose scores are below maxLearnScore.
type errorCounts struct {
	errors, answers float64
	decayed         time.Time
	// failedRatio and answeredRatio are the ratios of a failed and of an
	// answered request for the hypothesis Errors.
	failedRatio, answeredRatio float64
}

// learn adds a request with weight w.
func (e *errorCounts) learn(failed bool, w float64) {
	if failed {
		e.errors += w
	}
	e.answers += w
}

// refresh decays the counts and derives the ratios from them.
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
