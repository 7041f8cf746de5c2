package overload

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"cassiarack.example/lib/decision/choice"
	"cassiarack.example/lib/decision/retry"
	"cassiarack.example/lib/decision/slot"
)

// event is a function to run at a time of the virtual clock.
type event struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

// events is a heap of events in the order of their times, then of their scheduling.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// setup describes a simulation.
type setup struct {
	// slots is the number of slots of each gate.
	gates, slots, entries int
	// serviceTime is the mean run time of a request without stragglers, and
	// linkDelay the one-way delay between entries and gates.
	serviceTime, linkDelay time.Duration
	// timeout is the time from the arrival of a call to its deadline.
	timeout time.Duration
	// duration is the time during which calls arrive.
	duration time.Duration
	// rate returns the arrivals per second at a time since the start.
	rate func(since time.Duration) float64
	// drawOrganisation draws the organisation of an arrival.
	drawOrganisation func(rng *rand.Rand) string
	// stragglerShare is the share of the requests that run stragglerFactor times
	// longer.
	stragglerShare, stragglerFactor float64
	// failing makes every run end with an error.
	failing bool
	// naive turns off offers to further gates, the refusal by saturated entries,
	// hedges, bounds of the wait in the queue and budgets. Failed requests are
	// retried up to naiveRetries times.
	naive bool
	seed  uint64
}

// call is one request of a client.
type call struct {
	organisation string
	arrivedAt    time.Time
	deadline     time.Time
	runTime      time.Duration
	straggler    bool
	entry        int
	offers       int
	retries      int
	tried        []int
	copies       []*attempt
	done         bool
	refused      bool
	answeredAt   time.Time
}

// attempt is a copy of a call that was sent to a gate.
type attempt struct {
	call      *call
	gate      int
	grantedAt time.Time
	ended     bool
	reported  bool // the entry has received the result
	hedge     bool
}

// gateView is what an entry knows about a gate.
type gateView struct {
	outstanding, others, open int
	reported                  time.Time
}

// entry is the state of a node that receives calls and sends them to gates.
type entry[P choice.Policy] struct {
	chooser                  choice.Chooser[P]
	views                    []gateView
	runTimes                 choice.RunTimes
	retryBudget, hedgeBudget retry.Budget
	saturation               retry.Saturation
}

// gate is the state of one instance.
type gate[Q slot.Queue[*attempt]] struct {
	slots    slot.Gate[*attempt, Q]
	runTimes choice.RunTimes
}

