package room

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

// model is a service with a queue as a fluid, and the sums that entries get of it.
type model struct {
	// demand and slots are functions of the time.
	demand func(t time.Duration) float64
	slots  func(t time.Duration) float64
}

const (
	modelGates   = 53
	modelRunTime = 220 * ms
	// modelQueue is the number of waiting requests for each slot at which gates refuse.
	modelQueue = 2.5
	modelStep  = 10 * ms
)

// run plays the model and returns the admitted share at each step, and the use of the
// slots relative to what demand and slots allow at each moment. Loads are measured
// every 300 ms, and the sums arrive every 450 ms.
func (m *model) run(length time.Duration) (shares []float64, used float64) {
	var s Share
	var running, waiting, refused, ran, due float64
	var measured Sum
	for t := time.Duration(0); t < length; t += modelStep {
		now := epoch.Add(t)
		share := s.Admitted(now)
		shares = append(shares, share)
		slots := m.slots(t)
		arrived := m.demand(t) * share * modelStep.Seconds()
		waiting += arrived
		running -= running * modelStep.Seconds() / modelRunTime.Seconds()
		started := max(0, min(waiting, slots-running))
		waiting, running = waiting-started, running+started
		ran += running
		due += min(slots, m.demand(t)*modelRunTime.Seconds())
		if over := waiting - modelQueue*slots; over > 0 {
			waiting, refused = waiting-over, refused+over
		}
		if (t+modelStep)%(300*ms) == 0 {
			measured = Sum{At: now, Load: Load{Instances: modelGates, Slots: int(slots), Running: int(math.Round(running)),
				Waiting: int(waiting), Refused: refused / 0.3 * (modelGates - firstRound)}}
			refused = 0
		}
		if t%(450*ms) == 0 {
			stay := time.Duration(float64(modelRunTime) * (running + waiting) / max(running, 1))
			s.Update(now, measured, int(slots), stay)
		}
	}
	return shares, ran / due
}

// TestShare guards against a share that follows a change of demand or room late, that
// oscillates, or that leaves slots unused while demand exceeds them.
func TestShare(t *testing.T) {
	const slots, length, stepAt = 159, 32 * time.Second, 6 * time.Second
	capacity := slots / modelRunTime.Seconds()
	constant := func(x float64) func(time.Duration) float64 { return func(time.Duration) float64 { return x } }
	step := func(a, b float64) func(time.Duration) float64 {
		return func(t time.Duration) float64 {
			if t < stepAt {
				return a
			}
			return b
		}
	}
	wave := func(mean float64) func(time.Duration) float64 {
		return func(t time.Duration) float64 { return mean * (1 + 0.55*math.Sin(2*math.Pi*t.Seconds()/13)) }
	}
	var b strings.Builder
	for _, c := range []struct {
		name string
		m    model
		wave bool
	}{
		{"demand from 0.7 to 2 times the room", model{demand: step(0.7*capacity, 2*capacity), slots: constant(slots)}, false},
		{"demand from 2 to 0.7 times the room", model{demand: step(2*capacity, 0.7*capacity), slots: constant(slots)}, false},
		{"demand from 1.5 to 3 times the room", model{demand: step(1.5*capacity, 3*capacity), slots: constant(slots)}, false},
		{"slots halve at 1.5", model{demand: constant(1.5 * capacity), slots: step(slots, slots/2)}, false},
		{"slots double at 3", model{demand: constant(1.5 * capacity), slots: step(slots/2, slots)}, false},
		{"waves around the room", model{demand: wave(capacity), slots: constant(slots)}, true},
		{"waves around 1.6 times the room", model{demand: wave(1.6 * capacity), slots: constant(slots)}, true},
	} {
		shares, used := c.m.run(length)
		if c.wave {
			above, below, turns := compareWithDue(&c.m, shares)
			fmt.Fprintf(&b, "%s: at most %.2f above and %.2f below the shares due in the last second, %d turns in two waves; of due runs %.3f\n", c.name, above, below, turns, used)
			if above > 0.15 || below > 0.15 || turns > 8 || used < 0.95 {
				t.Errorf("%s: the share is up to %.2f above and %.2f below those due in the last second with %d turns, and %.3f of the slots are used", c.name, above, below, turns, used)
			}
			continue
		}
		settled, swing := settle(shares, int(stepAt/modelStep))
		fmt.Fprintf(&b, "%s: share %.2f, settles in %v, swing %.2f; of due runs %.3f\n", c.name, shares[len(shares)-1], settled, swing, used)
		if settled > 1200*ms || swing > 0.05 || used < 0.95 {
			t.Errorf("%s: the share settles in %v with a swing of %.2f, and %.3f of the slots are used", c.name, settled, swing, used)
		}
	}
	golden.Check(t, "share", b.String())
}

// settle returns the time after the step from which on the share is close to the last
// one, and the swing of the last ten seconds.
func settle(shares []float64, step int) (settled time.Duration, swing float64) {
	last := shares[len(shares)-1]
	for i := step; i < len(shares); i++ {
		if math.Abs(shares[i]-last) > 0.15 {
			settled = time.Duration(i+1-step) * modelStep
		}
	}
	tail := shares[len(shares)-int(10*time.Second/modelStep):]
	return settled, slices.Max(tail) - slices.Min(tail)
}

// compareWithDue returns how far the share is, after six seconds, above and below all
// shares that were due in the last second, and how often its direction changes.
func compareWithDue(m *model, shares []float64) (above, below float64, turns int) {
	due := make([]float64, len(shares))
	for i := range due {
		t := time.Duration(i) * modelStep
		due[i] = min(1, admittedLoad*m.slots(t)/modelRunTime.Seconds()/m.demand(t))
	}
	direction := 0.0
	for i := int(6 * time.Second / modelStep); i < len(shares); i++ {
		recent := due[i-int(time.Second/modelStep) : i+1]
		above, below = max(above, shares[i]-slices.Max(recent)), max(below, slices.Min(recent)-shares[i])
		if d := shares[i] - shares[i-1]; d != 0 {
			if d*direction < 0 {
				turns++
			}
			direction = d
		}
	}
	return above, below, turns
}
