package admission

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"cassiarack.example/lib/decision/room"
)

const (
	loadGates         = 53
	loadSlots         = 3
	loadEntries       = 73
	loadOrganisations = 70
	// hotFactor is the demand of the hot organisation in multiples of its usual one.
	hotFactor = 4.6
	hotBegin  = 2 * time.Second
	hotEnd    = hotBegin + 6*time.Second
	loadEnd   = hotEnd + time.Second
	// hop is the time of a message between an entry and a gate.
	hop = ms
	// knownFor, shortOffers and the waits below are those of the relay.
	knownFor    = 400 * ms
	shortOffers = 4
	shortWait   = 60 * ms
	callTime    = 4 * time.Second
	// nestedPart is the part of the demand that instances make.
	nestedPart = 0.05
)

// kinds are the kinds of requests. Their mean run time is 219 ms.
var kinds = []struct {
	name     string
	priority int
	part     float64
	runTime  time.Duration
	target   time.Duration
}{
	{"read", 0, 0.4, 90 * ms, time.Second},
	{"search", 1, 0.35, 220 * ms, 1500 * ms},
	{"write", 2, 0.25, 425 * ms, 2 * time.Second},
}

const meanRunTime = 219 * ms

// event is something that happens at a time.
type event struct {
	at  time.Duration // since start
	seq int
	do  func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// load plays the demand of organisations on entries and gates. The gates use Queue;
// the entries place and repeat offers as the relay does.
type load struct {
	// demand is the usual demand as a multiple of the room.
	demand float64
	// priorities makes organisations and kinds differ in priority.
	priorities bool
	// passedOn is set if the gates learn the organisations.
	passedOn bool
	// room makes entries refuse what the service has no room for.
	room bool
	rng  *rand.Rand

	events  events
	seq     int
	gates   []Queue[*call]
	entries []loadEntry
	calls   []*call
	sums    room.Sums[int]
	reports [loadGates]gateReport
	// used is the time for which slots were in use while one organisation was hot.
	used time.Duration
}

// gateReport is what a gate keeps for its next report of load.
type gateReport struct {
	reporter room.Reporter
	refused  int
	since    time.Time
}

// loadEntry is what an entry knows of the gates.
type loadEntry struct {
	outstanding, known [loadGates]int
	knownUntil         [loadGates]time.Duration

	share  room.Share
	filter *room.Filter
	stay   time.Duration
}

// call is a request of a caller.
type call struct {
	organisation int // -1 for calls of instances
	kind         int
	arrived      time.Time
	runTime      time.Duration
	entry        *loadEntry
	offers       int
	offeredAt    time.Time
	tried        [loadGates]bool
	ended        time.Time
	served       bool
	displaced    int
}

// usualPriority returns the priority of an organisation where they differ: most have 1.
func usualPriority(o int) int {
	switch o % 5 {
	case 3:
		return 0
	case 4:
		return 2
	}
	return 1
}

func (l *load) request(now time.Time, c *call) Request {
	k := kinds[c.kind]
	target := c.arrived.Add(k.target)
	r := Request{Route: k.name, Target: target, Deadline: c.arrived.Add(callTime), MaxWait: shortWait}
	if l.priorities {
		r.Priority = k.priority
	}
	if r.Again = c.offers > shortOffers; r.Again {
		r.MaxWait = max(shortWait, target.Sub(now)/2)
	}
	if !l.passedOn {
		return r
	}
	if r.Nested = c.organisation < 0; r.Nested {
		return r
	}
	r.Organisation = strconv.Itoa(c.organisation)
	if l.priorities {
		r.OrganisationPriority = usualPriority(c.organisation)
	}
	return r
}

func (l *load) at(t time.Time, do func(now time.Time)) {
	l.seq++
	heap.Push(&l.events, event{t.Sub(start), l.seq, do})
}

// run plays the load to its end.
func (l *load) run() {
	l.gates, l.entries = make([]Queue[*call], loadGates), make([]loadEntry, loadEntries)
	for i := range l.gates {
		l.gates[i].Slots = loadSlots
	}
	rate := l.demand * loadGates * loadSlots / meanRunTime.Seconds()
	for o, w := range usualParts() {
		l.arrive(start, o, w*rate*(1-nestedPart))
	}
	l.arrive(start, -1, nestedPart*rate)
	if l.room {
		l.tick(start)
	}
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		e.do(start.Add(e.at))
	}
}

// usualParts returns the parts of the usual demand by a Zipf law with exponent 1.2.
func usualParts() []float64 {
	parts, sum := make([]float64, loadOrganisations), 0.0
	for o := range parts {
		parts[o] = zipf(o)
		sum += parts[o]
	}
	for o := range parts {
		parts[o] /= sum
	}
	return parts
}

// arrive schedules the next call of an organisation, as a Poisson process.
func (l *load) arrive(now time.Time, organisation int, rate float64) {
	current := rate
	if organisation == hotOrganisation && l.isHot(now) {
		current *= hotFactor
	}
	next := now.Add(time.Duration(l.rng.ExpFloat64() / current * float64(time.Second)))
	if organisation == hotOrganisation && !l.isHot(now) && l.isHot(next) {
		next = start.Add(hotBegin)
	}
	if next.After(start.Add(loadEnd)) {
		return
	}
	l.at(next, func(now time.Time) {
		l.arrive(now, organisation, rate)
		k := l.rng.Float64()
		kind := 0
		for k >= kinds[kind].part && kind < len(kinds)-1 {
			k -= kinds[kind].part
			kind++
		}
		c := &call{organisation: organisation, kind: kind, arrived: now, entry: &l.entries[l.rng.IntN(loadEntries)],
			runTime: time.Duration((0.5 + 0.5*l.rng.ExpFloat64()) * float64(kinds[kind].runTime))}
		l.calls = append(l.calls, c)
		if l.room && !l.hasRoom(now, c) {
			c.ended = now
			return
		}
		l.offer(now, c)
	})
}

