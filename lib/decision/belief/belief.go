package belief

import (
	"math"
	"time"
)

// Model holds the parameters of the two states.
type Model struct {
	// MeanGood and MeanFailing are the mean times that an instance stays in a
	// state.
	MeanGood, MeanFailing time.Duration
	// GoodError and FailingError are the probabilities that a request fails in
	// a state.
	GoodError, FailingError float64
}

// DefaultModel describes episodes of a few seconds in which most requests fail.
// In the present deployments, good instances fail 1.2% of their requests, and
// instances spend about 30% of the time in episodes of 3 s.
var DefaultModel = Model{MeanGood: 7 * time.Second, MeanFailing: 3 * time.Second, GoodError: 0.02, FailingError: 0.85}

// Prior returns the share of time that an instance fails on average.
func (m Model) Prior() float64 {
	return float64(m.MeanFailing) / float64(m.MeanGood+m.MeanFailing)
}

// Predict returns the probability that an instance fails once the duration after
// has passed without evidence, if p was its probability before.
func (m Model) Predict(p float64, after time.Duration) float64 {
	if after <= 0 {
		return p
	}
	rate := 1/m.MeanGood.Seconds() + 1/m.MeanFailing.Seconds()
	prior := m.Prior()
	return prior + (p-prior)*math.Exp(-rate*after.Seconds())
}

// Update returns the probability that an instance fails after the outcome of a
// request, given that it was p before. Weight, between 0 and 1, is the share of
// the outcome that the instance itself explains: the failure of a nested call,
// or a lost link, is weaker evidence than a failure of its own.
func (m Model) Update(p float64, failed bool, weight float64) float64 {
	good, failing := 1-m.GoodError, 1-m.FailingError
	if failed {
		good, failing = m.GoodError, m.FailingError
	}
	ratio := math.Pow(failing/good, weight)
	odds := p / (1 - p) * ratio
	return min(max(odds/(1+odds), minProbability), 1-minProbability)
}

// minProbability is the distance that a probability keeps from 0 and 1, since
// no evidence could move it away from either.
const minProbability = 0.005

const (
	// hangFactor is the multiple of the expected run time after which a run
	// counts as evidence of a hang. A few percent of the runs of a good
	// instance last as long.
	hangFactor = 5
	// minHangTime is the least run time that counts as a hang. It keeps
	// scheduling delays from turning short runs into hangs.
	minHangTime = 250 * time.Millisecond
	// HangWeight is the weight of such a run as a failure. It is below one, as
	// the run may be waiting for calls that it made.
	HangWeight = 0.6
)

// HangAfter returns the run time after which a request with the given expected
// run time counts as a failure of weight HangWeight.
func HangAfter(expected time.Duration) time.Duration { return max(minHangTime, hangFactor*expected) }

// Filter estimates the probability that one instance fails. It is not safe for
// concurrent use.
type Filter struct {
	Model Model

	probability float64
	updatedAt   time.Time
	// evidenceAt is when the last outcome was observed.
	evidenceAt time.Time
}

// Observe updates the estimate with the outcome of a request; see Model.Update
// for its weight.
func (f *Filter) Observe(now time.Time, failed bool, weight float64) {
	f.probability = f.Model.Update(f.FailingProbability(now), failed, weight)
	f.updatedAt, f.evidenceAt = now, now
}

// Set adopts the probability p that another node estimated from evidence up to
// the given time.
func (f *Filter) Set(p float64, evidence, now time.Time) {
	f.probability, f.updatedAt, f.evidenceAt = p, now, evidence
}

// FailingProbability returns the probability that the instance fails at the
// time now.
func (f *Filter) FailingProbability(now time.Time) float64 {
	if f.updatedAt.IsZero() {
		return f.Model.Prior()
	}
	return f.Model.Predict(f.probability, now.Sub(f.updatedAt))
}

// EvidenceAt returns when the last outcome was observed, or the zero time if
// none was.
func (f *Filter) EvidenceAt() time.Time { return f.evidenceAt }