// model simulates one setup with a policy and a type of queue.
type model[P choice.Policy, Q slot.Queue[*attempt]] struct {
	setup
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	pending events
	lastSeq int
	gates   []gate[Q]
	entries []entry[P]
	calls   []*call
	counts  struct{ requests, attempts, retries, hedges, runs, wasted, peak int }
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newModel[P choice.Policy, Q slot.Queue[*attempt]](s setup, policy func() P, queue func() Q) *model[P, Q] {
	m := &model[P, Q]{setup: s, rng: rand.New(rand.NewPCG(s.seed, 1)), now: epoch, start: epoch}
	m.gates, m.entries = make([]gate[Q], s.gates), make([]entry[P], s.entries)
	for i := range m.gates {
		m.gates[i].slots = slot.Gate[*attempt, Q]{Slots: s.slots, Queue: queue()}
	}
	for i := range m.entries {
		e := &m.entries[i]
		e.chooser = choice.Chooser[P]{Policy: policy(), Random: m.rng}
		e.views = make([]gateView, s.gates)
		e.retryBudget.Share, e.hedgeBudget.Share = retry.RetryShare, retry.HedgeShare
	}
	return m
}

// schedule adds an event that runs after d.
func (m *model[P, Q]) schedule(d time.Duration, run func(now time.Time)) {
	m.lastSeq++
	heap.Push(&m.pending, event{at: m.now.Add(d), seq: m.lastSeq, run: run})
}

// run processes events until none is left.
func (m *model[P, Q]) run() {
	m.schedule(0, m.arrive)
	for g := range m.gates {
		m.schedule(time.Duration(g)*time.Millisecond, func(now time.Time) { m.tick(now, g) })
	}
	for len(m.pending) > 0 {
		e := heap.Pop(&m.pending).(event)
		m.now = e.at
		e.run(e.at)
	}
}

const tickInterval = 10 * time.Millisecond

// tick runs the periodic decisions of a gate.
func (m *model[P, Q]) tick(now time.Time, g int) {
	m.apply(now, g, m.gates[g].slots.Tick(now))
	if now.Sub(m.start) < m.duration+2*m.timeout {
		m.schedule(tickInterval, func(now time.Time) { m.tick(now, g) })
	}
}

// arrive creates a call and schedules the next arrival.
func (m *model[P, Q]) arrive(now time.Time) {
	since := now.Sub(m.start)
	if since >= m.duration {
		return
	}
	m.schedule(time.Duration(m.rng.ExpFloat64()/m.rate(since)*float64(time.Second)), m.arrive)
	c := &call{arrivedAt: now, deadline: now.Add(m.timeout), entry: m.rng.IntN(len(m.entries)),
		runTime: time.Duration(m.rng.ExpFloat64() * float64(m.serviceTime))}
	if m.rng.Float64() < m.stragglerShare {
		c.straggler, c.runTime = true, time.Duration(float64(c.runTime)*m.stragglerFactor)
	}
	if m.drawOrganisation != nil {
		c.organisation = m.drawOrganisation(m.rng)
	}
	m.calls = append(m.calls, c)
	m.counts.requests++
	e := &m.entries[c.entry]
	e.retryBudget.Deposit(now)
	e.hedgeBudget.Deposit(now)
	if !m.naive && e.saturation.RemainingRefusal(now, c.organisation) > 0 {
		c.refused = true
		return
	}
	m.send(now, c, false)
}

// candidates are the gates as an entry knows them, without those already tried.
type candidates[P choice.Policy] struct {
	e     *entry[P]
	slots int
	tried []int
}

func (c candidates[P]) Len() int      { return len(c.e.views) }
func (c candidates[P]) LocalLen() int { return 0 }
func (c candidates[P]) At(i int) choice.Candidate {
	v := c.e.views[i]
	w := 1.0
	for _, t := range c.tried {
		if t == i {
			w = 0
		}
	}
	return choice.Candidate{Weight: w, Slots: c.slots, OpenSlots: v.open, Outstanding: v.outstanding,
		OthersOutstanding: v.others, ReportedAt: v.reported}
}

const route = "GET /s/"

// send sends a copy of a call to a gate that the policy picks.
func (m *model[P, Q]) send(now time.Time, c *call, hedge bool) {
	e := &m.entries[c.entry]
	offer, more := retry.NextOffer(c.offers, m.setup.gates)
	if !hedge && !more {
		m.giveUp(now, c)
		return
	}
	if !hedge && offer.IncludeRefused {
		c.tried = nil
	}
	g, err := e.chooser.Choose(now, "s", candidates[P]{e, m.slots, c.tried})
	if err != nil {
		if !hedge {
			m.giveUp(now, c)
		}
		return
	}
	c.tried = append(c.tried, g)
	m.counts.attempts++
	a := &attempt{call: c, gate: g, hedge: hedge}
	c.copies = append(c.copies, a)
	e.views[g].outstanding++
	expected := e.runTimes.Expected(now, route)
	queueDeadline := c.deadline
	switch {
	case hedge:
		queueDeadline = now
		m.schedule(retry.HedgeLimit(expected), func(now time.Time) { m.cancel(now, a) })
	case !m.naive:
		c.offers++
		queueDeadline = now.Add(offer.MaxWait(expected, c.deadline.Sub(now)))
	}
	m.schedule(m.linkDelay, func(now time.Time) {
		m.apply(now, g, m.gates[g].slots.Admit(now, slot.Request[*attempt]{Item: a, Organisation: c.organisation,
			Expected: expected, Deadline: c.deadline, QueueDeadline: queueDeadline}))
	})
}

// giveUp refuses a call that no gate accepted.
func (m *model[P, Q]) giveUp(now time.Time, c *call) {
	e := &m.entries[c.entry]
	if !m.naive {
		e.saturation.RecordFull(now, m.rng, c.organisation, e.runTimes.Expected(now, route))
	}
	c.refused = true
}

// apply schedules the consequences of the decisions of a gate.
func (m *model[P, Q]) apply(now time.Time, g int, ds []slot.Decision[*attempt]) {
	for _, d := range ds {
		a := d.Item
		if !d.Granted {
			a.ended = true
			running, waiting, open := m.load(now, g)
			m.schedule(m.linkDelay, func(now time.Time) { m.handleRefusal(now, a, running+waiting, open) })
			continue
		}
		m.counts.runs++
		m.counts.peak = max(m.counts.peak, m.gates[g].slots.Running())
		a.grantedAt = now
		run := a.call.runTime
		if left := a.call.deadline.Sub(now); run > left {
			run = max(left, 0)
			m.counts.wasted++
		}
		m.schedule(run, func(now time.Time) { m.finish(now, a) })
		m.schedule(m.linkDelay, func(now time.Time) { m.hedge(now, a) })
	}
}

// load returns the number of requests at a gate and of its open slots.
func (m *model[P, Q]) load(now time.Time, g int) (running, waiting, open int) {
	s := &m.gates[g].slots
	return s.Running(), s.Waiting(), s.OpenSlots(now)
}

// updateView updates what the entry knows about a gate when an attempt has ended.
func (m *model[P, Q]) updateView(now time.Time, a *attempt, load, open int) *entry[P] {
	e := &m.entries[a.call.entry]
	if a.reported {
		return e
	}
	a.reported = true
	v := &e.views[a.gate]
	v.outstanding--
	v.others, v.open, v.reported = max(0, load-v.outstanding), open, now
	return e
}

// handleRefusal offers a refused call to another gate, or gives up in a naive
// setup.
func (m *model[P, Q]) handleRefusal(now time.Time, a *attempt, load, open int) {
	m.updateView(now, a, load, open)
	c := a.call
	if a.hedge || c.done || !now.Before(c.deadline) {
		return
	}
	if m.naive {
		m.giveUp(now, c)
		return
	}
	m.send(now, c, false)
}

// finish ends the run of an attempt and frees its slot.
func (m *model[P, Q]) finish(now time.Time, a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	g := &m.gates[a.gate]
	if now.Before(a.call.deadline) {
		g.runTimes.Observe(now, "", now.Sub(a.grantedAt))
		g.slots.LongBound = slot.LongBound(g.runTimes.Expected(now, ""))
	}
	m.apply(now, a.gate, g.slots.Release(now, a))
	running, waiting, open := m.load(now, a.gate)
	m.schedule(m.linkDelay, func(now time.Time) { m.handleAnswer(now, a, running+waiting, open) })
}

// handleAnswer records an answer at the entry and cancels the other copies of the
// call. In a failing setup it retries the call.
func (m *model[P, Q]) handleAnswer(now time.Time, a *attempt, load, open int) {
	e := m.updateView(now, a, load, open)
	c := a.call
	if c.done || now.After(c.deadline) {
		return
	}
	e.runTimes.Observe(now, route, now.Sub(a.grantedAt))
	if m.failing {
		m.retry(now, c)
		return
	}
	c.done, c.answeredAt = true, now
	for _, other := range c.copies {
		if other != a && !other.ended {
			m.schedule(m.linkDelay, func(now time.Time) { m.cancel(now, other) })
		}
	}
}

// cancel ends a copy of a call that is still waiting or running.
func (m *model[P, Q]) cancel(now time.Time, a *attempt) {
	if a.ended {
		return
	}
	g := &m.gates[a.gate]
	a.ended = true
	if !g.slots.Withdraw(a) {
		m.apply(now, a.gate, g.slots.Release(now, a))
	}
	running, waiting, open := m.load(now, a.gate)
	m.schedule(m.linkDelay, func(now time.Time) { m.updateView(now, a, running+waiting, open) })
}

// naiveRetries is the number of retries of a failed request in a naive setup.
const naiveRetries = 2

// retry sends a failed call again after a backoff, within the budget.
func (m *model[P, Q]) retry(now time.Time, c *call) {
	e := &m.entries[c.entry]
	if m.naive {
		if c.retries == naiveRetries {
			return
		}
	} else if e.saturation.RecentlyFull(now) || !e.retryBudget.Withdraw(now) {
		return
	}
	m.counts.retries++
	m.schedule(retry.Backoff(m.rng, c.retries), func(now time.Time) {
		c.tried, c.offers, c.copies = nil, 0, nil
		m.send(now, c, false)
	})
	c.retries++
}

// hedge schedules a second copy of a call that has no answer by then.
func (m *model[P, Q]) hedge(now time.Time, a *attempt) {
	c := a.call
	e := &m.entries[c.entry]
	after, ok := e.runTimes.HedgeAfter(now, route, c.deadline.Sub(now))
	if m.naive || a.hedge || !ok {
		return
	}
	m.schedule(after, func(now time.Time) {
		if c.done || a.reported || e.saturation.RecentlyFull(now) || !e.hedgeBudget.Withdraw(now) {
			return
		}
		m.counts.hedges++
		m.send(now, c, true)
	})
}
