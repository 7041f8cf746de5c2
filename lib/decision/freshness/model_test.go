package freshness

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// maxNodes and maxMessages are the dimensions of a world.
	maxNodes    = 3
	maxMessages = 3
	// unit is the step of the clocks.
	unit = time.Second
	// never is the time of something that has not happened.
	never = -1 << 30
)

// omission is an age that a model leaves out.
type omission string

const (
	omitNothing     omission = "nothing"
	omitOwnRead     omission = "duration of the own read"
	omitStatedAge   omission = "age of the announcer's proof"
	omitDelivery    omission = "delay of the announcement"
	omitReply       omission = "delay of the reply"
	omitSinceProof  omission = "time since the proof"
	omitIncarnation omission = "restart of the announcer"
)

// micros is a reading of a node's clock, or an age, in microseconds. Small integers make
// worlds comparable and small.
type micros int32

func (m micros) time() time.Time { return at(time.Duration(m) * time.Microsecond) }

func fromTime(t time.Time) micros {
	if t.IsZero() {
		return never
	}
	return micros(t.Sub(at(0)).Truncate(time.Microsecond) / time.Microsecond)
}

// kind is the kind of a message.
type kind uint8

const (
	kindNone kind = iota
	kindAnnouncement
	kindRequest
	kindReply
)

// letter is a message that has not been delivered.
type letter struct {
	kind                  kind
	from, to, incarnation uint8
	version, nonce        uint8
	clock, age            micros
}

// bound is a ClockBound.
type bound struct {
	incarnation    uint8
	askedAt, clock micros
}

// member is the state of one node.
type member struct {
	version, incarnation uint8
	suspended            bool
	// offset is the difference of its clock to the time of the world.
	offset   micros
	provedAt micros
	// began is the start of a running read, and beganVersion the version in the store
	// at that time.
	began        micros
	beganVersion uint8
	bounds       [maxNodes]bound
	// askedAt and nonce are those of the open question to each node.
	askedAt [maxNodes]micros
	nonce   [maxNodes]uint8
}

// world is the state of all nodes, the store and the network.
type world struct {
	now          micros
	storeVersion uint8
	revokedAt    micros
	members      [maxNodes]member
	letters      [maxMessages]letter
	// cut holds a bit for each node that reaches neither the store nor others.
	cut uint8
	// reads, announcements, questions, suspensions and restarts count the steps of
	// each kind.
	reads, announcements, questions, suspensions, restarts uint8
}

// model is a fleet that is explored.
type model struct {
	nodes int
	// end is the last time of the clocks, and bound the limit of the decision.
	end   int
	bound time.Duration
	// reads, announcements, questions, suspensions, cuts and restarts bound the steps
	// of each kind.
	reads, announcements, questions, suspensions, cuts, restarts uint8
	omit                                                         omission
}

// start returns the first world: all nodes know version 1, and the first one has just
// read it. The clocks differ.
func (m *model) start() world {
	w := world{storeVersion: 1, revokedAt: never}
	for i := range w.members {
		w.members[i] = member{version: 1, incarnation: 1, offset: micros(i) * 10_000_000}
		w.members[i].clear()
	}
	w.members[0].provedAt = 0
	return w
}

// clear resets what a process knows in memory, apart from the version.
func (n *member) clear() {
	n.provedAt, n.began, n.beganVersion = never, never, 0
	n.bounds = [maxNodes]bound{}
	for i := range n.bounds {
		n.bounds[i].askedAt, n.askedAt[i], n.nonce[i] = never, never, 0
	}
}

// clock returns the reading of a node's clock.
func (w *world) clock(i int) micros { return w.now + w.members[i].offset }

// proof returns the proof of a node.
func (w *world) proof(i int) Proof {
	n := &w.members[i]
	p := Proof{Version: uint64(n.version)}
	if n.provedAt != never {
		p.ProvedAt = n.provedAt.time()
	}
	return p
}

// prove applies a proof as a node does: the version that it is for comes first.
func (w *world) prove(i int, p Proof) {
	n := &w.members[i]
	if p.Version > uint64(n.version) {
		n.version, n.provedAt = uint8(p.Version), never
	}
	if q := w.proof(i); p.Version == q.Version && p.Replaces(q) {
		n.provedAt = fromTime(p.ProvedAt)
	}
}

