package handover

import (
	"fmt"
	"maps"
	"math/big"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/golden"
)

// message is one message of the model, on its way.
type message struct {
	kind    string
	gate    int
	attempt int
	grant   Grant
}

// bounds limit the faults of one exploration. Any message may be delayed beyond
// any other or beyond the end, which is its loss; the counts bound what adds
// messages or states.
type bounds struct {
	duplicates, restarts, advances int
}

// protections that a mutated model switches off.
type protections struct {
	noIncarnation, noOnce, noExpiry, noVoid bool
}

// world is one state of the model: an entry, two gates and the messages.
type world struct {
	off     protections
	left    bounds
	gates   [2]*Gate
	clocks  [2]time.Time
	entry   Entry
	current int
	grant   Grant
	outcome Step
	runs    int
	cut     bool
	mail    []message
}

const (
	modelHold = time.Second
	modelGap  = 500 * time.Millisecond
)

var origin = time.Unix(1000, 0)

func newWorld(off protections, b bounds) *world {
	w := &world{off: off, left: b}
	for i := range w.gates {
		w.gates[i] = &Gate{Incarnation: uint64(i+1) * 10, Hold: modelHold, Memory: time.Hour, MaxGap: modelGap}
		w.clocks[i] = origin
		w.gates[i].Alive(origin)
	}
	w.send(message{kind: "reserve"})
	return w
}

func (w *world) send(m message) { w.mail = append(w.mail, m) }

func cloneGate(g *Gate) *Gate {
	c := *g
	c.grants, c.attempts = make(map[uint64]*record), make(map[Attempt]*record)
	copies := make(map[*record]*record)
	for a, r := range g.attempts {
		n := *r
		copies[r], c.attempts[a] = &n, &n
	}
	for n, r := range g.grants {
		c.grants[n] = copies[r]
	}
	c.holds, c.aging = nil, nil
	for _, r := range g.holds {
		c.holds = append(c.holds, copies[r])
	}
	for _, r := range g.aging {
		c.aging = append(c.aging, copies[r])
	}
	return &c
}

func (w *world) clone() *world {
	c := *w
	c.mail = slices.Clone(w.mail)
	for i, g := range w.gates {
		c.gates[i] = cloneGate(g)
	}
	return &c
}

// key identifies the state.
func (w *world) key() string {
	var b strings.Builder
	mail := make([]string, len(w.mail))
	for i, m := range w.mail {
		mail[i] = fmt.Sprint(m)
	}
	slices.Sort(mail)
	fmt.Fprint(&b, w.left, w.entry, w.current, w.grant, w.outcome, w.runs, w.cut, mail)
	for i, g := range w.gates {
		fmt.Fprint(&b, "|", g.Incarnation, g.number, w.clocks[i].Sub(origin), g.alive.Sub(origin))
		for _, n := range slices.Sorted(maps.Keys(g.grants)) {
			r := g.grants[n]
			fmt.Fprint(&b, " ", n, r.attempt[0], r.state, r.expires.Sub(origin))
		}
		for n := range 2 {
			if r := g.attempts[attemptOf(n)]; r != nil && r.number == 0 {
				fmt.Fprint(&b, " a", n, r.state)
			}
		}
	}
	return b.String()
}

func attemptOf(n int) Attempt { return Attempt{byte(n + 1)} }

// handle delivers a message to a gate or to the entry.
func (w *world) handle(m message) {
	g, now := w.gates[m.gate], w.clocks[m.gate]
	reply := message{gate: m.gate, attempt: m.attempt, grant: m.grant}
	a := attemptOf(m.attempt)
	switch m.kind {
	case "reserve":
		if g.Open(now, a) != nil {
			return
		}
		gr, err := g.Reserve(now, a)
		if err != nil {
			return
		}
		reply.kind, reply.grant = "reserved", gr
		w.send(reply)
	case "commit":
		w.commit(g, now, m)
	case "settle":
		reply.kind = "settled:" + []string{"unknown", "not run", "started"}[w.settle(g, now, a, m.grant)]
		w.send(reply)
	default:
		if m.attempt == w.current {
			w.entryEvent(m)
		}
	}
}

