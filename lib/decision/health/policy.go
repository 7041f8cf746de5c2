package health

import (
	"math"
	"time"
)

// Evidence is one observation of an instance, compared with its siblings.
type Evidence struct {
	Ratios Ratios
	// Bad is set for an error and for a duration that is more likely at a faulty
	// instance.
	Bad bool
	// Failed is set for an error.
	Failed bool
	// Since is the start of a running request, and Siblings the number of
	// observations of siblings up to then.
	Since    time.Time
	Siblings int
}

// Score is the accumulated evidence against an instance for the most likely
// hypothesis.
type Score struct {
	Hypothesis   Hypothesis
	Samples, Bad int
	// Value is the evidence as a multiple of the threshold.
	Value float64
	// Siblings counts the observations of siblings since Since.
	Siblings int
	Since    time.Time
	// LogOdds is the log-likelihood ratio that Value is computed from, or 0 if the
	// policy computes none.
	LogOdds float64
}

// Policy turns evidence into a score. S is its state for one instance.
type Policy[S any] interface {
	// Add records a request that has ended. Siblings is the number of
	// observations of siblings so far.
	Add(s *S, now time.Time, e Evidence, siblings int)
	// Score returns the evidence from the recorded requests together with those
	// that are still running. Siblings is the number of observations of siblings
	// so far.
	Score(s *S, now time.Time, running []Evidence, siblings int) Score
	// DiscountShared reduces the evidence so far because the whole service shows
	// the same fault.
	DiscountShared(s *S, now time.Time)
}

// Sequential is the default policy. It sums the log-likelihood ratios of each
// hypothesis and resets a sum that falls to 0 or below (CUSUM).
type Sequential struct {
	// Threshold is the sum at which an instance counts as faulty at
	// referenceRate. The probability that a healthy instance reaches it falls by
	// a factor of e for each unit.
	Threshold float64
	// MinBad is the minimum number of bad observations for a score of 1 or more.
	MinBad int
}

// DefaultSequential holds the default settings. With a threshold of 18, five
// healthy instances were ejected in four simulated hours; with 21, one was.
var DefaultSequential = Sequential{Threshold: 21, MinBad: 3}

const (
	// referenceRate is the rate that Threshold applies to, in requests per
	// second. At another rate the threshold changes by the logarithm of the ratio
	// of the rates, so that the number of false alarms per day stays the same.
	referenceRate = 30
	// minThreshold is the lower bound of the threshold at low rates, before the
	// discounts for hangs and episodes.
	minThreshold = 12
	// rateHalfLife is the half-life of the estimate of the request rate.
	rateHalfLife = 30 * time.Second
	// hangDiscount is subtracted from the threshold of Hangs. The slots limit the
	// number of hung requests, so that three of them must suffice.
	hangDiscount = 3
	// An episode is a rise of a sum to at least episodeFraction of the threshold
	// that ended without an ejection. It is remembered for episodeMaxAge. Each of
	// the last two episodes lowers the threshold by the fraction episodeDiscount,
	// so that an intermittently faulty instance is detected faster each time.
	episodeFraction = 0.6
	episodeMaxAge   = time.Minute
	episodeDiscount = 0.15
	maxEpisodes     = 2
	// maxSumFactor limits a sum to a multiple of the threshold, so that the
	// instances of a service that was slow everywhere recover at the same time.
	maxSumFactor = 1.3
	// sharedSumFraction limits a sum to this fraction of the threshold when the
	// whole service shows the same fault.
	sharedSumFraction = 0.5
	// sumHalfLife is the half-life of a sum. At a low request rate, evidence that
	// is some minutes old says little about the present state of an instance.
	sumHalfLife = time.Minute
)

// sum is the CUSUM statistic of one hypothesis since its last reset. The value is
// 0 while there is no evidence; peak is the highest value since the reset.
type sum struct {
	value, peak  float64
	samples, bad int
	since        time.Time
	siblings     int
}

// SequentialState is the state of Sequential for one instance.
type SequentialState struct {
	sums     [hypotheses]sum
	episodes []time.Time
	// count is the number of requests, exponentially decayed up to the time last.
	count float64
	last  time.Time
}

