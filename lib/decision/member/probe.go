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
	// indirectProbers is the number of members that are asked to ping the target.
	indirectProbers = 3
	// suspicionTimeout is how long a node whose own probes failed waits before it
	// declares a member dead. It pings the suspect in that time, through other
	// helpers each time.
	suspicionTimeout = 2 * time.Second
	// suspicionPerRound is added for each round that the verdict or the refutation
	// needs to arrive, at the nodes that only heard of the suspicion.
	suspicionPerRound = time.Second
	// remotePingEvery and deadRound tell which of ten pings leave the data centre and
	// which goes to a dead member, so that a healed partition is found.
	remotePingEvery = 5
	deadPingEvery   = 10
	maxRelays       = 64
	maxSkipped      = 64
)

// probe is the ping in progress.
type probe struct {
	target   *entry
	sequence uint64
	sent     time.Time
	indirect bool
	// alreadySuspected is set when the target was suspected before.
	alreadySuspected bool
}

// relay is a ping on behalf of another node.
type relay struct {
	to       netip.AddrPort
	from     string
	sequence uint64
	target   string
	expires  time.Time
}

// probeOrder visits members in a random permutation, so that each is visited once
// in each pass.
type probeOrder struct {
	entries []*entry
	next    int
}

func (o *probeOrder) take(rng *rand.Rand, eligible func(*entry) bool) *entry {
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

// probeOrders holds the members of the own data centre and the others.
type probeOrders struct {
	local, remote probeOrder
	// backgroundIndex is the place of the background exchange in the list of all members.
	backgroundIndex int
}

func (o *probeOrders) rebuild(t *Table) {
	*o = probeOrders{backgroundIndex: o.backgroundIndex}
	for _, e := range t.all {
		o.insert(t, e)
	}
}

func (o *probeOrders) insert(t *Table, e *entry) {
	if e == t.self {
		return
	}
	into := &o.remote
	if e.DataCentre == t.Self.DataCentre {
		into = &o.local
	}
	into.entries = append(into.entries, e)
}

func (t *Table) startProbe(now time.Time, rng *rand.Rand) []Envelope {
	t.nextPing = now.Add(pingInterval)
	t.rounds++
	e := t.nextTarget(now, rng)
	if e == nil {
		return nil
	}
	t.sequence++
	t.probe = &probe{target: e, sequence: t.sequence, sent: now, alreadySuspected: e.State == Suspect || e.State == Dead}
	t.counters.Pings++
	return []Envelope{t.newMessage(e.Address, e, Message{Kind: Ping, Sequence: t.sequence, Target: e.Name})}
}

// nextTarget chooses the next member to ping.
func (t *Table) nextTarget(now time.Time, rng *rand.Rand) *entry {
	if e := t.reprobeTarget(now); e != nil {
		return e
	}
	if t.rounds%deadPingEvery == 0 && len(t.dead) > 0 {
		return t.dead[rng.IntN(len(t.dead))]
	}
	first, second := &t.orders.local, &t.orders.remote
	if t.rounds%remotePingEvery == 1 {
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

// reprobeTarget returns a suspect of this node's own probes, which is pinged again
// at once. A node that puts off its verdicts goes on through all members
// instead, to find out whether it hears them.
func (t *Table) reprobeTarget(now time.Time) *entry {
	if t.Isolated() {
		return nil
	}
	for _, e := range t.suspects {
		if e.ownProbeFailed && now.Before(e.deadline) {
			return e
		}
	}
	return nil
}

// continueProbe asks helpers after directTimeout and ends the probe after
// probeTimeout.
func (t *Table) continueProbe(now time.Time, rng *rand.Rand) []Envelope {
	p := t.probe
	if p == nil {
		return nil
	}
	age := now.Sub(p.sent)
	if age >= probeTimeout {
		t.probe = nil
		t.handleProbeFailure(now, p)
		return nil
	}
	if p.indirect || age < directTimeout || p.target.State == Dead {
		return nil
	}
	p.indirect = true
	var out []Envelope
	for _, h := range t.sample(rng, indirectProbers, p.target) {
		out = append(out, t.newMessage(h.Address, h, Message{Kind: PingRequest, Sequence: p.sequence,
			Target: p.target.Name, TargetAddress: p.target.Address}))
	}
	return out
}

// handleProbeFailure takes the end of a probe without an acknowledgement.
func (t *Table) handleProbeFailure(now time.Time, p *probe) {
	t.counters.FailedPings++
	e := p.target
	if !p.alreadySuspected {
		t.window.add(false)
	}
	switch e.State {
	case Alive:
		t.setState(now, e, Suspect, true)
		t.recordChange(e)
	case Suspect:
		if !e.ownProbeFailed {
			e.ownProbeFailed = true
			e.deadline = earlier(e.deadline, now.Add(suspicionTimeout))
		}
	case Leaving:
		// A leaving member gets no work, so a wrong verdict costs nothing and is
		// refuted as any other.
		if !t.Isolated() && now.Sub(t.lastReceived) <= silenceLimit {
			t.setState(now, e, Dead, true)
			t.recordChange(e)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// suspicionTimeoutFor is the time between a suspicion and the verdict.
func (t *Table) suspicionTimeoutFor(own bool) time.Duration {
	if own {
		return suspicionTimeout
	}
	return suspicionTimeout + time.Duration(t.logSize())*suspicionPerRound
}

func (t *Table) expireSuspects(now time.Time) {
	var hold time.Duration
	if t.Isolated() || now.Sub(t.lastReceived) > silenceLimit {
		hold = isolationDelay
	}
	var over []*entry
	for _, e := range t.suspects {
		if !now.Before(e.deadline.Add(hold)) {
			over = append(over, e)
		}
	}
	for _, e := range over {
		t.setState(now, e, Dead, false)
		t.recordChange(e)
	}
}

// handleAck takes an acknowledgement of a ping of this node.
func (t *Table) handleAck(now time.Time, m Message) []Envelope {
	if r, ok := t.relays[m.Sequence]; ok {
		delete(t.relays, m.Sequence)
		if m.Target != r.target {
			return nil
		}
		return []Envelope{t.newMessage(r.to, t.members[r.from], Message{Kind: Ack, Sequence: r.sequence, Target: r.target})}
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
	p.target.LastHeard = now
	if p.target.State == Suspect {
		// The target lives. Its refutation travels with the acknowledgement or
		// the next; until then this node is no witness against it.
		p.target.ownProbeFailed = false
		p.target.deadline = now.Add(t.suspicionTimeoutFor(false))
	}
	return nil
}

// handlePingRequest pings the target of a ping request.
func (t *Table) handlePingRequest(now time.Time, m Message) []Envelope {
	to := m.TargetAddress
	e := t.members[m.Target]
	if e != nil {
		to = e.Address
	}
	if !to.IsValid() || len(t.relays) >= maxRelays && !t.dropExpiredRelays(now) {
		t.counters.Dropped++
		return nil
	}
	t.sequence++
	t.relays[t.sequence] = relay{to: m.Source, from: m.From, sequence: m.Sequence, target: m.Target,
		expires: now.Add(probeTimeout)}
	return []Envelope{t.newMessage(to, e, Message{Kind: Ping, Sequence: t.sequence, Target: m.Target})}
}

// dropExpiredRelays forgets relays whose time is over and reports whether there is
// room for another.
func (t *Table) dropExpiredRelays(now time.Time) bool {
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
	count    int
}

func (w *window) add(ok bool) {
	w.outcomes[w.count%windowSize] = ok
	w.count++
}

func (w *window) isolated() bool {
	size := min(w.count, windowSize)
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