func (w *world) commit(g *Gate, now time.Time, m message) {
	gr := m.grant
	r := g.grants[gr.Number]
	if w.off.noIncarnation {
		gr.Incarnation = g.Incarnation
	}
	if w.off.noOnce && r != nil && r.state == committed {
		r.state = reserved
	}
	if w.off.noExpiry && r != nil && r.state != committed {
		r.state, r.expires = reserved, now.Add(modelHold)
	}
	reply := message{kind: "head", gate: m.gate, attempt: m.attempt}
	if err := g.Commit(now, gr); err == nil {
		w.runs++
	} else if MayHaveRun(err) {
		reply.kind = "failed"
	} else {
		reply.kind = "refused"
	}
	w.send(reply)
}

func (w *world) settle(g *Gate, now time.Time, a Attempt, gr Grant) Settlement {
	if w.off.noIncarnation {
		gr.Incarnation = g.Incarnation
		gr.Number = 0
	}
	r := g.attempts[a]
	var before state
	if r != nil {
		before = r.state
	}
	s := g.Settle(now, a, gr)
	if w.off.noVoid && r != nil {
		r.state = before
	}
	return s
}

var modelEvents = map[string]Event{
	"reserved": EventReserved, "refused": EventRefused, "head": EventHead, "failed": EventFailed,
	"settled:unknown": EventSettledUnknown, "settled:not run": EventSettledNotRun,
	"settled:started": EventSettledStarted,
}

func (w *world) entryEvent(m message) {
	// The link of the attempt carries no more messages once it is lost.
	if w.cut && !strings.HasPrefix(m.kind, "settled") {
		return
	}
	if m.kind == "reserved" && w.grant == (Grant{}) {
		w.grant = m.grant
	}
	w.event(modelEvents[m.kind])
}

// event gives an event to the entry and performs the step.
func (w *world) event(ev Event) {
	if w.outcome != "" {
		return
	}
	m := message{gate: w.current % 2, attempt: w.current, grant: w.grant}
	switch s := w.entry.Handle(time.Time{}, ev); s {
	case StepCommit:
		w.entry.Handle(time.Time{}, EventCommit)
		m.kind = "commit"
		w.send(m)
	case StepSettle:
		m.kind = "settle"
		w.send(m)
	case StepNotRun:
		if w.current == 1 {
			w.outcome = s
			return
		}
		w.current, w.entry, w.grant, w.cut = 1, Entry{}, Grant{}, false
		w.send(message{kind: "reserve", gate: 1, attempt: 1})
	case StepAnswer, StepUnknown:
		w.outcome = s
	}
}

// next returns the states that one action leads to, by name of the action.
func (w *world) next() (names []string, out []*world) {
	add := func(name string, change func(c *world)) {
		c := w.clone()
		change(c)
		names, out = append(names, name), append(out, c)
	}
	for i, m := range w.mail {
		take := func(c *world) { c.mail = slices.Delete(c.mail, i, i+1) }
		text := fmt.Sprintf("%s attempt %d gate %d", m.kind, m.attempt, m.gate)
		add("deliver "+text, func(c *world) { take(c); c.handle(m) })
		if w.left.duplicates > 0 {
			add("duplicate "+text, func(c *world) { c.left.duplicates--; c.send(m) })
		}
	}
	for i := range w.gates {
		w.nextOfGate(add, i)
	}
	if w.outcome == "" {
		w.nextOfEntry(add)
	}
	return names, out
}

func (w *world) nextOfGate(add func(string, func(*world)), i int) {
	if w.left.restarts > 0 {
		add(fmt.Sprint("restart gate ", i), func(c *world) {
			c.left.restarts--
			g := c.gates[i]
			c.gates[i] = &Gate{Incarnation: g.Incarnation + 1, Hold: modelHold, Memory: time.Hour, MaxGap: modelGap}
			c.gates[i].Alive(c.clocks[i])
		})
	}
	if w.left.advances == 0 {
		return
	}
	add(fmt.Sprint("holds expire at gate ", i), func(c *world) {
		c.left.advances--
		c.clocks[i] = c.clocks[i].Add(modelHold)
		g := c.gates[i]
		g.alive = c.clocks[i]
		// The gate reports on the link that the grant expired.
		for _, a := range g.Expire(c.clocks[i]) {
			c.send(message{kind: "refused", gate: i, attempt: int(a[0]) - 1})
		}
	})
	add(fmt.Sprint("gate pauses ", i), func(c *world) {
		c.left.advances--
		c.clocks[i] = c.clocks[i].Add(modelGap + time.Millisecond)
	})
}

