package member

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// pingInterval is the time between two pings of a node.
	pingInterval = time.Second
	// directTimeout is the wait for the target's own acknowledgement. It covers
	// a round trip between two regions.
	directTimeout = 300 * time.Millisecond
	// probeTimeout ends a probe.
	probeTimeout = 900 * time.Millisecond
	// helpers is the number of members that are asked to ping the target.
	helpers = 3
	// suspicion is how long a node whose own probes failed waits before it
	// declares a member dead. It pings the suspect in that time, through other
	// helpers each time.
	suspicion = 2 * time.Second
	// suspicionRound is added for each round that the verdict or the refutation
	// needs to arrive, at the nodes that only heard of the suspicion.
	suspicionRound = time.Second
	// farRound and deadRound tell which of ten pings leave the data centre and
	// which goes to a dead member, so that a healed partition is found.
	farRound   = 5
	deadRound  = 10
	maxRelays  = 64
	maxSkipped = 64
)

// probe is the ping in progress.
type probe struct {
	target   *entry
	sequence uint64
	sent     time.Time
	indirect bool
	// repeated is set when the target was suspected before.
	repeated bool
}

// relay is a ping on behalf of another node.
type relay struct {
	to       netip.AddrPort
	from     string
	sequence uint64
	target   string
	expires  time.Time
}

// order visits members in a random permutation, so that each is visited once
// in each pass.
type order struct {
	entries []*entry
	next    int
}

func (o *order) take(rng *rand.Rand, eligible func(*entry) bool) *entry {
	for range min(len(o.entries), maxSkipped) {
		if o.next == 0 {
			rng.Shuffle(len(o.entries), func(i, j int) { o.entries[i], o.entries[j] = o.entries[j], o.entries[i] })
		}
		e := o.entries[o.next]
		o.next = (o.next + 1) % len(o.entries)
		if eligible(e) {
			return e
		}
	}
	return nil
}

// orders holds the members of the own data centre and the others.
type orders struct {
	near, far order
	// turn is the place of the background exchange in the list of all members.
	turn int
}

func (o *orders) rebuild(t *Table) {
	*o = orders{turn: o.turn}
	for _, e := range t.all {
		o.insert(t, e)
	}
}

func (o *orders) insert(t *Table, e *entry) {
	if e == t.self {
		return
	}
	into := &o.far
	if e.DataCentre == t.Self.DataCentre {
		into = &o.near
	}
	into.entries = append(into.entries, e)
}

func (t *Table) startProbe(now time.Time, rng *rand.Rand) []Action {
	t.nextPing = now.Add(pingInterval)
	t.rounds++
	e := t.target(now, rng)
	if e == nil {
		return nil
	}
	t.sequence++
	t.probe = &probe{target: e, sequence: t.sequence, sent: now, repeated: e.State == Suspect || e.State == Dead}
	t.counters.Pings++
	return []Action{t.message(e.Address, e, Message{Kind: Ping, Sequence: t.sequence, Target: e.Name})}
}

// target chooses the next member to ping.
func (t *Table) target(now time.Time, rng *rand.Rand) *entry {
	if e := t.ownSuspect(now); e != nil {
		return e
	}
	if t.rounds%deadRound == 0 && len(t.dead) > 0 {
		return t.dead[rng.IntN(len(t.dead))]
	}
	first, second := &t.orders.near, &t.orders.far
	if t.rounds%farRound == 1 {
		first, second = second, first
	}
	live := func(e *entry) bool { return e.State != Dead }
	if e := first.take(rng, live); e != nil {
		return e
	}
	if e := second.take(rng, live); e != nil {
		return e
	}
	if len(t.dead) > 0 {
		return t.dead[rng.IntN(len(t.dead))]
	}
	return nil
}

// ownSuspect returns a suspect of this node's own probes, which is pinged again
// at once. A node that puts off its verdicts goes on through all members
// instead, to find out whether it hears them.
func (t *Table) ownSuspect(now time.Time) *entry {
	if t.Isolated() {
		return nil
	}
	for _, e := range t.suspects {
		if e.own && now.Before(e.deadline) {
			return e
		}
	}
	return nil
}