// Add implements Policy.
func (p Sequential) Add(s *SequentialState, now time.Time, e Evidence, siblings int) {
	s.count = 1 + s.count*math.Exp2(-float64(now.Sub(s.last))/float64(rateHalfLife))
	decay := math.Exp2(-float64(now.Sub(s.last)) / float64(sumHalfLife))
	s.last = now
	limit := maxSumFactor * p.threshold(s, now)
	for h := range s.sums {
		x := &s.sums[h]
		if x.value == 0 && e.Ratios[h] <= 0 {
			continue
		}
		if x.value == 0 {
			*x = sum{since: now, siblings: siblings}
		}
		x.value = min(x.value*decay+e.Ratios[h], limit)
		x.samples++
		if e.Bad {
			x.bad++
		}
		x.peak = max(x.peak, x.value)
		if x.value <= 0 {
			if x.peak >= episodeFraction*p.Threshold {
				s.addEpisode(now)
			}
			*x = sum{}
		}
	}
}

// DiscountShared implements Policy.
func (p Sequential) DiscountShared(s *SequentialState, now time.Time) {
	limit := sharedSumFraction * p.threshold(s, now)
	for h := range s.sums {
		s.sums[h].value = min(s.sums[h].value, limit)
	}
}

// addEpisode records an episode that ended at the given time and keeps the latest
// maxEpisodes.
func (s *SequentialState) addEpisode(now time.Time) {
	s.episodes = append(s.episodes, now)
	if len(s.episodes) > maxEpisodes {
		s.episodes = s.episodes[1:]
	}
}

// threshold returns the threshold for the current request rate and the recent
// episodes. It drops episodes older than episodeMaxAge.
func (p Sequential) threshold(s *SequentialState, now time.Time) float64 {
	for len(s.episodes) > 0 && now.Sub(s.episodes[0]) > episodeMaxAge {
		s.episodes = s.episodes[1:]
	}
	rate := s.count * math.Ln2 / rateHalfLife.Seconds()
	threshold := max(minThreshold, p.Threshold+math.Log((rate+1/rateHalfLife.Seconds())/referenceRate))
	return threshold * (1 - episodeDiscount*float64(len(s.episodes)))
}

// Score implements Policy.
func (p Sequential) Score(s *SequentialState, now time.Time, running []Evidence, siblings int) Score {
	threshold := p.threshold(s, now)
	var best Score
	for h := range s.sums {
		c := p.scoreHypothesis(Hypothesis(h), s.sums[h], now, running, siblings, threshold)
		if c.Value > best.Value || best.Since.IsZero() {
			best = c
		}
	}
	return best
}

// scoreHypothesis returns the score of one hypothesis. Running requests count only
// if their ratio is positive.
func (p Sequential) scoreHypothesis(h Hypothesis, x sum, now time.Time, running []Evidence, siblings int,
	threshold float64) Score {
	if h == Hangs {
		threshold -= hangDiscount
	}
	if x.value == 0 {
		x.since, x.siblings = now, siblings
	}
	for _, e := range running {
		if e.Ratios[h] > 0 {
			if e.Since.Before(x.since) {
				x.since, x.siblings = e.Since, e.Siblings
			}
			x.value += e.Ratios[h]
			x.samples++
			x.bad++
		}
	}
	score := Score{Hypothesis: h, Samples: x.samples, Bad: x.bad, Value: x.value / threshold,
		Siblings: siblings - x.siblings, Since: x.since, LogOdds: x.value}
	if x.bad < p.MinBad {
		score.Value = min(score.Value, maxInsufficientScore)
	}
	return score
}

// maxInsufficientScore limits the score of an instance with fewer bad
// observations than MinBad, so that it stays below the threshold.
const maxInsufficientScore = 0.99

// Consecutive is a simple policy to compare Sequential with. It considers an
// instance faulty after Errors consecutive errors.
type Consecutive struct {
	Errors int
}

// ConsecutiveState counts the errors since the last request that ended without
// one.
type ConsecutiveState struct {
	errors int
	since  time.Time
}

// Add implements Policy.
func (p Consecutive) Add(s *ConsecutiveState, now time.Time, e Evidence, _ int) {
	if !e.Failed {
		s.errors = 0
		return
	}
	if s.errors == 0 {
		s.since = now
	}
	s.errors++
}

// Score implements Policy.
func (p Consecutive) Score(s *ConsecutiveState, _ time.Time, _ []Evidence, _ int) Score {
	v := float64(s.errors) / float64(p.Errors)
	return Score{Hypothesis: Errors, Samples: s.errors, Bad: s.errors, Value: v, Since: s.since}
}

// DiscountShared implements Policy.
func (Consecutive) DiscountShared(*ConsecutiveState, time.Time) {}

// priorLogOdds is the natural logarithm of the odds that an instance is healthy
// before any evidence.
const priorLogOdds = 9.2

// confidence returns the posterior probability of a fault.
func confidence(logOdds float64) float64 { return 1 / (1 + math.Exp(priorLogOdds-logOdds)) }