// takesRevoked reports whether a node takes a request that must not run any more: its
// key was taken away by version 2 more than the bound ago.
func (m *model) takesRevoked(w *world, i int) bool {
	if w.revokedAt == never || w.members[i].version != 1 || w.members[i].suspended {
		return false
	}
	if time.Duration(w.now-w.revokedAt)*time.Microsecond <= m.bound {
		return false
	}
	p, now := w.proof(i), w.clock(i).time()
	if m.omit == omitSinceProof && !p.ProvedAt.IsZero() {
		now = p.ProvedAt
	}
	return p.Fresh(now, m.bound)
}

// send adds a message to the network, and reports whether there was room.
func (w *world) send(l letter) bool {
	if w.letters[0].kind != kindNone {
		return false
	}
	w.letters[0] = l
	w.sortLetters()
	return true
}

// sortLetters gives worlds that differ only in the order of messages one form. Empty
// places come first.
func (w *world) sortLetters() {
	slices.SortFunc(w.letters[:], func(a, b letter) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to),
			cmp.Compare(a.clock, b.clock), cmp.Compare(a.age, b.age), cmp.Compare(a.version, b.version),
			cmp.Compare(a.nonce, b.nonce), cmp.Compare(a.incarnation, b.incarnation))
	})
}

// reaches reports whether a message can pass between two nodes.
func (w *world) reaches(i, j int) bool { return w.cut&(1<<i|1<<j) == 0 }

// statement returns what a node states about its proof.
func (m *model) statement(w *world, i int) micros {
	s := w.proof(i).Statement(w.clock(i).time())
	if s.Age < 0 {
		return never
	}
	return max(micros(s.Age/time.Microsecond), 1)
}

// label names a step. It is formatted only for the steps that are printed.
type label struct {
	format string
	args   [3]any
	count  int
}

// String implements fmt.Stringer.
func (l label) String() string { return fmt.Sprintf(l.format, l.args[:l.count]...) }

// step is one step of a world.
type step struct {
	label label
	next  world
}

// steps returns the worlds that follow w.
func (m *model) steps(w world) []step {
	var out []step
	add := func(next world, format string, args ...any) {
		l := label{format: format, count: len(args)}
		copy(l.args[:], args)
		out = append(out, step{label: l, next: next})
	}
	if int(w.now/1e6) < m.end {
		next := w
		next.now += micros(unit / time.Microsecond)
		add(next, "the clocks go on")
	}
	if w.storeVersion == 1 {
		next := w
		next.storeVersion, next.revokedAt = 2, w.now
		add(next, "the key is revoked")
	}
	for i := range m.nodes {
		if w.members[i].suspended {
			next := w
			next.members[i].suspended = false
			add(next, "%d goes on", i)
			continue
		}
		m.readSteps(w, i, add)
		m.sendSteps(w, i, add)
		m.faultSteps(w, i, add)
	}
	for k, l := range w.letters {
		if l.kind == kindNone || !w.reaches(int(l.from), int(l.to)) || w.members[l.to].suspended {
			continue
		}
		next := w
		next.letters[k] = letter{}
		next.sortLetters()
		if m.deliver(&next, l) {
			add(next, "%d receives %s of %d", l.to, l.kind, l.from)
		}
	}
	return out
}

// String implements fmt.Stringer.
func (k kind) String() string { return [...]string{"nothing", "announcement", "request", "reply"}[k] }

// readSteps adds the begin and the end of a read. A read returns a version that was in
// the store at some time in between.
func (m *model) readSteps(w world, i int, add func(world, string, ...any)) {
	if w.cut&(1<<i) != 0 {
		return
	}
	n := w.members[i]
	if n.began == never {
		if w.reads < m.reads {
			next := w
			next.reads++
			next.members[i].began, next.members[i].beganVersion = w.clock(i), w.storeVersion
			add(next, "%d begins a read", i)
		}
		return
	}
	for version := n.beganVersion; version <= w.storeVersion; version++ {
		next := w
		next.members[i].began, next.members[i].beganVersion = never, 0
		p := Proof{Version: uint64(version), ProvedAt: n.began.time()}
		if m.omit == omitOwnRead {
			p.ProvedAt = w.clock(i).time()
		}
		next.prove(i, p)
		add(next, "%d ends a read of version %d", i, version)
	}
}

