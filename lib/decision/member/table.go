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
	// sweepInterval is how often dead members outside the register are dropped.
	sweepInterval = time.Minute
	// deadRetention is how long a dead member outside the register is kept, so that
	// an older update that still travels does not add it again.
	deadRetention = 10 * time.Minute
	// maxUnregistered bounds the members outside the register.
	maxUnregistered = 4096
	// maxTickGap is the longest time between two ticks after which probes and
	// suspicions of the time before still count.
	maxTickGap = 500 * time.Millisecond
	// recentlyHeardLimit protects a member from a list that calls it gone.
	recentlyHeardLimit = 5 * time.Second
	// isolationDelay is how long an isolated node puts off its verdicts. It is
	// bounded, so that the survivors of a loss of most members see it.
	isolationDelay = time.Minute
	// silenceLimit is the silence of all members after which a node puts off its
	// verdicts. A node receives about two messages a second.
	silenceLimit = 2 * time.Second
)

// Table is the membership as one node sees it. Self must be set before use.
type Table struct {
	// Self is the node itself. Its incarnation must exceed those of earlier
	// runs; the time of the start in nanoseconds does.
	Self Member

	self      *entry
	members   map[string]*entry
	byAddress map[netip.AddrPort]*entry
	// all holds the members in the order of the background exchange.
	all          []*entry
	dead         []*entry
	suspects     []*entry
	unregistered int
	orders       probeOrders
	probe        *probe
	window       window
	relays       map[uint64]relay
	// urgent holds news about states, routine that of new incarnations only.
	urgent, routine updateQueue
	counters        Counters

	sequence uint64
	rounds   uint64
	version  uint64
	lastTick time.Time
	// lastReceived is when the last message of any member arrived.
	lastReceived time.Time
	nextPing     time.Time
	nextAnnounce time.Time
	sweepAt      time.Time
}

// entry is a member and what the table needs to know about it.
type entry struct {
	Member
	inRegister        bool
	registeredAddress netip.AddrPort
	// deadIndex is the index in the list of dead members, or -1.
	deadIndex int
	// generation identifies the newest item of the queue of news.
	generation uint64
	// deadline ends the suspicion; own is set when this node's probes failed.
	deadline       time.Time
	ownProbeFailed bool
	died           time.Time
	// platformState and hinted are the last hint and the incarnation it was about.
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

// SetRegister replaces the members by those of the register. Members that are
// not in it stay until they are dead. States, incarnations and times of ms are
// not used.
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
	// A member that spoke before it was listed is reached where it spoke from.
	spoke := e.Incarnation > 0 && !e.registeredAddress.IsValid()
	e.registeredAddress = m.Address
	if !spoke {
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

// setAddress gives a member another address.
func (t *Table) setAddress(e *entry, a netip.AddrPort) {
	if t.byAddress[e.Address] == e {
		delete(t.byAddress, e.Address)
	}
	e.Address = a
	if other, taken := t.byAddress[a]; !taken || other.State == Dead {
		t.byAddress[a] = e
	}
}

// Members returns all members including the node itself, ordered by name.
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

// Version changes whenever the state of a member does.
func (t *Table) Version() uint64 { return t.version }

// Counters returns the counters of the table.
func (t *Table) Counters() Counters { return t.counters }

// Isolated reports whether most of the last probes failed. Such a node is more
// likely cut off itself than the others are dead, so it declares nobody dead
// for a minute.
func (t *Table) Isolated() bool { return t.window.isolated() }

// Resume tells the table that the process was paused. Acknowledgements of the
// time before may be lost, so the probe is dropped and suspicions start again.
func (t *Table) Resume(now time.Time) {
	t.probe = nil
	t.window = window{}
	for _, e := range t.suspects {
		e.deadline = now.Add(t.suspicionTimeoutFor(e.ownProbeFailed))
	}
}

// Leave marks the node as leaving and returns the announcements.
func (t *Table) Leave(rng *rand.Rand) []Envelope {
	t.init()
	if t.self.State != Leaving {
		t.self.Incarnation++
		t.self.State = Leaving
		t.recordChange(t.self)
	}
	return t.Announce(rng, announceFanOut)
}

// Tick returns the messages that are due. It is called about ten times a
// second; a longer gap than 500 ms counts as a pause.
func (t *Table) Tick(now time.Time, rng *rand.Rand) []Envelope {
	t.init()
	// The monotonic clock stands still while a VM is suspended.
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

// Handle takes a message of another node and returns the answers.
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

// recordSender notes that the sender of a message lives. It may return nil.
func (t *Table) recordSender(now time.Time, m Message) *entry {
	t.apply(now, Update{Name: m.From, Incarnation: m.Incarnation, State: Alive, Address: m.Source})
	e := t.members[m.From]
	if e != nil {
		e.LastHeard = now
	}
	return e
}

// apply takes news about a member.
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

// addUnregistered adds a member that the register does not hold. Dead members are not
// added, so that they are forgotten in the end.
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

// retirePreviousOwner lets the old name of an address die when a newer node uses it.
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

// refute answers news about the node itself that are not true.
func (t *Table) refute(u Update) {
	if !u.supersedes(t.self.Incarnation, t.self.State) {
		return
	}
	if u.Address.IsValid() && u.Address != t.self.Address && u.Incarnation > t.self.Incarnation {
		// Another node uses this name. Raising the incarnation would make both
		// nodes raise theirs for ever.
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

func (t *Table) recordChange(e *entry) {
	t.version++
	t.urgent.push(e)
}

// setState changes the lists that depend on the state. own tells that this
// node's probes failed.
func (t *Table) setState(now time.Time, e *entry, s State, own bool) {
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
		e.ownProbeFailed = own
		e.deadline = now.Add(t.suspicionTimeoutFor(own))
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

// sweep forgets members outside the register that died long ago.
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

// ApplyPlatformList takes the platform's list of VMs; a VM that is not in it is gone. The
// list lags, so it never revives a member. A list that misses more than half
// of the register is not believed.
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
		h, ok := list[e.Name]
		if !ok {
			h = PlatformGone
		}
		if e != t.self {
			t.applyPlatformState(now, e, h)
		}
	}
}

func (t *Table) applyPlatformState(now time.Time, e *entry, h PlatformState) {
	if h == e.platformState {
		return
	}
	e.platformState, e.platformIncarnation = h, e.Incarnation
	t.version++
	if h != PlatformGone || e.State == Dead || now.Sub(e.LastHeard) < recentlyHeardLimit {
		return
	}
	t.setState(now, e, Dead, false)
	t.recordChange(e)
}

// logSize is the natural logarithm of the number of members, rounded up. The
// number of rounds that news needs grows with it.
func (t *Table) logSize() int { return int(math.Ceil(math.Log(float64(len(t.all) + 1)))) }
