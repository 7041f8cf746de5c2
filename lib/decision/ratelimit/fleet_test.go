package ratelimit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiarack.example/lib/wire"
)

const (
	// window is that of the deployment's settings.
	window = 5 * time.Second
	// maxLag is the longest time in which a VM learns of a change of the list or of the
	// configuration.
	maxLag = 2500 * time.Millisecond
	// lossRate is the share of datagrams that are lost.
	lossRate = 0.002
	// datagramHeader is the size of the headers of a datagram in bytes.
	datagramHeader = 28
)

// arrival is a request in the fleet of the tests.
type arrival struct {
	organisation string
	at           time.Time
	decidedAt    time.Time
	admitted     bool
	retryAfter   time.Duration
	// excluded is set for requests at VMs that are cut off or suspended, which count for
	// the bound only.
	excluded bool
}

// event is an action at a time. Events at the same time keep their order.
type event struct {
	at    time.Time
	order int
	act   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// protections are the rules that a test may turn off.
type protections struct {
	startsFull, noExpiry, grantsAlways, noSettling, noMajority bool
}

// vm is a VM with both sides of the limiter.
type vm struct {
	address        netip.Addr
	dataCentre     int
	down           bool
	suspendedUntil time.Time
	// cutAt is when the VM was cut off from all others; zero if it is not.
	cutAt      time.Time
	limit      Limit
	name       string
	membership *Membership
	entry      *Entry[*arrival]
	ledger     *Ledger
	ticking    bool
	sent, got  int
	bytes      int
}

// fleet is a set of VMs and a network between them that loses and delays datagrams.
type fleet struct {
	now     time.Time
	rng     *rand.Rand
	off     protections
	queue   events
	order   int
	vms     []*vm
	list    []netip.Addr
	byAddr  map[netip.Addr]*vm
	history []*arrival
	// lag returns the time after which a VM learns of a change of the list.
	lag func(v *vm) time.Duration
}

func newFleet(seed uint64, n int, limit Limit, off protections) *fleet {
	f := &fleet{now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), off: off, byAddr: make(map[netip.Addr]*vm), list: addresses(n)}
	f.lag = func(*vm) time.Duration { return time.Duration(f.rng.Int64N(int64(maxLag))) }
	slices.SortFunc(f.list, netip.Addr.Compare)
	for i, a := range addresses(n) {
		v := &vm{address: a, dataCentre: i % 4, limit: limit, name: "a"}
		f.vms, f.byAddr[a] = append(f.vms, v), v
		f.boot(v)
	}
	return f
}

// boot starts the process of a VM, which knows nothing of an earlier one.
func (f *fleet) boot(v *vm) {
	v.down, v.ticking = false, false
	v.membership = NewMembership(v.address)
	if f.off.noSettling {
		v.membership.settle = 0
	}
	first := f.now
	if f.off.startsFull {
		first = first.Add(-time.Hour)
	}
	v.membership.Update(first, f.list)
	v.entry = &Entry[*arrival]{Self: v.address, Shares: fieldShares, Membership: v.membership, FirstNonce: f.rng.Uint64()}
	if f.off.noExpiry {
		v.entry.validity = time.Hour
	}
	v.ledger = &Ledger{Shares: fieldShares, Membership: v.membership}
	if f.off.grantsAlways {
		v.ledger.Membership = NewMembership(v.address)
		v.ledger.Membership.Update(first, []netip.Addr{v.address})
	}
}

func (f *fleet) after(d time.Duration, act func()) {
	f.order++
	heap.Push(&f.queue, event{f.now.Add(d), f.order, act})
}

// run handles the events up to a time after the epoch.
func (f *fleet) run(until time.Duration) {
	for len(f.queue) > 0 && !f.queue[0].at.After(epoch.Add(until)) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.act()
	}
	f.now = epoch.Add(until)
}

// at calls act for a VM now, or when it is no longer suspended.
func (f *fleet) at(v *vm, act func()) {
	switch process := v.entry; {
	case v.down:
	case v.suspendedUntil.After(f.now):
		f.after(v.suspendedUntil.Sub(f.now), func() {
			if v.entry == process {
				f.at(v, act)
			}
		})
	default:
		act()
	}
}

// fresh reports whether a VM's list is recent.
func (f *fleet) fresh(v *vm) bool {
	return f.off.noMajority || v.cutAt.IsZero() || f.now.Sub(v.cutAt) < FreshList
}

