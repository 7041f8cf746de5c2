package health

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// simulateDay simulates a healthy fleet with stragglers, cold starts, changes
// of demand by up to a factor of ten, and phases in which all instances of a
// service are slow or fail. It returns how often healthy instances were found
// faulty, by hypothesis and phase.
func simulateDay[S any, P Policy[S]](s *stream[S, P], length time.Duration) (falsePositives map[string]int) {
	falsePositives = make(map[string]int)
	phase := "usual"
	s.onFaulty = func(x *server[S, P], v Verdict) {
		falsePositives[fmt.Sprintf("%s in phase %s", v.Hypothesis, phase)]++
		s.reset(x)
	}
	peak := s.rate
	s.run(min(time.Duration(warmUpRequests/peak*float64(time.Second)), length))
	for stop := s.now.Add(length); s.now.Before(stop); {
		s.rate = peak / []float64{1, 2, 5, 10}[s.rng.IntN(4)]
		g := s.groups[s.rng.IntN(len(s.groups))]
		g.slow, g.errors, phase = 1, 0, "usual"
		switch s.rng.IntN(12) {
		case 0:
			g.slow, phase = 4, "slow everywhere"
		case 1:
			g.errors, phase = 0.2, "errors everywhere"
		case 2, 3, 4:
			x := g.servers[s.rng.IntN(len(g.servers))]
			x.cold, phase = s.now.Add(15*time.Second), "cold start"
		}
		s.run(10*time.Second + time.Duration(s.rng.Int64N(int64(50*time.Second))))
		g.slow, g.errors = 1, 0
	}
	return falsePositives
}

// threshold returns the default policy. The environment variable
// CASSIARACK_THRESHOLD overrides its threshold for experiments.
func threshold() Sequential {
	p := DefaultSequential
	if x, err := strconv.ParseFloat(os.Getenv("CASSIARACK_THRESHOLD"), 64); err == nil {
		p.Threshold = x
	}
	return p
}

// TestFalseEjections guards against ejections of healthy instances. With
// CASSIARACK_LONG=1 it simulates 24 h for each deployment and rate, or the
// duration in CASSIARACK_DAY, such as 2h.
func TestFalseEjections(t *testing.T) {
	length := 2 * time.Minute
	if long() {
		length = 24 * time.Hour
		if d, err := time.ParseDuration(os.Getenv("CASSIARACK_DAY")); err == nil {
			length = d
		}
	}
	var b strings.Builder
	for _, d := range []struct {
		name   string
		shapes []serviceShape
	}{{"latvia", latvia}, {"rioGrandeDoSul", rio}} {
		for _, rate := range []float64{30, 1} {
			s := newStream[SequentialState](7, threshold(), d.shapes, rate)
			falsePositives := simulateDay(s, length)
			c := newStream[ConsecutiveState](7, Consecutive{Errors: 5}, d.shapes, rate)
			c.aggregator = false
			base := simulateDay(c, length)
			fmt.Fprintf(&b, "%-14s at most %2.0f/s, %v, %d requests: false ejections %v; baseline %v\n", d.name, rate, length,
				s.requests, falsePositives, base)
			if len(falsePositives) > 0 {
				t.Errorf("%s, %v/s: healthy instances found faulty: %v", d.name, rate, falsePositives)
			}
		}
	}
	t.Log("\n" + b.String())
	if !long() {
		golden.Check(t, "day", b.String())
	}
}