func (w *world) nextOfEntry(add func(string, func(*world))) {
	if w.entry.asking {
		add("settlement lost", func(c *world) { c.event(EventSettleLost) })
	}
	if !w.cut {
		add("link lost", func(c *world) { c.cut = true; c.event(EventLost) })
		if w.entry.phase == reserving || w.entry.phase == sent && w.entry.asked == 0 {
			add("silence", func(c *world) { c.event(EventSilence) })
		}
	}
}

// violation names the property that the state breaks, or is empty.
func (w *world) violation() string {
	switch {
	case w.runs > 1:
		return "the work ran twice"
	case w.outcome == StepNotRun && w.runs > 0:
		return "told not run, but the work ran"
	case w.outcome == StepAnswer && w.runs == 0:
		return "answered without a run"
	}
	return ""
}

// counts is the number of paths from a state by their outcome.
type counts map[Step]*big.Int

// exploration visits all states.
type exploration struct {
	seen  map[string]counts
	found string
	trace []string
}

func (x *exploration) visit(w *world) counts {
	key := w.key()
	if c, ok := x.seen[key]; ok {
		return c
	}
	if v := w.violation(); v != "" {
		x.found = v + "\n    " + strings.Join(x.trace, "\n    ")
	}
	if x.found != "" {
		return nil
	}
	sum := make(counts)
	if w.outcome != "" {
		// The path counts once; what follows is visited for violations only.
		sum[w.outcome] = big.NewInt(1)
	}
	names, worlds := w.next()
	for i, n := range worlds {
		x.trace = append(x.trace, names[i])
		for o, c := range x.visit(n) {
			if w.outcome != "" {
				break
			}
			if sum[o] == nil {
				sum[o] = new(big.Int)
			}
			sum[o].Add(sum[o], c)
		}
		x.trace = x.trace[:len(x.trace)-1]
		if x.found != "" {
			return nil
		}
	}
	x.seen[key] = sum
	return sum
}

func (c counts) String() string {
	total := new(big.Int)
	for _, n := range c {
		total.Add(total, n)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "paths %v", total)
	for _, o := range []Step{StepAnswer, StepNotRun, StepUnknown} {
		n := c[o]
		if n == nil {
			n = new(big.Int)
		}
		share, _ := new(big.Rat).SetFrac(n, total).Float64()
		fmt.Fprintf(&b, ", %s %v (%.4f)", o, n, share)
	}
	return b.String()
}

func explore(t *testing.T, name string, bs []bounds) {
	t.Helper()
	var out strings.Builder
	for _, b := range bs {
		x := &exploration{seen: make(map[string]counts)}
		c := x.visit(newWorld(protections{}, b))
		if x.found != "" {
			t.Errorf("%+v: %s", b, x.found)
			continue
		}
		fmt.Fprintf(&out, "%+v: states %d, %v\n", b, len(x.seen), c)
	}
	golden.Check(t, name, out.String())
}

// TestExplore guards against a second run and a false "not run" in all orders
// of loss, delay, duplication, pause, expiry and restart within the bounds. It
// counts the paths that end unknown, which a change should not raise.
func TestExplore(t *testing.T) {
	explore(t, "explore", []bounds{{}, {duplicates: 1}, {restarts: 1}, {advances: 1}})
}

// TestExploreLong is TestExplore with two kinds of faults on a path. It takes
// about a minute and runs if CASSIARACK_LONG is set.
func TestExploreLong(t *testing.T) {
	if os.Getenv("CASSIARACK_LONG") == "" {
		t.Skip("set CASSIARACK_LONG to run")
	}
	explore(t, "explore_long", []bounds{{duplicates: 1, restarts: 1}, {duplicates: 1, advances: 1},
		{restarts: 1, advances: 1}, {advances: 2}})
}

// TestExploreFinds shows that the exploration finds a violation with each
// protection off, so that it would notice the loss of one.
func TestExploreFinds(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	for _, c := range []struct {
		name   string
		off    protections
		bounds bounds
	}{
		{"incarnation check", protections{noIncarnation: true}, bounds{restarts: 1}},
		{"commit once", protections{noOnce: true}, bounds{duplicates: 1}},
		{"expiry check", protections{noExpiry: true}, bounds{advances: 1}},
		{"settle voids", protections{noVoid: true}, bounds{}},
	} {
		x := &exploration{seen: make(map[string]counts)}
		x.visit(newWorld(c.off, c.bounds))
		is.True(x.found != "") // the mutated model must break a property
		fmt.Fprintf(&out, "without %s: %s\n", c.name, x.found)
	}
	golden.Check(t, "explore_finds", out.String())
}
