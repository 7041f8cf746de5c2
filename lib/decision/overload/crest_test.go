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

// scale is the length of the measurements relative to that in CI. The long run
// is CASSIARACK_CREST_SCALE=10 go test -v ./decision/crest.
func scale(t *testing.T) float64 {
	var x float64 = 1
	if v := os.Getenv("CASSIARACK_CREST_SCALE"); v != "" {
		if _, err := fmt.Sscan(v, &x); err != nil {
			t.Fatal(err)
		}
	}
	return x
}

// seed is 1, or that of CASSIARACK_CREST_SEED.
func seed() uint64 {
	x, err := strconv.ParseUint(os.Getenv("CASSIARACK_CREST_SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return x
}

// base is one service of the size of quotes in Riga.
var base = setup{gates: 12, slots: 3, entries: 27, serviceTime: 10 * time.Millisecond, linkDelay: 500 * time.Microsecond,
	timeout: 100 * time.Millisecond, seed: seed()}

// capacity returns the requests a second that the slots can run.
func (s setup) capacity() float64 { return float64(s.gates*s.slots) / s.serviceTime.Seconds() }

func newFairQueue() *slot.Fair[*attempt] { return slot.NewFair[*attempt]() }

func newCurrentModel(s setup) *model[choice.TwoChoices, *slot.Fair[*attempt]] {
	return newModel(s, func() choice.TwoChoices { return choice.TwoChoices{} }, newFairQueue)
}

func newBaselineModel(s setup) *model[*choice.RoundRobin, *slot.FIFO[*attempt]] {
	s.naive = true
	return newModel(s, func() *choice.RoundRobin { return &choice.RoundRobin{} },
		func() *slot.FIFO[*attempt] { return &slot.FIFO[*attempt]{} })
}

// countWithin counts the times in a window of the clock.
func countWithin(at time.Time, from, to time.Duration) int {
	if d := at.Sub(epoch); d >= from && d < to {
		return 1
	}
	return 0
}

// goodput returns the useful answers in a window relative to what capacity
// allows.
func goodput(s setup, calls []*call, from, to time.Duration) float64 {
	born, answered := 0, 0
	for _, c := range calls {
		born += countWithin(c.arrivedAt, from, to)
		answered += countWithin(c.answeredAt, from, to)
	}
	return float64(answered) / min(float64(born), s.capacity()*(to-from).Seconds())
}

// answeredShare returns the share of the calls born in a window that were answered.
func answeredShare(calls []*call, from, to time.Duration) float64 {
	born, done := 0, 0
	for _, c := range calls {
		n := countWithin(c.arrivedAt, from, to)
		born += n
		if c.done {
			done += n
		}
	}
	return float64(done) / float64(born)
}

// TestGoodputUnderOverload guards against a collapse under overload: the useful answers
// must stay at what capacity allows, and service must be normal after the crest.
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
		got, was := goodput(s, m.calls, length, 2*length), goodput(s, b.calls, length, 2*length)
		const settle = 200 * time.Millisecond
		rest, restWas := answeredShare(m.calls, 2*length+settle, 3*length), answeredShare(b.calls, 2*length+settle, 3*length)
		t.Logf("%2.0f times capacity: %.3f of what capacity allows, baseline %.3f; after the crest %.4f, baseline %.4f; "+
			"%.2f attempts for each request, %d hedges, %d runs cut by the deadline", x, got, was, rest,
			restWas, float64(m.counts.attempts)/float64(m.counts.requests), m.counts.hedges, m.counts.wasted)
		if got < 0.95 {
			t.Errorf("%.0f times capacity: %.3f of what capacity allows, want 0.95", x, got)
		}
		if rest < 0.99 {
			t.Errorf("%.0f times capacity: %.4f answered after the crest, want 0.99", x, rest)
		}
		if m.counts.peak > s.slots {
			t.Errorf("%d requests ran at once on %d slots", m.counts.peak, s.slots)
		}
	}
}

// p99 returns the 99th percentile of the answer times of the short calls, and
// the share of them that has no answer.
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

// TestShortBehindLong guards against head-of-line blocking: 1 in 100 requests
// that runs 50 times longer must not delay the others.
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
			t.Errorf("load %.1f: ratio %.2f, want below 1.5", load, ratio)
		}
	}
}
