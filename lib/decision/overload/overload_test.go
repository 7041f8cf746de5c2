package overload

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"cassiarack.example/lib/decision/choice"
	"cassiarack.example/lib/decision/slot"
)

// scale returns the duration of the simulations relative to that in CI. The long
// run is CASSIARACK_CREST_SCALE=10 go test -v ./decision/overload.
func scale(t *testing.T) float64 {
	var x float64 = 1
	if v := os.Getenv("CASSIARACK_CREST_SCALE"); v != "" {
		if _, err := fmt.Sscan(v, &x); err != nil {
			t.Fatal(err)
		}
	}
	return x
}

// seed returns the random seed: CASSIARACK_CREST_SEED, or 1 without it.
func seed() uint64 {
	x, err := strconv.ParseUint(os.Getenv("CASSIARACK_CREST_SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return x
}

// base describes a service of the size of the service quotes in the deployment of
// Riga.
var base = setup{gates: 12, slots: 3, entries: 27, serviceTime: 10 * time.Millisecond, linkDelay: 500 * time.Microsecond,
	timeout: 100 * time.Millisecond, seed: seed()}

// capacity returns the number of requests per second that the slots can run.
func (s setup) capacity() float64 { return float64(s.gates*s.slots) / s.serviceTime.Seconds() }

func newFairQueue() *slot.Fair[*attempt] { return slot.NewFair[*attempt]() }

// newCurrentModel returns a model with the policies in use.
func newCurrentModel(s setup) *model[choice.TwoChoices, *slot.Fair[*attempt]] {
	return newModel(s, func() choice.TwoChoices { return choice.TwoChoices{} }, newFairQueue)
}

// newBaselineModel returns a naive model with round robin and a FIFO queue.
func newBaselineModel(s setup) *model[*choice.RoundRobin, *slot.FIFO[*attempt]] {
	s.naive = true
	return newModel(s, func() *choice.RoundRobin { return &choice.RoundRobin{} },
		func() *slot.FIFO[*attempt] { return &slot.FIFO[*attempt]{} })
}

// countWithin returns 1 if a time is in a window since epoch, otherwise 0.
func countWithin(at time.Time, from, to time.Duration) int {
	if d := at.Sub(epoch); d >= from && d < to {
		return 1
	}
	return 0
}

// goodput returns the number of answers in a window relative to the arrivals or
// to the capacity, whichever is lower.
func goodput(s setup, calls []*call, from, to time.Duration) float64 {
	arrived, answered := 0, 0
	for _, c := range calls {
		arrived += countWithin(c.arrivedAt, from, to)
		answered += countWithin(c.answeredAt, from, to)
	}
	return float64(answered) / min(float64(arrived), s.capacity()*(to-from).Seconds())
}

// answeredShare returns the share of the calls arrived in a window that were
// answered.
func answeredShare(calls []*call, from, to time.Duration) float64 {
	arrived, done := 0, 0
	for _, c := range calls {
		n := countWithin(c.arrivedAt, from, to)
		arrived += n
		if c.done {
			done += n
		}
	}
	return float64(done) / float64(arrived)
}

// TestGoodputUnderOverload guards against congestion collapse: under overload the
// goodput must stay near the capacity, and after it nearly all calls must be
// answered again.
func TestGoodputUnderOverload(t *testing.T) {
	length := time.Duration(scale(t) * float64(time.Second))
	for _, x := range []float64{1, 2, 3, 10} {
		s := base
		s.duration = 3 * length
		s.rate = func(at time.Duration) float64 {
			if at >= length && at < 2*length {
				return x * s.capacity()
			}
			return 0.5 * s.capacity()
		}
		m, b := newCurrentModel(s), newBaselineModel(s)
		m.run()
		b.run()
		got, baseline := goodput(s, m.calls, length, 2*length), goodput(s, b.calls, length, 2*length)
		const settle = 200 * time.Millisecond
		after, baselineAfter := answeredShare(m.calls, 2*length+settle, 3*length),
			answeredShare(b.calls, 2*length+settle, 3*length)
		t.Logf("%2.0f times capacity: goodput %.3f of what capacity allows, baseline %.3f; "+
			"after the overload %.4f, baseline %.4f; %.2f attempts per request, %d hedges, %d runs cut off by the deadline", x, got, baseline, after,
			baselineAfter, float64(m.counts.attempts)/float64(m.counts.requests), m.counts.hedges, m.counts.wasted)
		if got < 0.95 {
			t.Errorf("%.0f times capacity: goodput is %.3f of what capacity allows, want at least 0.95", x, got)
		}
		if after < 0.99 {
			t.Errorf("%.0f times capacity: %.4f of the calls answered after the overload, want at least 0.99", x, after)
		}
		if m.counts.peak > s.slots {
			t.Errorf("%d requests ran at once on %d slots", m.counts.peak, s.slots)
		}
	}
}

// p99 returns the 99th percentile of the response times of the short calls, and
// the share of them that was not answered.
func p99(calls []*call) (time.Duration, float64) {
	var ds []time.Duration
	lost, n := 0, 0
	for _, c := range calls {
		if c.straggler {
			continue
		}
		n++
		if !c.done {
			lost++
			continue
		}
		ds = append(ds, c.answeredAt.Sub(c.arrivedAt))
	}
	slices.Sort(ds)
	return ds[len(ds)*99/100], float64(lost) / float64(n)
}

// TestShortBehindLong guards against head-of-line blocking: when 1 in 100 requests
// runs 50 times longer, the others must not be delayed.
func TestShortBehindLong(t *testing.T) {
	for _, load := range []float64{0.3, 0.5} {
		s := base
		s.timeout = 2 * time.Second
		s.duration = time.Duration(scale(t) * float64(5*time.Second))
		s.rate = func(time.Duration) float64 { return load * s.capacity() }
		with := s
		with.stragglerShare, with.stragglerFactor = 0.01, 50
		run := func(s setup) (d, base time.Duration, lost float64) {
			m, b := newCurrentModel(s), newBaselineModel(s)
			m.run()
			b.run()
			d, lost = p99(m.calls)
			base, _ = p99(b.calls)
			return d, base, lost
		}
		d0, b0, lost0 := run(s)
		d1, b1, lost1 := run(with)
		ratio := float64(d1) / float64(d0)
		t.Logf("load %.1f: p99 of short requests %v without, %v with stragglers, ratio %.2f; baseline %v, %v, ratio %.2f; "+
			"without an answer %.4f, %.4f", load, d0, d1, ratio, b0, b1, float64(b1)/float64(b0), lost0, lost1)
		if ratio >= 1.5 {
			t.Errorf("load %.1f: stragglers raise the p99 of short requests by a factor of %.2f, want below 1.5", load, ratio)
		}
	}
}
