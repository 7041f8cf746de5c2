package member

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// MaxUpdateBytes bounds the sum of MaxEncodedSize over the updates of a
	// message. It leaves room for the header and for leases in a datagram of
	// 1,200 bytes.
	MaxUpdateBytes = 700
	// updateOverhead is an upper bound of the encoded size of an update without its
	// name, in bytes.
	updateOverhead = 48
	// announceInterval is the time between two announcements of a node that has
	// updates to send. Together with a ping and an acknowledgement, a node sends
	// four messages a second, which bounds its traffic.
	announceInterval = 500 * time.Millisecond
	// backgroundUpdates is the number of members whose state is added to each
	// ping, in turn, so that all tables converge even if updates were lost.
	backgroundUpdates = 4
	// extraSends is added to the logarithm of the number of members to get the
	// number of sends of an urgent update. If every node sends an update m times,
	// a given node misses it with probability exp(-m).
	extraSends = 3
	// routineSends is the number of sends of a new incarnation of a member that
	// was already alive. No node acts on such an update, and nodes that miss it
	// get it from the background updates.
	routineSends = 4
	// announceFanOut is the number of members to which a start or a stop is
	// announced.
	announceFanOut = 8
)

// MaxEncodedSize returns an upper bound of the encoded size of u, in bytes.
func (u Update) MaxEncodedSize() int { return len(u.Name) + updateOverhead }

// queuedUpdate refers to the member whose state is sent. It is obsolete when the
// entry has a newer generation.
type queuedUpdate struct {
	entry      *entry
	generation uint64
}

// updateQueue holds the updates to send. Each bucket holds the updates that were
// sent as many times as its index says. count includes obsolete updates.
type updateQueue struct {
	buckets [][]queuedUpdate
	count   int
}

// push queues the present state of a member and makes its earlier updates
// obsolete.
func (q *updateQueue) push(e *entry) {
	e.generation++
	q.insert(0, queuedUpdate{entry: e, generation: e.generation})
}

func (q *updateQueue) insert(sends int, item queuedUpdate) {
	for len(q.buckets) <= sends {
		q.buckets = append(q.buckets, nil)
	}
	q.buckets[sends] = append(q.buckets[sends], item)
	q.count++
}

func (q *updateQueue) hasPending() bool { return q.count > 0 }

// take passes queued updates to use until use returns false, those with the
// fewest sends first. It drops obsolete updates and queues the used ones again
// until they were sent limit times.
func (q *updateQueue) take(limit int, use func(*entry) bool) {
	var used []queuedUpdate
	var sends []int
	for s := 0; s < len(q.buckets); s++ {
		for len(q.buckets[s]) > 0 {
			item := q.buckets[s][0]
			if item.entry.generation == item.generation && !use(item.entry) {
				q.requeue(used, sends, limit)
				return
			}
			q.buckets[s] = q.buckets[s][1:]
			q.count--
			if item.entry.generation == item.generation {
				used, sends = append(used, item), append(sends, s+1)
			}
		}
	}
	q.requeue(used, sends, limit)
}

func (q *updateQueue) requeue(used []queuedUpdate, sends []int, limit int) {
	for i, item := range used {
		if sends[i] < limit {
			q.insert(sends[i], item)
		}
	}
}

// newMessage returns m with the sender and updates filled in. e is the entry of
// the receiver, or nil if the table has none.
func (t *Table) newMessage(to netip.AddrPort, e *entry, m Message) Envelope {
	m.From, m.Incarnation = t.Self.Name, t.self.Incarnation
	remaining := MaxUpdateBytes
	add := func(x *entry) bool {
		u := x.update()
		if u.MaxEncodedSize() > remaining {
			return false
		}
		remaining -= u.MaxEncodedSize()
		m.Updates = append(m.Updates, u)
		return true
	}
	if t.self.State == Leaving {
		add(t.self)
	}
	if e != nil && e.State != Alive {
		// Every message to a member carries its state as seen by this node, so that
		// the member can refute it.
		add(e)
	}
	direct := len(m.Updates)
	addQueued := func(x *entry) bool {
		for _, u := range m.Updates[:direct] {
			if u.Name == x.Name {
				return true
			}
		}
		return add(x)
	}
	t.urgent.take(t.logSize()+extraSends, addQueued)
	t.routine.take(routineSends, addQueued)
	if m.Kind == Ping {
		t.addBackground(add)
	}
	return Envelope{To: to, Message: m}
}

// addBackground adds the states of the next backgroundUpdates members in the
// order of t.all. It leaves out members that no message or update has mentioned.
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

// sample returns up to n random members other than except and the node itself
// that are not dead.
func (t *Table) sample(rng *rand.Rand, n int, except *entry) []*entry {
	out := make([]*entry, 0, n)
	// The number of tries is bounded, as most members may be dead. The result may
	// then be smaller than n.
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
