package member

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// pingInterval is the time between two pings of a node.
	pingInterval = time.Second
	// directTimeout is the time to wait for an acknowledgement before other
	// members are asked to ping the target. It covers a round trip between two
	// regions.
	directTimeout = 300 * time.Millisecond
	// probeTimeout is the time after which a probe without an acknowledgement
	// fails.
	probeTimeout = 900 * time.Millisecond
	// indirectProbers is the number of members that are asked to ping the target.
	indirectProbers = 3
	// suspicionTimeout is how long a node whose own probes failed waits before it
	// declares a member dead. It keeps probing the suspect in that time, each time
	// through another random set of members.
	suspicionTimeout = 2 * time.Second
	// suspicionPerRound is added to suspicionTimeout for each round of
	// dissemination on nodes whose own probes did not fail, so that a declaration
	// of death or a refutation can reach them.
	suspicionPerRound = time.Second
	// remotePingEvery is the number of pings of which one goes to another data
	// centre.
	remotePingEvery = 5
	// deadPingEvery is the number of pings of which one goes to a dead member.
	// Both kinds of pings detect the end of a partition.
	deadPingEvery = 10
	// maxRelays bounds the pings for other nodes that are in progress.
	maxRelays = 64
	// maxSkipped bounds the members that are examined to find an eligible one.
	maxSkipped = 64
)

// probe is a ping in progress.
type probe struct {
	target   *entry
	sequence uint64
	sent     time.Time
	// indirect is set when other members were asked to ping the target.
	indirect bool
	// alreadySuspected is set when the target was suspect or dead at the start.
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

// probeOrder visits members in a random permutation, which is drawn again for
// each pass, so that each member is visited once in each pass.
type probeOrder struct {
	entries []*entry
	next    int
}

// take returns the next eligible member, or nil if there is none among the next
// maxSkipped members.
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

// probeOrders holds the probe orders of the members in this node's data centre
// and of those in other data centres.
type probeOrders struct {
	local, remote probeOrder
	// backgroundIndex is the index in Table.all of the member that was last
	// considered for the background updates.
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
	order := &o.remote
	if e.DataCentre == t.Self.DataCentre {
		order = &o.local
	}
	order.entries = append(order.entries, e)
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

// reprobeTarget returns a member that is suspect because this node's own probe
// failed, so that it is pinged again at once. An isolated node continues with
// the other members instead, to find out whether it can reach them.
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

// continueProbe asks other members to ping the target after directTimeout, and
// lets the probe fail after probeTimeout.
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

// handleProbeFailure processes the end of a probe without an acknowledgement.
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
		// A leaving member gets no work, so it is declared dead without a
		// suspicion: a wrong declaration costs nothing and is refuted like any
		// other.
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

// suspicionTimeoutFor returns the time between a suspicion and the declaration
// of death. ownProbeFailed tells whether this node's own probe failed.
func (t *Table) suspicionTimeoutFor(ownProbeFailed bool) time.Duration {
	if ownProbeFailed {
		return suspicionTimeout
	}
	return suspicionTimeout + time.Duration(t.logSize())*suspicionPerRound
}

// expireSuspects declares the suspects dead whose time has run out. It waits
// isolationDelay longer if this node is isolated or receives no messages.
func (t *Table) expireSuspects(now time.Time) {
	var delay time.Duration
	if t.Isolated() || now.Sub(t.lastReceived) > silenceLimit {
		delay = isolationDelay
	}
	var expired []*entry
	for _, e := range t.suspects {
		if !now.Before(e.deadline.Add(delay)) {
			expired = append(expired, e)
		}
	}
	for _, e := range expired {
		t.setState(now, e, Dead, false)
		t.recordChange(e)
	}
}

// handleAck processes an acknowledgement. That of a ping for another node is
// forwarded to that node.
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
		// Another node uses the target's address. The probe continues, and fails
		// if the target itself does not answer.
		return nil
	}
	t.probe = nil
	t.window.add(true)
	p.target.LastHeard = now
	if p.target.State == Suspect {
		// The target is alive. Its refutation comes with this acknowledgement or
		// the next one; until then the suspicion does not count as this node's own,
		// so the longer timeout applies.
		p.target.ownProbeFailed = false
		p.target.deadline = now.Add(t.suspicionTimeoutFor(false))
	}
	return nil
}

// handlePingRequest pings the target of a ping request on behalf of the sender.
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

// dropExpiredRelays deletes expired relays and reports whether another can be
// added.
func (t *Table) dropExpiredRelays(now time.Time) bool {
	for n, r := range t.relays {
		if now.After(r.expires) {
			delete(t.relays, n)
		}
	}
	return len(t.relays) < maxRelays
}

const (
	// windowSize is the number of recent probes that decide whether a node is
	// isolated.
	windowSize = 8
	// windowMin is the number of probes below which a node does not count as
	// isolated.
	windowMin = 4
)

// window holds the outcomes of the last windowSize probes. Failed probes of
// members that were already suspect or dead are not recorded.
type window struct {
	outcomes [windowSize]bool
	count    int
}

func (w *window) add(ok bool) {
	w.outcomes[w.count%windowSize] = ok
	w.count++
}

// isolated reports whether more than half of the recorded probes failed.
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
