package belief

import (
	"math"
	"time"
)

// Model holds the parameters of the states.
type Model struct {
	// Good and Failing are the mean times that an instance spends in a state.
	Good, Failing time.Duration
	// GoodError and FailingError are the probabilities that a request fails.
	GoodError, FailingError float64
}

// DefaultModel describes episodes of a few seconds in which most requests fail.
// Instances of the present deployments fail 1.2% of their requests when good and
// spend about three tenths of the time in episodes of three seconds.
var DefaultModel = Model{Good: 7 * time.Second, Failing: 3 * time.Second, GoodError: 0.02, FailingError: 0.85}

// Prior is the share of time that an instance fails on average.
func (m Model) Prior() float64 {
	return float64(m.Failing) / float64(m.Good+m.Failing)
}

// Relax returns the probability that an instance fails, a time after it was p
// and without evidence in between.
func (m Model) Relax(p float64, after time.Duration) float64 {
	if after <= 0 {
		return p
	}
	rate := 1/m.Good.Seconds() + 1/m.Failing.Seconds()
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
	return min(max(odds/(1+odds), minimum), 1-minimum)
}

// minimum keeps the belief from reaching certainty, from which no evidence
// leads back.
const minimum = 0.005

const (
	// hangFactor is the multiple of the expected run time after which a run counts
	// as a sign of a hang. A few runs in a hundred of a good instance last as long.
	hangFactor = 5
	// minHang keeps short runs from counting as hangs for delays of the scheduler.
	minHang = 250 * time.Millisecond
	// HangWeight is the weight of such a run as a failure. It is below one, as the
	// run may also wait for the calls that it made.
	HangWeight = 0.6
)

// HangAfter returns how long a run may last before it counts as a failure of
// weight HangWeight, if runs are expected to last for a time.
func HangAfter(expected time.Duration) time.Duration { return max(minHang, hangFactor*expected) }

// Filter is the belief about one instance. It is used by one goroutine.
type Filter struct {
	Model Model

	p  float64
	at time.Time
	// evidence is when the last outcome was observed.
	evidence time.Time
}

// Observe takes the outcome of a request.
func (f *Filter) Observe(now time.Time, failed bool, weight float64) {
	f.p = f.Model.Update(f.Failing(now), failed, weight)
	f.at, f.evidence = now, now
}

// Set takes over the belief of another node, with the time of its evidence.
func (f *Filter) Set(p float64, evidence, now time.Time) {
	f.p, f.at, f.evidence = p, now, evidence
}

// Failing returns the probability that the instance fails at present.
func (f *Filter) Failing(now time.Time) float64 {
	if f.at.IsZero() {
		return f.Model.Prior()
	}
	return f.Model.Relax(f.p, now.Sub(f.at))
}

// Evidence returns when the last outcome was observed, or the zero time.
func (f *Filter) Evidence() time.Time { return f.evidence }
