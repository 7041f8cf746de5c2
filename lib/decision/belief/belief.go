package belief

import (
	"math"
	"time"
)

// Model holds the parameters of the states.
type Model struct {
	// MeanGood and Failing are the mean times that an instance spends in a state.
	MeanGood, MeanFailing time.Duration
	// GoodError and FailingError are the probabilities that a request fails.
	GoodError, FailingError float64
}

// DefaultModel describes episodes of a few seconds in which most requests fail.
// Instances of the present deployments fail 1.2% of their requests when good and
// spend about three tenths of the time in episodes of three seconds.
var DefaultModel = Model{MeanGood: 7 * time.Second, MeanFailing: 3 * time.Second, GoodError: 0.02, FailingError: 0.85}

// Prior is the share of time that an instance fails on average.
func (m Model) Prior() float64 {
	return float64(m.MeanFailing) / float64(m.MeanGood+m.MeanFailing)
}

// Predict returns the probability that an instance fails, a time after it was p
// and without evidence in between.
func (m Model) Predict(p float64, after time.Duration) float64 {
	if after <= 0 {
		return p
	}
	rate := 1/m.MeanGood.Seconds() + 1/m.MeanFailing.Seconds()
	prior := m.Prior()
	return prior + (p-prior)*math.Exp(-rate*after.Seconds())
}

// Update returns the probability after the outcome of a request. Weight between
// 0 and 1 says how much of the outcome is explained by the instance itself: the
// failure of a nested call, or a lost link, says less.
func (m Model) Update(p float64, failed bool, weight float64) float64 {
	good, failing := 1-m.GoodError, 1-m.FailingError
	if failed {
		good, failing = m.GoodError, m.FailingError
	}
	ratio := math.Pow(failing/good, weight)
	odds := p / (1 - p) * ratio
	return min(max(odds/(1+odds), minProbability), 1-minProbability)
}

// minProbability keeps the belief from reaching certainty, from which no evidence
// leads back.
const minProbability = 0.005

const (
	// hangFactor is the multiple of the expected run time after which a run counts
	// as a sign of a hang. A few runs in a hundred of a good instance last as long.
	hangFactor = 5
	// minHangTime keeps short runs from counting as hangs for delays of the scheduler.
	minHangTime = 250 * time.Millisecond
	// HangWeight is the weight of such a run as a failure. It is below one, as the
	// run may also wait for the calls that it made.
	HangWeight = 0.6
)

// HangAfter returns how long a run may last before it counts as a failure of
// weight HangWeight, if runs are expected to last for a time.
func HangAfter(expected time.Duration) time.Duration { return max(minHangTime, hangFactor*expected) }

// Filter is the belief about one instance. It is used by one goroutine.
type Filter struct {
	Model Model

	probability float64
	updatedAt   time.Time
	// evidenceAt is when the last outcome was observed.
	evidenceAt time.Time
}

// Observe takes the outcome of a request.
func (f *Filter) Observe(now time.Time, failed bool, weight float64) {
	f.probability = f.Model.Update(f.FailingProbability(now), failed, weight)
	f.updatedAt, f.evidenceAt = now, now
}

// Set takes over the belief of another node, with the time of its evidence.
func (f *Filter) Set(p float64, evidence, now time.Time) {
	f.probability, f.updatedAt, f.evidenceAt = p, now, evidence
}

// FailingProbability returns the probability that the instance fails at present.
func (f *Filter) FailingProbability(now time.Time) float64 {
	if f.updatedAt.IsZero() {
		return f.Model.Prior()
	}
	return f.Model.Predict(f.probability, now.Sub(f.updatedAt))
}

// EvidenceAt returns when the last outcome was observed, or the zero time.
func (f *Filter) EvidenceAt() time.Time { return f.evidenceAt }