// request lets a request of an organisation arrive at a VM. The empty name is that of
// the VM's configuration.
func (f *fleet) request(v *vm, organisation string, l Limit) {
	if organisation == "" {
		organisation, l = v.name, v.limit
	}
	a := &arrival{organisation: organisation, at: f.now, excluded: v.suspendedUntil.After(f.now) || !v.cutAt.IsZero()}
	f.at(v, func() {
		f.history = append(f.history, a)
		out, _ := v.entry.Arrive(f.now, f.fresh(v), organisation, l, a)
		f.apply(v, out)
	})
}

// apply records the decisions and sends the question.
func (f *fleet) apply(v *vm, out Outcome[*arrival]) {
	for {
		for _, a := range out.Admitted {
			a.Request.admitted, a.Request.decidedAt = true, f.now
		}
		for _, r := range out.Refused {
			r.Request.decidedAt, r.Request.retryAfter = f.now, r.RetryAfter
		}
		q := out.Question
		if q == nil {
			break
		}
		if q.Ledger != v.address {
			f.ask(v, *q)
			break
		}
		_, out = v.entry.Reply(f.now, f.fresh(v), v.address, q.Nonce, v.ledger.Ask(f.now, v.address, q.Organisation, q.Limit, q.Wanted))
	}
	if v.entry.Waiting() && !v.ticking {
		v.ticking = true
		f.tick(v)
	}
}

func (f *fleet) tick(v *vm) {
	process := v.entry
	f.after(5*time.Millisecond, func() {
		f.at(v, func() {
			if v.entry != process {
				return
			}
			v.ticking = v.entry.Waiting()
			for _, out := range v.entry.Tick(f.now, f.fresh(v)) {
				f.apply(v, out)
			}
			if v.ticking {
				f.tick(v)
			}
		})
	})
}

// ask sends a question from a VM and the reply back.
func (f *fleet) ask(v *vm, q Question) {
	to, process := f.byAddr[q.Ledger], v.entry
	f.send(v, to, &wire.Notice{CreditRequest: &wire.CreditRequest{Nonce: q.Nonce, Organisation: []byte(q.Organisation),
		Rate: q.Limit.Rate, Burst: q.Limit.Burst, ConfigVersion: q.Limit.Version, Wanted: uint32(q.Wanted)}}, func() {
		g := to.ledger.Ask(f.now, v.address, q.Organisation, q.Limit, q.Wanted)
		f.send(to, v, &wire.Notice{CreditReply: &wire.CreditReply{Nonce: q.Nonce, Granted: uint32(g.Credits),
			RetryAfter: int64(g.RetryAfter), NotLedger: g.NotLedger}}, func() {
			if v.entry == process {
				_, out := v.entry.Reply(f.now, f.fresh(v), to.address, q.Nonce, g)
				f.apply(v, out)
			}
		})
	})
}

// send delivers a datagram unless it is lost.
func (f *fleet) send(from, to *vm, n *wire.Notice, receive func()) {
	n.Incarnation = math.MaxUint64
	from.sent++
	from.bytes += proto.Size(n) + datagramHeader
	delay := 200 * time.Microsecond
	if from.dataCentre != to.dataCentre {
		delay = 1400 * time.Microsecond
	}
	if f.rng.Float64() < lossRate {
		return
	}
	f.after(delay+time.Duration(f.rng.Int64N(int64(delay))), func() {
		if from.cutAt.IsZero() && to.cutAt.IsZero() {
			to.got++
			f.at(to, receive)
		}
	})
}

// publish replaces the list of VMs. Each VM learns of it after its lag.
func (f *fleet) publish(list []netip.Addr) {
	f.list = list
	for _, v := range f.vms {
		process := v.entry
		f.after(f.lag(v), func() {
			if v.cutAt.IsZero() && v.entry == process {
				f.at(v, func() { v.membership.Update(f.now, f.list) })
			}
		})
	}
}

// configure changes the limit and the name of the organisation. Each VM learns of it
// after a random time.
func (f *fleet) configure(name string, l Limit) {
	for _, v := range f.vms {
		f.after(time.Duration(f.rng.Int64N(int64(maxLag))), func() { v.name, v.limit = name, l })
	}
}

// ledgerVMs returns the VMs that are ledgers of the organisation by the published list.
func (f *fleet) ledgerVMs() []*vm {
	var out []*vm
	for _, a := range Ledgers("a", f.list) {
		out = append(out, f.byAddr[a])
	}
	return out
}

// restart ends the process of a VM and starts it again after d.
func (f *fleet) restart(v *vm, d time.Duration) {
	v.down = true
	f.after(d, func() { f.boot(v) })
}

// remove takes VMs off the list, as the platform does with those that stop.
func (f *fleet) remove(vms ...*vm) {
	list := slices.Clone(f.list)
	for _, v := range vms {
		list = slices.DeleteFunc(list, func(a netip.Addr) bool { return a == v.address })
	}
	f.publish(list)
}
