package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cassiarack.example/lib/decision/fairness"
	"cassiarack.example/lib/golden"
)

// hotOrganisation is the index of the organisation whose demand rises. It has an
// eighth of the usual demand.
const hotOrganisation = 1

// minCalls is the number of calls from which the served part of an organisation is
// judged alone. The smallest ones have about ten.
const minCalls = 20

func zipf(o int) float64 { return math.Pow(float64(o+1), -1.2) }

// tally counts calls, and the mean run time of their kinds in seconds.
type tally struct {
	calls, served, inTarget int
	work, servedWork        float64
}

func (t *tally) add(c *call) {
	t.calls++
	t.work += kinds[c.kind].runTime.Seconds()
	if !c.served {
		return
	}
	t.served++
	t.servedWork += kinds[c.kind].runTime.Seconds()
	if c.ended.Sub(c.arrived) <= kinds[c.kind].target {
		t.inTarget++
	}
}

// part returns the served part of the calls.
func (t *tally) part() float64 { return float64(t.served) / float64(max(t.calls, 1)) }

// outcome is the result of a load, for the calls that arrived while one organisation
// was hot.
type outcome struct {
	all, nested       tally
	organisations     [loadOrganisations]tally
	kinds, priorities [3]tally
	offers, displaced int
	// used is the part of the slots that was in use.
	used float64
	// refusing is the sum of the times until calls were refused.
	refusing time.Duration
}

// refusedAfter returns the mean time until a call was refused.
func (o *outcome) refusedAfter() time.Duration {
	return o.refusing / time.Duration(max(o.all.calls-o.all.served, 1))
}

func play(l *load) *outcome {
	l.rng = rand.New(rand.NewPCG(1, 7))
	l.run()
	var o outcome
	for _, c := range l.calls {
		if !l.isHot(c.arrived) {
			continue
		}
		o.all.add(c)
		o.kinds[c.kind].add(c)
		o.offers += c.offers
		o.displaced += c.displaced
		if !c.served {
			o.refusing += c.ended.Sub(c.arrived)
		}
		if c.organisation < 0 {
			o.nested.add(c)
			continue
		}
		o.organisations[c.organisation].add(c)
		o.priorities[usualPriority(c.organisation)].add(c)
	}
	o.used = l.used.Seconds() / (loadGates * loadSlots * (hotEnd - hotBegin).Seconds())
	return &o
}

// worst returns the mean served part of the worst tenth of the organisations, and that
// of the worst one with at least minCalls calls.
func (o *outcome) worst() (tenth, one float64) {
	var parts []float64
	one = 1
	for i := range o.organisations {
		p := o.organisations[i].part()
		parts = append(parts, p)
		if o.organisations[i].calls >= minCalls {
			one = min(one, p)
		}
	}
	slices.Sort(parts)
	const n = loadOrganisations / 10
	for _, p := range parts[:n] {
		tenth += p / n
	}
	return tenth, one
}

// lowestKind returns the least served part of a kind of requests.
func (o *outcome) lowestKind() float64 {
	return min(o.kinds[0].part(), o.kinds[1].part(), o.kinds[2].part(), o.nested.part())
}

// ofEqualShare compares the served work of each organisation but the hot one with what
// max-min fairness would give it of all served work. It returns the least ratio of one
// with at least minCalls calls, and that of all of them together.
func (o *outcome) ofEqualShare() (least, together float64) {
	all := append([]tally{o.nested}, o.organisations[:]...)
	var work []float64
	left := 0.0
	for _, a := range all {
		work = append(work, a.work)
		left += a.servedWork
	}
	level := fairness.Level(left, work)
	least = math.Inf(1)
	var served, due float64
	for i, a := range all {
		if i == hotOrganisation+1 {
			continue
		}
		share := min(a.work, level)
		served, due = served+min(a.servedWork, share), due+share
		if a.calls >= minCalls {
			least = min(least, a.servedWork/share)
		}
	}
	return least, served / due
}

// TestRule plays the load of 70 organisations on 53 gates. It guards against an
// organisation or a kind of requests that is served at less than a quarter of the rate
// of all, and against a hot organisation that takes from the others more than its
// equal share. It also guards against refusals at entries that break this or that leave
// slots unused.
func TestRule(t *testing.T) {
	var loads []*load
	for _, demand := range []float64{0.8, 1.1, 1.6} {
		loads = append(loads, &load{demand: demand, priorities: true}, &load{demand: demand, priorities: true, passedOn: true},
			&load{demand: demand, priorities: true, passedOn: true, room: true},
			&load{demand: demand}, &load{demand: demand, passedOn: true}, &load{demand: demand, passedOn: true, room: true})
	}
	outcomes := make([]*outcome, len(loads))
	var wg sync.WaitGroup
	for i, l := range loads {
		wg.Go(func() { outcomes[i] = play(l) })
	}
	wg.Wait()
	var b strings.Builder
	for i, l := range loads {
		o := outcomes[i]
		tenth, one := o.worst()
		least, together := o.ofEqualShare()
		name := fmt.Sprintf("demand %.1f of the room, priorities %t, organisations passed on %t, refused at entries %t", l.demand, l.priorities, l.passedOn, l.room)
		fmt.Fprintf(&b, "%s: %d calls\n", name, o.all.calls)
		fmt.Fprintf(&b, "  served: all %.3f (in target %.3f), worst tenth %.3f, worst %.3f, hot %.3f; slots used %.3f\n", o.all.part(),
			float64(o.all.inTarget)/float64(o.all.calls), tenth, one, o.organisations[hotOrganisation].part(), o.used)
		fmt.Fprintf(&b, "  by priority of the organisation: 0 %.3f, 1 %.3f, 2 %.3f; of the route: 0 %.3f, 1 %.3f, 2 %.3f; nested %.3f\n",
			o.priorities[0].part(), o.priorities[1].part(), o.priorities[2].part(), o.kinds[0].part(), o.kinds[1].part(),
			o.kinds[2].part(), o.nested.part())
		fmt.Fprintf(&b, "  of the equal share: others together %.3f, least %.3f; offers per call %.1f, displaced %d; refused after %v\n", together, least,
			float64(o.offers)/float64(o.all.calls), o.displaced, o.refusedAfter().Round(ms))
		if !l.passedOn {
			continue
		}
		if quarter := o.all.part() / 4; one < quarter || tenth < quarter || o.lowestKind() < quarter {
			t.Errorf("%s: served are %.3f of the worst organisation, %.3f of the worst tenth, %.3f of the worst kind, want at least a quarter of %.3f",
				name, one, tenth, o.lowestKind(), o.all.part())
		}
		if !l.priorities && (together < 0.85 || least < 0.6) {
			t.Errorf("%s: the organisations that are not hot got %.3f of their equal shares, one of them %.3f, want at least 0.85 and 0.6",
				name, together, least)
		}
	}
	for i, l := range loads {
		if l.room && (outcomes[i].used < 0.98 || outcomes[i].offers >= outcomes[i-1].offers) {
			t.Errorf("demand %.1f with refusals at entries: %.3f of the slots are used with %d offers, want at least 0.98 and less than %d",
				l.demand, outcomes[i].used, outcomes[i].offers, outcomes[i-1].offers)
		}
	}
	golden.Check(t, "rule", b.String())
}