// sendSteps adds announcements and questions.
func (m *model) sendSteps(w world, i int, add func(world, string, ...any)) {
	n := w.members[i]
	for j := range m.nodes {
		if i == j || !w.reaches(i, j) {
			continue
		}
		next := w
		next.announcements++
		if w.announcements < m.announcements && n.provedAt != never && next.send(letter{kind: kindAnnouncement,
			from: uint8(i), to: uint8(j), incarnation: n.incarnation, version: n.version, clock: w.clock(i), age: m.statement(&w, i)}) {
			add(next, "%d announces to %d", i, j)
		}
		next = w
		next.questions++
		next.members[i].askedAt[j], next.members[i].nonce[j] = w.clock(i), next.questions
		if w.questions < m.questions && next.send(letter{kind: kindRequest, from: uint8(i), to: uint8(j), nonce: next.questions}) {
			add(next, "%d asks %d", i, j)
		}
	}
}

// faultSteps adds suspension, restart and cut. A node that restarts knows nothing, and
// its clock shows a later time than before, as that of a new VM at the address may.
func (m *model) faultSteps(w world, i int, add func(world, string, ...any)) {
	if w.suspensions < m.suspensions {
		next := w
		next.suspensions++
		next.members[i].suspended = true
		add(next, "%d is suspended", i)
	}
	if w.restarts < m.restarts {
		next := w
		next.restarts++
		n := &next.members[i]
		n.clear()
		n.version, n.offset, n.incarnation = 0, n.offset+3_000_000, n.incarnation+1
		add(next, "%d restarts", i)
	}
	if w.cut == 0 && m.cuts > 0 {
		next := w
		next.cut |= 1 << i
		add(next, "%d is cut off", i)
	}
}

// deliver applies a message at its receiver. It returns false if a reply finds no room.
func (m *model) deliver(w *world, l letter) bool {
	i, from := int(l.to), int(l.from)
	n, now := &w.members[i], w.clock(i).time()
	if l.kind == kindRequest {
		return w.send(letter{kind: kindReply, from: l.to, to: l.from, incarnation: n.incarnation, version: n.version,
			nonce: l.nonce, clock: w.clock(i), age: m.statement(w, i)})
	}
	s := Statement{Version: uint64(l.version), Age: time.Duration(l.age) * time.Microsecond}
	if m.omit == omitStatedAge && s.Age > 0 {
		s.Age = 1
	}
	var clocks Clocks[int]
	if b := n.bounds[from]; b.askedAt != never {
		clocks.Ask(0, from, b.askedAt.time())
		clocks.Reply(now, 0, from, uint64(b.incarnation), time.Duration(b.clock)*time.Microsecond)
	}
	var p Proof
	var ok bool
	if l.kind == kindReply {
		p, ok = m.receiveReply(n, &clocks, now, l, s)
	} else {
		p, ok = m.receiveAnnouncement(n, &clocks, now, l, s)
	}
	if ok {
		w.prove(i, p)
	}
	return true
}

// receiveReply returns what a reply proves, and keeps its bound. A newer version comes
// with the reply, as it would with a snapshot.
func (m *model) receiveReply(n *member, clocks *Clocks[int], now time.Time, l letter, s Statement) (Proof, bool) {
	from := int(l.from)
	if n.askedAt[from] == never {
		return Proof{}, false
	}
	clocks.Ask(uint64(n.nonce[from]), from, n.askedAt[from].time())
	asked, ok := clocks.Reply(now, uint64(l.nonce), from, uint64(l.incarnation), time.Duration(l.clock)*time.Microsecond)
	if !ok {
		return Proof{}, false
	}
	b := clocks.exchanges[from].bound
	n.bounds[from] = bound{incarnation: uint8(b.Incarnation), askedAt: fromTime(b.AskedAt), clock: micros(b.Clock / time.Microsecond)}
	n.askedAt[from], n.nonce[from] = never, 0
	if m.omit == omitReply {
		asked = now
	}
	return s.Proof(asked)
}

// receiveAnnouncement returns what an announcement proves. One of another version
// proves nothing.
func (m *model) receiveAnnouncement(n *member, clocks *Clocks[int], now time.Time, l letter, s Statement) (Proof, bool) {
	if l.version != n.version {
		return Proof{}, false
	}
	incarnation := uint64(l.incarnation)
	switch m.omit {
	case omitDelivery:
		return s.Proof(now)
	case omitIncarnation:
		incarnation = uint64(n.bounds[l.from].incarnation)
	}
	return clocks.Announced(now, int(l.from), incarnation, time.Duration(l.clock)*time.Microsecond, s)
}
