package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// epoch is the start of the virtual clock.
var epoch = time.Unix(1_700_000_000, 0)

const simTick = 100 * time.Millisecond

// event is the arrival of a message, or a tick if the message has no kind.
type event struct {
	at      time.Time
	serial  int
	to      int
	message Message
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].serial < q[j].serial
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// sim runs the tables of a fleet on a virtual clock and a simulated network.
type sim struct {
	now      time.Time
	rng      *rand.Rand
	register []Member
	tables   []*Table
	down     []bool
	index    map[netip.AddrPort]int
	queue    events
	serial   int
	latency  func(from, to int) time.Duration
	cut      func(from, to int) bool
	messages []int
	bytes    []int
	largest  int
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// newSim returns a simulation of n nodes in data centres of equal size.
func newSim(seed uint64, n, dataCentres int) *sim {
	s := &sim{now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), index: make(map[netip.AddrPort]int),
		down: make([]bool, n), messages: make([]int, n), bytes: make([]int, n),
		latency: func(int, int) time.Duration { return time.Millisecond },
		cut:     func(int, int) bool { return false }}
	for i := range n {
		s.register = append(s.register, Member{Name: fmt.Sprintf("vm-%04d", i), Region: fmt.Sprint(i % dataCentres / 2),
			DataCentre: fmt.Sprint(i % dataCentres), Address: address(i)})
		s.index[address(i)] = i
		s.tables = append(s.tables, nil)
	}
	for i := range n {
		s.start(i)
		s.learnIncarnations(i)
		s.schedule(event{at: s.now.Add(time.Duration(s.rng.Int64N(int64(pingInterval)))), to: i})
	}
	return s
}

// start gives node i a new table, as after a restart.
func (s *sim) start(i int) {
	self := s.register[i]
	self.Incarnation = uint64(s.now.UnixNano())
	s.tables[i] = &Table{Self: self}
	s.tables[i].SetRegister(s.now, s.register)
	s.down[i] = false
	s.send(i, s.tables[i].Announce(s.rng, announceFanOut))
}

// learnIncarnations sets the incarnations of all members in the table of node i
// and clears its update queues, as in a fleet that has run for some time.
func (s *sim) learnIncarnations(i int) {
	t := s.tables[i]
	for _, e := range t.all {
		e.Incarnation = max(e.Incarnation, uint64(epoch.UnixNano()))
	}
	t.urgent, t.routine = updateQueue{}, updateQueue{}
}

func (s *sim) schedule(e event) {
	s.serial++
	e.serial = s.serial
	heap.Push(&s.queue, e)
}

// headerBytes is the size of a datagram without updates, including the IP and
// UDP headers.
const headerBytes = 160

func (s *sim) send(from int, as []Envelope) {
	for _, a := range as {
		to, ok := s.index[a.To]
		size := headerBytes
		for _, u := range a.Message.Updates {
			size += u.MaxEncodedSize()
		}
		s.largest = max(s.largest, size)
		s.messages[from]++
		s.bytes[from] += size
		if !ok || s.cut(from, to) {
			continue
		}
		m := a.Message
		m.Source = address(from)
		s.schedule(event{at: s.now.Add(s.latency(from, to)), to: to, message: m})
	}
}

// run advances the clock by d or until done returns true. It calls done every
// simTick and returns the time that passed.
func (s *sim) run(d time.Duration, done func() bool) time.Duration {
	start, next := s.now, s.now
	for len(s.queue) > 0 && s.now.Sub(start) < d {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		if e.message.Kind == 0 {
			s.schedule(event{at: s.now.Add(simTick), to: e.to})
		}
		if !s.down[e.to] {
			if e.message.Kind == 0 {
				s.send(e.to, s.tables[e.to].Tick(s.now, s.rng))
			} else {
				s.send(e.to, s.tables[e.to].Handle(s.now, e.message))
			}
		}
		if done != nil && !s.now.Before(next) {
			if done() {
				break
			}
			next = s.now.Add(simTick)
		}
	}
	return s.now.Sub(start)
}

// state returns the state of member i in the table of node at.
func (s *sim) state(at, i int) State { return s.tables[at].members[s.register[i].Name].State }

// countViews returns the number of running nodes, other than i, whose table has
// member i in state want.
func (s *sim) countViews(i int, want State) int {
	n := 0
	for at := range s.tables {
		if at != i && !s.down[at] && s.state(at, i) == want {
			n++
		}
	}
	return n
}

// running returns the number of nodes that are not down.
func (s *sim) running() int {
	n := 0
	for _, d := range s.down {
		if !d {
			n++
		}
	}
	return n
}

// settled reports whether all running nodes have the running ones as alive and
// the others as dead.
func (s *sim) settled() bool {
	for i := range s.tables {
		want := Alive
		if s.down[i] {
			want = Dead
		}
		seen := s.running()
		if !s.down[i] {
			seen--
		}
		if s.countViews(i, want) != seen {
			return false
		}
	}
	return true
}
