package gossip

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiarack.example/lib/decision/floor"
	"cassiarack.example/lib/wire"
)

// leaseKey identifies a token of a service.
type leaseKey struct {
	service string
	token   int
}

// sent is the number of times that the newest lease of a token was sent. sequence
// identifies that lease.
type sent struct {
	sequence uint64
	count    int
}

// queued is a lease and the number of times that it was sent.
type queued struct {
	lease floor.Lease
	count int
}

// leaseQueue contains the leases to send, those sent the fewest times first.
type leaseQueue struct {
	leases []queued
	counts map[leaseKey]sent
}

// refresh replaces the leases with those that have not expired. The count of a lease
// starts at 0 when its sequence changes.
func (o *leaseQueue) refresh(ls []floor.Lease) {
	counts := make(map[leaseKey]sent, len(ls))
	o.leases = o.leases[:0]
	for _, l := range ls {
		k := leaseKey{l.Service, l.Token}
		c := o.counts[k]
		if c.sequence != l.Sequence {
			c = sent{sequence: l.Sequence}
		}
		counts[k] = c
		o.leases = append(o.leases, queued{lease: l, count: c.count})
	}
	o.counts = counts
	slices.SortStableFunc(o.leases, func(a, b queued) int { return cmp.Compare(a.count, b.count) })
}

// hasUnsent reports whether there is a lease that has not been sent.
func (o *leaseQueue) hasUnsent() bool { return len(o.leases) > 0 && o.leases[0].count == 0 }

// fill adds leases to a datagram until its encoded size reaches maxSize, in bytes. The
// added leases move to the end of the queue.
func (o *leaseQueue) fill(now time.Time, d *wire.Datagram, maxSize int) {
	size := proto.Size(d)
	n := 0
	for ; n < len(o.leases); n++ {
		w := toLease(now, o.leases[n].lease)
		// Each field needs at most two bytes for its tag and two for its length.
		size += proto.Size(w) + 4
		if size > maxSize {
			break
		}
		if w.GetRemaining() > 0 {
			d.Leases = append(d.Leases, w)
		}
		q := &o.leases[n]
		q.count++
		o.counts[leaseKey{q.lease.Service, q.lease.Token}] = sent{sequence: q.lease.Sequence, count: q.count}
	}
	o.leases = append(slices.Clone(o.leases[n:]), o.leases[:n]...)
}
