package member

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// sweepInterval is the interval at which dead members outside the register
	// are deleted.
	sweepInterval = time.Minute
	// deadRetention is how long a dead member outside the register is kept,
	// so that an older update that is still in circulation does not add it again.
	deadRetention = 10 * time.Minute
	// maxUnregistered bounds the number of members outside the register.
	maxUnregistered = 4096
	// maxTickGap is the longest time between two ticks that does not count as a
	// pause. After a longer one, the probe is dropped and suspicions start again.
	maxTickGap = 500 * time.Millisecond
	// recentlyHeardLimit is the time after a member's last message in which a
	// platform list without the member does not make it dead.
	recentlyHeardLimit = 5 * time.Second
	// isolationDelay is how long an isolated node delays declaring members dead.
	// It is bounded, so that after a loss of most members the survivors still
	// declare them dead.
	isolationDelay = time.Minute
	// silenceLimit is the time without any message after which a node delays
	// declaring members dead. A node receives about two messages a second.
	silenceLimit = 2 * time.Second
)

// Table holds the membership as one node sees it. Self must be set before use.
type Table struct {
	// Self is the node itself. Its incarnation must exceed those of earlier
	// runs, as the start time in nanoseconds does.
	Self Member

	self      *entry
	members   map[string]*entry
	byAddress map[netip.AddrPort]*entry
	// all holds the members in the order in which the background updates take
	// them.
	all          []*entry
	dead         []*entry
	suspects     []*entry
	unregistered int
	orders       probeOrders
	probe        *probe
	window       window
	relays       map[uint64]relay
	// urgent holds changes of state, routine new incarnations of members that
	// were already alive.
	urgent, routine updateQueue
	counters        Counters

	sequence uint64
	rounds   uint64
	version  uint64
	lastTick time.Time
	// lastReceived is when the last message from any other node arrived.
	lastReceived time.Time
	nextPing     time.Time
	nextAnnounce time.Time
	sweepAt      time.Time
}

// entry holds a member and the table's own data about it.
type entry struct {
	Member
	inRegister        bool
	registeredAddress netip.AddrPort
	// deadIndex is the index in Table.dead, or -1.
	deadIndex int
	// generation is that of the newest queued update; older ones are obsolete.
	generation uint64
	// deadline is the end of the suspicion. ownProbeFailed is set when this node's
	// own probe failed.
	deadline       time.Time
	ownProbeFailed bool
	died           time.Time
	// platformState is the last state of the VM in the platform's list,
	// platformIncarnation the member's incarnation when it was applied.
	platformState       PlatformState
	platformIncarnation uint64
}

func (e *entry) update() Update {
	return Update{Name: e.Name, Incarnation: e.Incarnation, State: e.State, Address: e.Address}
}

func (t *Table) init() {
	if t.members != nil {
		return
	}
	t.Self.State = Alive
	t.self = &entry{Member: t.Self, inRegister: true, deadIndex: -1}
	t.members = map[string]*entry{t.Self.Name: t.self}
	t.byAddress = map[netip.AddrPort]*entry{t.Self.Address: t.self}
	t.relays = make(map[uint64]relay)
	t.all = []*entry{t.self}
	t.urgent.push(t.self)
}

// SetRegister replaces the registered members by ms. Members that are not in ms
// stay until they are dead. The states, incarnations and times of ms are
// ignored.
func (t *Table) SetRegister(now time.Time, ms []Member) {
	t.init()
	listed := make(map[string]bool, len(ms))
	for _, m := range ms {
		listed[m.Name] = true
		t.upsertRegistered(m)
	}
	for _, e := range slices.Clone(t.all) {
		if e == t.self || listed[e.Name] {
			continue
		}
		if e.inRegister {
			e.inRegister = false
			t.unregistered++
		}
		if e.State == Dead {
			e.died = now
		}
	}
	t.orders.rebuild(t)
	t.version++
}

// upsertRegistered adds or updates a member of the register.
func (t *Table) upsertRegistered(m Member) {
	e, ok := t.members[m.Name]
	switch {
	case !ok:
		e = t.add(Member{Name: m.Name, Address: m.Address, State: Alive})
		e.inRegister = true
	case !e.inRegister:
		e.inRegister = true
		t.unregistered--
	}
	e.Region, e.DataCentre = m.Region, m.DataCentre
	if e == t.self || e.registeredAddress == m.Address {
		return
	}
	// A member that was heard before it was in the register keeps the address
	// that its messages came from.
	heardBefore := e.Incarnation > 0 && !e.registeredAddress.IsValid()
	e.registeredAddress = m.Address
	if !heardBefore {
		t.setAddress(e, m.Address)
	}
}

func (t *Table) add(m Member) *entry {
	e := &entry{Member: m, deadIndex: -1}
	t.members[m.Name] = e
	t.all = append(t.all, e)
	if other, taken := t.byAddress[m.Address]; !taken || other.State == Dead {
		t.byAddress[m.Address] = e
	}
	return e
}