// continueProbe asks helpers after directTimeout and ends the probe after
// probeTimeout.
func (t *Table) continueProbe(now time.Time, rng *rand.Rand) []Action {
	p := t.probe
	if p == nil {
		return nil
	}
	age := now.Sub(p.sent)
	if age >= probeTimeout {
		t.probe = nil
		t.failed(now, p)
		return nil
	}
	if p.indirect || age < directTimeout || p.target.State == Dead {
		return nil
	}
	p.indirect = true
	var out []Action
	for _, h := range t.sample(rng, helpers, p.target) {
		out = append(out, t.message(h.Address, h, Message{Kind: PingRequest, Sequence: p.sequence,
			Target: p.target.Name, TargetAddress: p.target.Address}))
	}
	return out
}

// failed takes the end of a probe without an acknowledgement.
func (t *Table) failed(now time.Time, p *probe) {
	t.counters.Failed++
	e := p.target
	if !p.repeated {
		t.window.add(false)
	}
	switch e.State {
	case Alive:
		t.setState(now, e, Suspect, true)
		t.changed(e)
	case Suspect:
		if !e.own {
			e.own = true
			e.deadline = earlier(e.deadline, now.Add(suspicion))
		}
	case Leaving:
		// A leaving member gets no work, so a wrong verdict costs nothing and is
		// refuted as any other.
		if !t.Isolated() && now.Sub(t.heardAny) <= quietTime {
			t.setState(now, e, Dead, true)
			t.changed(e)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// patience is the time between a suspicion and the verdict.
func (t *Table) patience(own bool) time.Duration {
	if own {
		return suspicion
	}
	return suspicion + time.Duration(t.logSize())*suspicionRound
}

func (t *Table) expireSuspects(now time.Time) {
	var hold time.Duration
	if t.Isolated() || now.Sub(t.heardAny) > quietTime {
		hold = isolationHold
	}
	var over []*entry
	for _, e := range t.suspects {
		if !now.Before(e.deadline.Add(hold)) {
			over = append(over, e)
		}
	}
	for _, e := range over {
		t.setState(now, e, Dead, false)
		t.changed(e)
	}
}

// acknowledged takes an acknowledgement of a ping of this node.
func (t *Table) acknowledged(now time.Time, m Message) []Action {
	if r, ok := t.relays[m.Sequence]; ok {
		delete(t.relays, m.Sequence)
		if m.Target != r.target {
			return nil
		}
		return []Action{t.message(r.to, t.members[r.from], Message{Kind: Ack, Sequence: r.sequence, Target: r.target})}
	}
	p := t.probe
	if p == nil || m.Sequence != p.sequence {
		return nil
	}
	if m.Target != p.target.Name {
		// Another node answers at the address. The probe goes on and fails, as
		// the target does not answer.
		return nil
	}
	t.probe = nil
	t.window.add(true)
	p.target.Heard = now
	if p.target.State == Suspect {
		// The target lives. Its refutation travels with the acknowledgement or
		// the next; until then this node is no witness against it.
		p.target.own = false
		p.target.deadline = now.Add(t.patience(false))
	}
	return nil
}

// relay pings the target of a ping request.
func (t *Table) relay(now time.Time, m Message) []Action {
	to := m.TargetAddress
	e := t.members[m.Target]
	if e != nil {
		to = e.Address
	}
	if !to.IsValid() || len(t.relays) >= maxRelays && !t.dropRelays(now) {
		t.counters.Dropped++
		return nil
	}
	t.sequence++
	t.relays[t.sequence] = relay{to: m.Source, from: m.From, sequence: m.Sequence, target: m.Target,
		expires: now.Add(probeTimeout)}
	return []Action{t.message(to, e, Message{Kind: Ping, Sequence: t.sequence, Target: m.Target})}
}

// dropRelays forgets relays whose time is over and reports whether there is
// room for another.
func (t *Table) dropRelays(now time.Time) bool {
	for n, r := range t.relays {
		if now.After(r.expires) {
			delete(t.relays, n)
		}
	}
	return len(t.relays) < maxRelays
}

const (
	// windowSize is the number of probes that decide whether a node is isolated.
	windowSize = 8
	// windowMin is the smallest number of probes that may decide it.
	windowMin = 4
)

// window holds the outcomes of the last probes. Failures of members that were
// suspect or dead before do not count.
type window struct {
	outcomes [windowSize]bool
	n        int
}

func (w *window) add(ok bool) {
	w.outcomes[w.n%windowSize] = ok
	w.n++
}

func (w *window) isolated() bool {
	size := min(w.n, windowSize)
	if size < windowMin {
		return false
	}
	failed := 0
	for _, ok := range w.outcomes[:size] {
		if !ok {
			failed++
		}
	}
	return failed*2 > size
}