func (l *load) isHot(now time.Time) bool {
	return !now.Before(start.Add(hotBegin)) && now.Before(start.Add(hotEnd))
}

// offer offers a call to a random gate of the two with the least load that its entry
// knows of, or ends it if it was offered to all.
func (l *load) offer(now time.Time, c *call) {
	if now.After(c.arrived.Add(callTime)) {
		c.ended = now
		return
	}
	best, second := l.leastLoaded(now, c)
	if best < 0 {
		if c.offers < 2*shortOffers {
			c.tried = [loadGates]bool{}
			l.offer(now, c)
			return
		}
		c.ended = now
		return
	}
	if second >= 0 && l.rng.IntN(2) == 0 {
		best = second
	}
	c.tried[best] = true
	c.offers++
	c.offeredAt = now
	c.entry.outstanding[best]++
	l.at(now.Add(hop), func(now time.Time) { l.decide(now, best, c) })
}

// leastLoaded returns the two gates with the least known load to which the call was
// not offered, or -1.
func (l *load) leastLoaded(now time.Time, c *call) (best, second int) {
	best, second = -1, -1
	var bestLoad, secondLoad int
	e, at := c.entry, now.Sub(start)
	for g, first := 0, l.rng.IntN(loadGates); g < loadGates; g++ {
		i := (g + first) % loadGates
		if c.tried[i] {
			continue
		}
		n := e.outstanding[i]
		if at < e.knownUntil[i] {
			n = max(n, e.known[i])
		}
		if best < 0 || n < bestLoad {
			best, bestLoad, second, secondLoad = i, n, best, bestLoad
		} else if second < 0 || n < secondLoad {
			second, secondLoad = i, n
		}
	}
	return best, second
}

// decide offers a call to the queue of a gate.
func (l *load) decide(now time.Time, gate int, c *call) {
	q := &l.gates[gate]
	startNow, reason := q.Offer(now, l.request(now, c), c)
	switch {
	case reason != "":
		if c.offers > shortOffers {
			l.reports[gate].refused++
		}
		l.reply(now, gate, c, false, reason)
		return
	case startNow:
		l.execute(now, gate, c)
		return
	}
	if e, ok := q.Displaced(now); ok {
		e.Value.displaced++
		l.reports[gate].refused++
		l.reply(now, gate, e.Value, false, ReasonDisplaced)
	}
}

// execute runs a call that got a slot, then starts those that wait.
func (l *load) execute(now time.Time, gate int, c *call) {
	begin, end := now.Sub(start), now.Sub(start)+c.runTime
	l.used += max(0, min(end, hotEnd)-max(begin, hotBegin))
	l.at(now.Add(c.runTime), func(now time.Time) {
		q := &l.gates[gate]
		q.Finish(now, c, c.runTime)
		l.reply(now, gate, c, true, "")
		c.entry.observe(now.Sub(c.offeredAt))
		for {
			next, started, expired := q.Next(now)
			for _, e := range expired {
				l.reply(now, gate, e.Value, false, ReasonExpired)
			}
			if !started {
				return
			}
			l.execute(now, gate, next.Value)
		}
	})
}

// reply tells the entry the outcome of an offer and the load of the gate.
func (l *load) reply(now time.Time, gate int, c *call, served bool, reason Reason) {
	known := l.gates[gate].Running() + l.gates[gate].Waiting()
	l.at(now.Add(hop), func(now time.Time) {
		c.entry.outstanding[gate]--
		c.entry.known[gate], c.entry.knownUntil[gate] = known, now.Sub(start)+knownFor
		if served || reason == ReasonExpired {
			c.ended, c.served = now, served && !now.After(c.arrived.Add(callTime))
			return
		}
		l.offer(now, c)
	})
}

// tick makes the gates report their load, and every 450 ms the entries get the sum.
func (l *load) tick(now time.Time) {
	for i := range l.gates {
		g := &l.reports[i]
		load := room.Load{Instances: 1, Slots: loadSlots, Running: l.gates[i].Running(), Waiting: l.gates[i].Waiting()}
		if g.reporter.Due(now, load) {
			load.Refused = float64(g.refused) / max(now.Sub(g.since), 100*ms).Seconds()
			g.refused, g.since = 0, now
			l.sums.Record(now, i, "s", load)
		} else if now.Sub(g.since) > room.Validity {
			g.refused, g.since = 0, now
		}
	}
	if now.Sub(start)%(450*ms) < 50*ms {
		sum := l.sums.Totals(now)["s"]
		for i := range l.entries {
			if e := &l.entries[i]; e.stay > 0 && sum.Instances > 0 {
				e.share.Update(now, sum, loadGates*loadSlots, e.stay)
			}
		}
	}
	if now.Before(start.Add(loadEnd)) {
		l.at(now.Add(50*ms), l.tick)
	}
}

// hasRoom reports whether the entry of a call admits it.
func (l *load) hasRoom(now time.Time, c *call) bool {
	if c.entry.filter == nil {
		c.entry.filter = room.NewFilter()
	}
	r := l.request(now, c)
	ok, _ := c.entry.filter.Admit(now, l.rng, c.entry.share.Admitted(now), room.Request{Organisation: r.Organisation,
		OrganisationPriority: r.OrganisationPriority, Priority: r.Priority, Nested: r.Nested})
	return ok
}

// observe records the time from an offer to its answer.
func (e *loadEntry) observe(stay time.Duration) {
	if e.stay == 0 {
		e.stay = stay
	}
	e.stay += (stay - e.stay) / 10
}