// setAddress changes the address of a member. The old owner of the address keeps
// it in byAddress unless it is dead.
func (t *Table) setAddress(e *entry, a netip.AddrPort) {
	if t.byAddress[e.Address] == e {
		delete(t.byAddress, e.Address)
	}
	e.Address = a
	if other, taken := t.byAddress[a]; !taken || other.State == Dead {
		t.byAddress[a] = e
	}
}

// Members returns all members including the node itself, ordered by name. An
// alive member that the platform lists as leaving is returned as Leaving.
func (t *Table) Members(now time.Time) []Member {
	t.init()
	out := make([]Member, 0, len(t.all))
	for _, e := range t.all {
		m := e.Member
		if e == t.self {
			m.LastHeard = now
		}
		if e.State == Alive && e.platformState == PlatformLeaving && e.platformIncarnation == e.Incarnation {
			m.State = Leaving
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Version returns a number that changes whenever the state of a member does.
func (t *Table) Version() uint64 { return t.version }

// Counters returns the counters of the table.
func (t *Table) Counters() Counters { return t.counters }

// Isolated reports whether more than half of the last probes failed. It is then
// more likely that this node is cut off than that the others are dead, so it
// delays declaring members dead by a minute.
func (t *Table) Isolated() bool { return t.window.isolated() }

// Resume informs the table that the process was paused. Acknowledgements may
// have been lost in the pause, so the probe is dropped and suspicions start
// again.
func (t *Table) Resume(now time.Time) {
	t.probe = nil
	t.window = window{}
	for _, e := range t.suspects {
		e.deadline = now.Add(t.suspicionTimeoutFor(e.ownProbeFailed))
	}
}

// Leave marks the node as leaving and returns the announcements to send.
func (t *Table) Leave(rng *rand.Rand) []Envelope {
	t.init()
	if t.self.State != Leaving {
		t.self.Incarnation++
		t.self.State = Leaving
		t.recordChange(t.self)
	}
	return t.Announce(rng, announceFanOut)
}

// Tick returns the messages that are due. It should be called about ten times a
// second; a gap of more than 500 ms counts as a pause.
func (t *Table) Tick(now time.Time, rng *rand.Rand) []Envelope {
	t.init()
	// The monotonic clock stops while a VM is suspended, so the wall clock is
	// compared as well.
	gap := max(now.Sub(t.lastTick), now.Round(0).Sub(t.lastTick.Round(0)))
	if !t.lastTick.IsZero() && gap > maxTickGap {
		t.Resume(now)
	}
	t.lastTick = now
	out := t.continueProbe(now, rng)
	t.expireSuspects(now)
	if t.probe == nil && !now.Before(t.nextPing) {
		out = append(out, t.startProbe(now, rng)...)
	}
	if !now.Before(t.nextAnnounce) && (t.urgent.hasPending() || t.routine.hasPending()) {
		t.nextAnnounce = now.Add(announceInterval)
		out = append(out, t.Announce(rng, 1)...)
	}
	if !now.Before(t.sweepAt) {
		t.sweepAt = now.Add(sweepInterval)
		t.sweep(now)
	}
	return out
}

// Handle processes a message from another node and returns the replies to send.
func (t *Table) Handle(now time.Time, m Message) []Envelope {
	t.init()
	if m.From == t.Self.Name || m.From == "" {
		t.counters.DuplicateNames++
		return nil
	}
	t.lastReceived = now
	from := t.recordSender(now, m)
	for _, u := range m.Updates {
		t.apply(now, u)
	}
	switch m.Kind {
	case Ping:
		return []Envelope{t.newMessage(m.Source, from, Message{Kind: Ack, Sequence: m.Sequence, Target: t.Self.Name})}
	case Ack:
		return t.handleAck(now, m)
	case PingRequest:
		return t.handlePingRequest(now, m)
	}
	return nil
}

// recordSender records that the sender of a message is alive and returns its
// entry, or nil if it is not in the table.
func (t *Table) recordSender(now time.Time, m Message) *entry {
	t.apply(now, Update{Name: m.From, Incarnation: m.Incarnation, State: Alive, Address: m.Source})
	e := t.members[m.From]
	if e != nil {
		e.LastHeard = now
	}
	return e
}

// apply applies an update about a member, if it supersedes what the table holds.
func (t *Table) apply(now time.Time, u Update) {
	if u.Name == t.Self.Name {
		t.refute(u)
		return
	}
	e := t.members[u.Name]
	if e == nil {
		if e = t.addUnregistered(u); e == nil {
			return
		}
	}
	if !u.supersedes(e.Incarnation, e.State) {
		return
	}
	if u.Incarnation > e.Incarnation && u.Address.IsValid() && u.Address != e.Address {
		t.setAddress(e, u.Address)
	}
	t.retirePreviousOwner(now, e, u)
	e.Incarnation = u.Incarnation
	if e.State == Alive && u.State == Alive {
		t.version++
		t.routine.push(e)
		return
	}
	t.setState(now, e, u.State, false)
	t.recordChange(e)
}

// addUnregistered adds a member that is not in the register. Dead members are
// not added, so that all nodes eventually forget them. It returns nil if the
// member was not added.
func (t *Table) addUnregistered(u Update) *entry {
	if u.State == Dead || !u.Address.IsValid() {
		return nil
	}
	if t.unregistered >= maxUnregistered {
		t.counters.Dropped++
		return nil
	}
	t.unregistered++
	e := t.add(Member{Name: u.Name, Address: u.Address})
	t.orders.insert(t, e)
	return e
}

// retirePreviousOwner declares the previous owner of the address of e dead if u
// shows that e is newer.
func (t *Table) retirePreviousOwner(now time.Time, e *entry, u Update) {
	other := t.byAddress[e.Address]
	if other == nil || other == e || other == t.self || u.State == Dead || other.Incarnation >= u.Incarnation {
		return
	}
	t.byAddress[e.Address] = e
	if other.State != Dead {
		t.setState(now, other, Dead, false)
		t.recordChange(other)
	}
}

// refute raises the node's own incarnation if u wrongly supersedes its state.
func (t *Table) refute(u Update) {
	if !u.supersedes(t.self.Incarnation, t.self.State) {
		return
	}
	if u.Address.IsValid() && u.Address != t.self.Address && u.Incarnation > t.self.Incarnation {
		// Another node uses this name. If this node raised its incarnation, both
		// nodes would raise theirs forever.
		t.counters.DuplicateNames++
		return
	}
	t.self.Incarnation = u.Incarnation + 1
	t.counters.Refuted++
	t.recordChange(t.self)
}

// Incarnation returns the node's own incarnation.
func (t *Table) Incarnation() uint64 {
	t.init()
	return t.self.Incarnation
}

// recordChange raises the version and queues the state of a member for sending.
func (t *Table) recordChange(e *entry) {
	t.version++
	t.urgent.push(e)
}

// setState changes the state of a member and the lists and counters that depend
// on it. ownProbeFailed tells whether this node's own probe failed.
func (t *Table) setState(now time.Time, e *entry, s State, ownProbeFailed bool) {
	if e.State == Suspect && s != Suspect {
		t.suspects = slices.DeleteFunc(t.suspects, func(x *entry) bool { return x == e })
	}
	if e.deadIndex >= 0 && s != Dead {
		t.removeDead(e)
	}
	switch s {
	case Suspect:
		if e.State != Suspect {
			t.suspects = append(t.suspects, e)
		}
		e.ownProbeFailed = ownProbeFailed
		e.deadline = now.Add(t.suspicionTimeoutFor(ownProbeFailed))
		t.counters.Suspected++
	case Dead:
		if e.deadIndex < 0 {
			e.deadIndex = len(t.dead)
			t.dead = append(t.dead, e)
		}
		e.died = now
		t.counters.Died++
	}
	e.State = s
}

func (t *Table) removeDead(e *entry) {
	last := t.dead[len(t.dead)-1]
	t.dead[e.deadIndex], last.deadIndex = last, e.deadIndex
	t.dead = t.dead[:len(t.dead)-1]
	e.deadIndex = -1
}

// sweep deletes members outside the register that have been dead for
// deadRetention, and expired relays.
func (t *Table) sweep(now time.Time) {
	before := len(t.all)
	t.all = slices.DeleteFunc(t.all, func(e *entry) bool {
		if e.inRegister || e.State != Dead || now.Sub(e.died) < deadRetention {
			return false
		}
		t.removeDead(e)
		delete(t.members, e.Name)
		if t.byAddress[e.Address] == e {
			delete(t.byAddress, e.Address)
		}
		t.unregistered--
		return true
	})
	if len(t.all) != before {
		t.orders.rebuild(t)
		t.version++
	}
	for n, r := range t.relays {
		if now.After(r.expires) {
			delete(t.relays, n)
		}
	}
}

// ApplyPlatformList applies the platform's list of VMs, keyed by name. A VM that
// is not in it is gone. The list lags behind, so it never marks a dead member as
// alive. A list in which more than half of the registered members are missing is
// ignored.
func (t *Table) ApplyPlatformList(now time.Time, list map[string]PlatformState) {
	t.init()
	missing, listed := 0, 0
	for _, e := range t.all {
		if !e.inRegister {
			continue
		}
		listed++
		if _, ok := list[e.Name]; !ok {
			missing++
		}
	}
	if missing*2 > listed {
		return
	}
	for _, e := range t.all {
		state, ok := list[e.Name]
		if !ok {
			state = PlatformGone
		}
		if e != t.self {
			t.applyPlatformState(now, e, state)
		}
	}
}

// applyPlatformState applies a change of a member's state in the platform's
// list. A member that is gone is declared dead unless it was heard recently.
func (t *Table) applyPlatformState(now time.Time, e *entry, state PlatformState) {
	if state == e.platformState {
		return
	}
	e.platformState, e.platformIncarnation = state, e.Incarnation
	t.version++
	if state != PlatformGone || e.State == Dead || now.Sub(e.LastHeard) < recentlyHeardLimit {
		return
	}
	t.setState(now, e, Dead, false)
	t.recordChange(e)
}

// logSize returns the natural logarithm of the number of members, rounded up.
// The number of rounds that an update needs to reach all nodes grows with it.
func (t *Table) logSize() int { return int(math.Ceil(math.Log(float64(len(t.all) + 1)))) }
