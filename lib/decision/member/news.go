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
	// newsInterval is the time between two announcements of a node that has
	// news. With the ping and its acknowledgement a node sends four messages a
	// second, which bounds its traffic whatever happens.
	newsInterval = 500 * time.Millisecond
	// background is the number of other members whose state travels with each
	// ping, so that every difference between two tables ends.
	background = 4
	// extraSends is added to the logarithm of the number of members. A node
	// misses news that every node sends m times with probability exp(-m).
	extraSends = 3
	// routineSends is the number of times that a new incarnation of a member that
	// was alive before is sent. Nobody acts on it, and the background exchange
	// brings it to those who miss it.
	routineSends = 4
	// announceTo is the number of members that a start or a stop is announced to.
	announceTo = 8
)

// Cost is an upper bound of the encoded size of an update, in bytes.
func (u Update) Cost() int { return len(u.Name) + updateOverhead }

// item is news about a member that was sent some times.
type item struct {
	entry *entry
	fresh uint64
}

// news holds the updates to send, by the number of times that they were sent.
type news struct {
	buckets [][]item
	count   int
}

// push makes the state of a member the newest news about it.
func (n *news) push(e *entry) {
	e.fresh++
	n.put(0, item{entry: e, fresh: e.fresh})
}

func (n *news) put(sends int, it item) {
	for len(n.buckets) <= sends {
		n.buckets = append(n.buckets, nil)
	}
	n.buckets[sends] = append(n.buckets[sends], it)
	n.count++
}

func (n *news) waiting() bool { return n.count > 0 }

// take removes items that were sent least and passes them to use until it
// reports false. Items that were used fewer than limit times stay.
func (n *news) take(limit int, use func(*entry) bool) {
	var used []item
	var sends []int
	for s := 0; s < len(n.buckets); s++ {
		for len(n.buckets[s]) > 0 {
			it := n.buckets[s][0]
			if it.entry.fresh == it.fresh && !use(it.entry) {
				n.restore(used, sends, limit)
				return
			}
			n.buckets[s] = n.buckets[s][1:]
			n.count--
			if it.entry.fresh == it.fresh {
				used, sends = append(used, it), append(sends, s+1)
			}
		}
	}
	n.restore(used, sends, limit)
}

func (n *news) restore(used []item, sends []int, limit int) {
	for i, it := range used {
		if sends[i] < limit {
			n.put(sends[i], it)
		}
	}
}

// message completes a message to a member and adds updates. e may be nil.
func (t *Table) message(to netip.AddrPort, e *entry, m Message) Action {
	m.From, m.Incarnation = t.Self.Name, t.self.Incarnation
	room := MaxUpdateBytes
	add := func(x *entry) bool {
		u := x.update()
		if u.Cost() > room {
			return false
		}
		room -= u.Cost()
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
	return Action{To: to, Message: m}
}

// addBackground adds the states of the next members in turn.
func (t *Table) addBackground(add func(*entry) bool) {
	for range min(background, len(t.all)) {
		t.orders.turn = (t.orders.turn + 1) % len(t.all)
		e := t.all[t.orders.turn]
		if e.Incarnation == 0 && e.State == Alive {
			continue
		}
		if !add(e) {
			return
		}
	}
}

// Announce returns announcements of the newest updates to n random members.
func (t *Table) Announce(rng *rand.Rand, n int) []Action {
	t.init()
	var out []Action
	for _, e := range t.sample(rng, n, nil) {
		out = append(out, t.message(e.Address, e, Message{Kind: Announce}))
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
