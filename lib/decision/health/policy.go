package health

import (
	"math"
	"time"
)

// Evidence is one observation of an instance, compared with its siblings.
type Evidence struct {
	Ratios Ratios
	// Bad is set for an error, and for a time that is more likely at a faulty
	// instance.
	Bad bool
	// Failed is set for an error.
	Failed bool
	// Since and Siblings are the start of a running request and the observations
	// of siblings up to then.
	Since    time.Time
	Siblings int
}

// Score is the evidence against an instance.
type Score struct {
	Hypothesis   Hypothesis
	Samples, Bad int
	// Value is a multiple of the threshold.
	Value float64
	// Siblings counts the observations of siblings since Since.
	Siblings int
	Since    time.Time
	// LogOdds is the log likelihood ratio behind Value, 0 if the policy has none.
	LogOdds float64
}

// Policy turns evidence into a score. S is its state for one instance.
type Policy[S any] interface {
	// Add records a finished request.
	Add(s *S, now time.Time, e Evidence, siblings int)
	// Score judges the finished requests together with those that still run.
	// Siblings counts the observations of siblings since the start.
	Score(s *S, now time.Time, running []Evidence, siblings int) Score
	// DiscountShared discounts the evidence so far, as the whole service shares it.
	DiscountShared(s *S, now time.Time)
}

// Sequential is the policy in use. It sums the log likelihood ratios of each
// hypothesis and starts anew where a sum falls below 0 (CUSUM).
type Sequential struct {
	// Threshold is the sum that is enough at referenceRate. The chance that a
	// healthy instance reaches it falls by e for each unit.
	Threshold float64
	// MinBad is the least number of bad observations.
	MinBad int
}

// DefaultSequential holds the settings that the measurements use. With a
// threshold of 18, five healthy instances were ejected in four simulated hours, with
// 21 one.
var DefaultSequential = Sequential{Threshold: 21, MinBad: 3}

const (
	// referenceRate, in requests a second, is the rate that Threshold is for. At
	// another rate the threshold changes by the logarithm of the ratio, so that
	// false alarms are as rare in a day at each rate.
	referenceRate = 30
	// minThreshold bounds the threshold at low rates.
	minThreshold = 12
	// rateHalfLife is the half-life of the estimate of the rate.
	rateHalfLife = 30 * time.Second
	// hangDiscount lowers the threshold of Hangs. The slots bound the number of
	// hung requests, so that three of them must be enough.
	hangDiscount = 3
	// episodeFraction of the threshold makes a rise of the sum an episode, which is
	// remembered for episodeMemory. Each of the last two lowers the threshold by
	// episodeDiscount, so that an instance that flaps is found faster each time.
	episodeFraction = 0.6
	episodeMaxAge   = time.Minute
	episodeDiscount = 0.15
	maxEpisodes     = 2
	// maxSumFactor bounds a sum as a multiple of the threshold, so that the instances
	// of a service that was slow everywhere recover at the same time.
	maxSumFactor = 1.3
	// sharedSumFraction is what is left of a sum that the whole service shares.
	sharedSumFraction = 0.5
	// sumHalfLife is the half-life of a sum. Evidence of some minutes ago says
	// little about an instance with few requests.
	sumHalfLife = time.Minute
)

// sum is the evidence for one hypothesis since it began.
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
	// count is the number of requests, decayed up to last.
	count float64
	last  time.Time
}

// Add implements Policy.
func (p Sequential) Add(s *SequentialState, now time.Time, e Evidence, siblings int) {
	s.count = 1 + s.count*math.Exp2(-float64(now.Sub(s.last))/float64(rateHalfLife))
	fade := math.Exp2(-float64(now.Sub(s.last)) / float64(sumHalfLife))
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
		x.value = min(x.value*fade+e.Ratios[h], limit)
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

func (s *SequentialState) addEpisode(now time.Time) {
	s.episodes = append(s.episodes, now)
	if len(s.episodes) > maxEpisodes {
		s.episodes = s.episodes[1:]
	}
}

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

// maxInsufficientScore is the largest score that is not enough.
const maxInsufficientScore = 0.99

// Consecutive is a baseline policy: it finds an instance faulty after Errors
// errors in a row.
type Consecutive struct {
	Errors int
}

// ConsecutiveState counts the errors since the last answer.
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

// priorLogOdds is how much less likely a fault is than a healthy instance before
// any evidence.
const priorLogOdds = 9.2

func confidence(logOdds float64) float64 { return 1 / (1 + math.Exp(priorLogOdds-logOdds)) }
