package health

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

var faults = []fault{
	{name: "errors 10%", errors: 0.1},
	{name: "5 times slower", slowdown: 5},
	{name: "hangs 1 in 5", hangs: 0.2},
	{name: "answers lost", lost: true},
	{name: "flapping 5 s, 5 times slower", slowdown: 5, flap: 5 * time.Second},
	{name: "errors 100%", errors: 1},
}

// targetP99 is the time in which 99% of the faults must be detected at 30
// requests/s per instance.
const targetP99 = 2 * time.Second

// hasTarget names the faults for which TestDetectionTime checks targetP99. With
// 10% errors, 30 requests/s give 3 errors/s, and one fault in 58 causes at most
// one error in 2 s, so that no test that needs two or more errors can meet the
// target. Hangs are checked by TestHangDetection.
var hasTarget = map[string]bool{"5 times slower": true, "answers lost": true, "flapping 5 s, 5 times slower": true,
	"errors 100%": true}

// warmUpRequests is the number of requests to each instance before the first
// fault.
const warmUpRequests = 900

// long reports whether the long runs are requested by CASSIARACK_LONG.
func long() bool { return os.Getenv("CASSIARACK_LONG") != "" }

// detectionTimeout is the time after which a fault counts as not detected.
const detectionTimeout = 30 * time.Second

// detections injects a fault repeatedly into random instances. It returns the
// detection times in ascending order and the number of healthy instances that
// were found faulty. A fault that is not detected counts as detectionTimeout.
func detections[S any, P Policy[S]](s *stream[S, P], f fault, trials int) (times []time.Duration, falsePositives int) {
	var target *server[S, P]
	var at time.Time
	s.onFaulty = func(x *server[S, P], _ Verdict) {
		if x != target {
			falsePositives++
			s.reset(x)
			return
		}
		if at.IsZero() {
			at = s.now
		}
	}
	s.run(time.Duration(warmUpRequests / s.rate * float64(time.Second)))
	for range trials {
		at = time.Time{}
		target = s.all[s.rng.IntN(len(s.all))]
		target.fault, target.since = &f, s.now
		start := s.now
		for at.IsZero() && s.now.Sub(start) < detectionTimeout {
			s.run(evaluationInterval)
		}
		times = append(times, min(s.now.Sub(start), detectionTimeout))
		target.fault = nil
		s.run(10 * time.Second)
		s.reset(target)
		target = nil
		s.run(time.Duration(s.rng.Int64N(int64(5 * time.Second))))
	}
	slices.Sort(times)
	return times, falsePositives
}

// quantile returns the q-quantile of sorted times.
func quantile(times []time.Duration, q float64) time.Duration {
	return times[min(int(q*float64(len(times))), len(times)-1)]
}

// TestDetectionTime guards against a detector that misses gray failures or
// exceeds targetP99. With CASSIARACK_LONG=1 it runs 200 trials of each fault,
// or the number in CASSIARACK_TRIALS, and also the policy Consecutive for
// comparison.
func TestDetectionTime(t *testing.T) {
	trials := 2
	if long() {
		trials = 200
		if n, err := strconv.Atoi(os.Getenv("CASSIARACK_TRIALS")); err == nil {
			trials = n
		}
	}
	var b strings.Builder
	for _, d := range []struct {
		name   string
		shapes []serviceShape
	}{{"latvia", latvia}, {"rioGrandeDoSul", rio}} {
		for _, rate := range []float64{30, 1} {
			if short := rate == 30 == (d.name == "latvia"); !short && !long() {
				continue
			}
			for i, f := range faults {
				s := newStream[SequentialState](uint64(i+1), DefaultSequential, d.shapes, rate)
				times, falsePositives := detections(s, f, trials)
				fmt.Fprintf(&b, "%-14s %2.0f/s %-28s p50 %6.1f s p99 %6.1f s wrong %d", d.name, rate, f.name,
					quantile(times, 0.5).Seconds(), quantile(times, 0.99).Seconds(), falsePositives)
				if long() {
					c := newStream[ConsecutiveState](uint64(i+1), Consecutive{Errors: 5}, d.shapes, rate)
					c.aggregator = false
					base, baseFalsePositives := detections(c, f, trials)
					fmt.Fprintf(&b, "; baseline p50 %6.1f s p99 %6.1f s wrong %d", quantile(base, 0.5).Seconds(),
						quantile(base, 0.99).Seconds(), baseFalsePositives)
				}
				b.WriteString("\n")
				if p99 := quantile(times, 0.99); rate == 30 && hasTarget[f.name] && p99 >= targetP99 {
					t.Errorf("%s, %v/s, %s: p99 %v, want below %v", d.name, rate, f.name, p99, targetP99)
				}
				if falsePositives > 0 {
					t.Errorf("%s, %v/s, %s: %d healthy instances found faulty", d.name, rate, f.name, falsePositives)
				}
			}
		}
	}
	t.Log("\n" + b.String())
	if !long() {
		golden.Check(t, "detection", b.String())
	}
}

// TestHangDetection guards against a backend server whose hung requests occupy
// all its slots before the fault is detected.
func TestHangDetection(t *testing.T) {
	s := newStream[SequentialState](3, DefaultSequential, latvia, 30)
	times, _ := detections(s, fault{name: "hangs 1 in 5", hangs: 0.2}, 4)
	if p99 := quantile(times, 0.99); p99 >= targetP99 {
		t.Errorf("p99 %v, want below %v", p99, targetP99)
	}
}
