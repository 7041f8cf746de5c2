package member

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// MaxUpdateBytes bounds the updates of a message, as Cost counts them. It
	// leaves room for the header and for leases in a datagram of 1,200 bytes.
	MaxUpdateBytes = 700
	// updateOverhead is the encoded size of an update without its name.
	updateOverhead = 48
	// announceInterval is the time between two announcements of a node that has
	// news. With the ping and its acknowledgement a node sends four messages a
	// second, which bounds its traffic whatever happens.
	announceInterval = 500 * time.Millisecond
	// backgroundUpdates is the number of other members whose state travels with each
	// ping, so that every difference between two tables ends.
	backgroundUpdates = 4
	// extraSends is added to the logarithm of the number of members. A node
	// misses news that every node sends m times with probability exp(-m).
	extraSends = 3
	// routineSends is the number of times that a new incarnation of a member that
	// was alive before is sent. Nobody acts on it, and the background exchange
	// brings it to those who miss it.
	routineSends = 4
	// announceFanOut is the number of members that a start or a stop is announced to.
	announceFanOut = 8
)

// MaxEncodedSize is an upper bound of the encoded size of an update, in bytes.
func (u Update) MaxEncodedSize() int { return len(u.Name) + updateOverhead }

// queuedUpdate is news about a member that was sent some times.
type queuedUpdate struct {
	entry      *entry
	generation uint64
}

// updateQueue holds the updates to send, by the number of times that they were sent.
type updateQueue struct {
	buckets [][]queuedUpdate
	count   int
}

// push makes the state of a member the newest news about it.
func (n *updateQueue) push(e *entry) {
	e.generation++
	n.insert(0, queuedUpdate{entry: e, generation: e.generation})
}

func (n *updateQueue) insert(sends int, it queuedUpdate) {
	for len(n.buckets) <= sends {
		n.buckets = append(n.buckets, nil)
	}
	n.buckets[sends] = append(n.buckets[sends], it)
	n.count++
}

func (n *updateQueue) hasPending() bool { return n.count > 0 }

// take removes items that were sent least and passes them to use until it
// reports false. Items that were used fewer than limit times stay.
func (n *updateQueue) take(limit int, use func(*entry) bool) {
	var used []queuedUpdate
	var sends []int
	for s := 0; s < len(n.buckets); s++ {
		for len(n.buckets[s]) > 0 {
			it := n.buckets[s][0]
			if it.entry.generation == it.generation && !use(it.entry) {
				n.requeue(used, sends, limit)
				return
			}
			n.buckets[s] = n.buckets[s][1:]
			n.count--
			if it.entry.generation == it.generation {
				used, sends = append(used, it), append(sends, s+1)
			}
		}
	}
	n.requeue(used, sends, limit)
}

func (n *updateQueue) requeue(used []queuedUpdate, sends []int, limit int) {
	for i, it := range used {
		if sends[i] < limit {
			n.insert(sends[i], it)
		}
	}
}

// newMessage completes a message to a member and adds updates. e may be nil.
func (t *Table) newMessage(to netip.AddrPort, e *entry, m Message) Envelope {
	m.From, m.Incarnation = t.Self.Name, t.self.Incarnation
	room := MaxUpdateBytes
	add := func(x *entry) bool {
		u := x.update()
		if u.MaxEncodedSize() > room {
			return false
		}
		room -= u.MaxEncodedSize()
		m.Updates = append(m.Updates, u)
		return true
	}
	if t.self.State == Leaving {
		add(t.self)
	}
	if e != nil && e.State != Alive {
		// A member learns from everyone what it has to refute.
		add(e)
	}
	first := len(m.Updates)
	addNews := func(x *entry) bool {
		for _, u := range m.Updates[:first] {
			if u.Name == x.Name {
				return true
			}
		}
		return add(x)
	}
	t.urgent.take(t.logSize()+extraSends, addNews)
	t.routine.take(routineSends, addNews)
	if m.Kind == Ping {
		t.addBackground(add)
	}
	return Envelope{To: to, Message: m}
}

// addBackground adds the states of the next members in turn.
func (t *Table) addBackground(add func(*entry) bool) {
	for range min(backgroundUpdates, len(t.all)) {
		t.orders.backgroundIndex = (t.orders.backgroundIndex + 1) % len(t.all)
		e := t.all[t.orders.backgroundIndex]
		if e.Incarnation == 0 && e.State == Alive {
			continue
		}
		if !add(e) {
			return
		}
	}
}

// Announce returns announcements of the newest updates to n random members.
func (t *Table) Announce(rng *rand.Rand, n int) []Envelope {
	t.init()
	var out []Envelope
	for _, e := range t.sample(rng, n, nil) {
		out = append(out, t.newMessage(e.Address, e, Message{Kind: Announce}))
	}
	return out
}

// sample returns up to n random members that are neither dead, the node itself
// nor except.
func (t *Table) sample(rng *rand.Rand, n int, except *entry) []*entry {
	out := make([]*entry, 0, n)
	// In a table whose members are mostly dead a few tries may find none.
	for tries := 0; tries < 8*n && len(out) < n; tries++ {
		e := t.all[rng.IntN(len(t.all))]
		if e == t.self || e == except || e.State == Dead || contains(out, e) {
			continue
		}
		out = append(out, e)
	}
	return out
}

func contains(es []*entry, e *entry) bool {
	for _, x := range es {
		if x == e {
			return true
		}
	}
	return false
}
