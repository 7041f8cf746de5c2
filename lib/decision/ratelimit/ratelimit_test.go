package ratelimit

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/golden"
)

// fieldShares are the settings of the deployment.
var fieldShares = Shares{Window: window, Over: 0.25, Slack: 20}

var epoch = time.Unix(1000, 0)

// addresses returns n addresses of VMs.
func addresses(n int) []netip.Addr {
	out := make([]netip.Addr, n)
	for i := range out {
		out[i] = netip.AddrFrom4([4]byte{10, byte(i % 4), byte(i >> 8), byte(i)})
	}
	return out
}

// TestLedgers guards against nodes that disagree on the ledgers of an organisation, VMs
// that get more than their part of the ledgers, and changes of the list that move
// ledgers that need not move.
func TestLedgers(t *testing.T) {
	is := is.New(t)
	vms := addresses(90)
	const organisations = 2000
	count := make(map[netip.Addr]int)
	moved := 0
	for i := range organisations {
		name := fmt.Sprintf("organisation %d", i)
		list := Ledgers(name, vms)
		is.Equal(len(list), ledgerCount)
		reversed := slices.Clone(vms)
		slices.Reverse(reversed)
		is.Equal(Ledgers(name, reversed), list)
		for _, a := range list {
			count[a]++
		}
		for _, a := range Ledgers(name, vms[1:]) {
			if !slices.Contains(list, a) {
				moved++
			}
		}
	}
	least, most := organisations, 0
	for _, a := range vms {
		least, most = min(least, count[a]), max(most, count[a])
	}
	is.Equal(moved, count[vms[0]])
	is.Equal(len(Ledgers("a", vms[:3])), 3)
	golden.Check(t, "ledgers", fmt.Sprintf("ledgers of %d organisations on 90 VMs: least %d, most %d, mean %d\n", organisations,
		least, most, organisations*ledgerCount/90))
}

// TestBucket guards against a bucket that starts full, one that keeps an old limit, and
// refusals that send all callers back at the same time.
func TestBucket(t *testing.T) {
	limit := Limit{Rate: 150, Burst: 150, Version: 1}
	b := NewBucket(fieldShares, limit, epoch)
	var out strings.Builder
	vms := addresses(3)
	ask := func(after time.Duration, asker netip.Addr, l Limit, wanted int) {
		g := b.Ask(epoch.Add(after), asker, l, wanted)
		fmt.Fprintf(&out, "%v: %v, version %d, wanted %d: granted %d, retry after %v\n", after, asker, l.Version, wanted, g.Credits, g.RetryAfter)
	}
	ask(0, vms[0], limit, 1)
	ask(0, vms[1], limit, 1)
	ask(0, vms[2], limit, 1)
	ask(10*time.Millisecond, vms[1], limit, 1)
	ask(100*time.Millisecond, vms[0], limit, 50)
	ask(100*time.Millisecond, vms[0], limit, 1)
	ask(5*time.Second, vms[0], limit, 50)
	ask(10*time.Second, vms[0], Limit{Rate: 15, Burst: 15, Version: 2}, 50)
	ask(10*time.Second, vms[0], limit, 50)
	ask(10500*time.Millisecond, vms[0], limit, 50)
	ask(20*time.Second, vms[0], Limit{Version: 3}, 0)
	ask(20*time.Second, vms[0], Limit{Version: 3}, 5)
	ask(20*time.Second, vms[0], Limit{Version: 3}, 5)
	golden.Check(t, "bucket", out.String())
}

// TestMembership guards against a node that grants as a new ledger while the nodes that
// have not seen the change still ask its predecessor.
func TestMembership(t *testing.T) {
	is := is.New(t)
	vms := addresses(21)
	list := Ledgers("a", vms)
	next := Ledgers("a", slices.DeleteFunc(slices.Clone(vms), func(a netip.Addr) bool { return a == list[0] }))[ledgerCount-1]
	m := NewMembership(list[1])
	listed := epoch.Add(time.Second)
	m.Update(listed, vms)
	since, ok := m.Ledger("a")
	is.True(ok && since.Equal(listed))

	n := NewMembership(next)
	n.Update(epoch, vms)
	_, ok = n.Ledger("a")
	is.True(!ok)
	removed := epoch.Add(time.Minute)
	without := slices.DeleteFunc(slices.Clone(vms), func(a netip.Addr) bool { return a == list[0] })
	n.Update(removed, without)
	since, ok = n.Ledger("a")
	is.True(ok && since.Equal(removed.Add(settleTime)))
	m.Update(removed, without)
	since, ok = m.Ledger("a")
	is.True(ok && since.Equal(listed))

	// The removed node returns.
	r := NewMembership(list[0])
	r.Update(epoch, vms)
	r.Update(removed, without)
	_, ok = r.Ledger("a")
	is.True(!ok)
	r.Update(removed.Add(time.Minute), vms)
	since, ok = r.Ledger("a")
	is.True(ok && since.Equal(removed.Add(time.Minute+settleTime)))
}

// TestLateList guards against credit for the time before the first list, in which the
// node was no ledger.
func TestLateList(t *testing.T) {
	is := is.New(t)
	vms := addresses(5)
	m := NewMembership(vms[0])
	l := &Ledger{Shares: fieldShares, Membership: m}
	limit := Limit{Rate: 150, Burst: 30, Version: 1}
	is.True(l.Ask(epoch, vms[1], "a", limit, 1000).NotLedger)
	late := epoch.Add(time.Hour)
	m.Update(late, vms)
	is.Equal(l.Ask(late, vms[1], "a", limit, 1000).Credits, int(min(fieldShares.initial(limit), fieldShares.capacity(limit))))
	is.True(fieldShares.initial(limit) < fieldShares.capacity(limit))
}

// TestIdle guards against buckets that are dropped while their level matters, and
// against tables that grow without end.
func TestIdle(t *testing.T) {
	is := is.New(t)
	vms := addresses(5)
	m := NewMembership(vms[0])
	m.Update(epoch, vms)
	l := &Ledger{Shares: fieldShares, Membership: m}
	l.Shares.Window = 0
	slow := Limit{Rate: 0.01, Burst: 1, Version: 1}
	fast := Limit{Rate: 10, Burst: 1, Version: 1}
	now := epoch.Add(time.Hour)
	is.Equal(l.Ask(now, vms[0], "slow", slow, 5).Credits, 3)
	is.Equal(l.Ask(now, vms[0], "fast", fast, 5).Credits, 3)
	now = now.Add(idleTime)
	l.Ask(now, vms[0], "other", fast, 0)
	is.Equal(l.Buckets(), 2)
	is.Equal(l.Ask(now, vms[0], "slow", slow, 5).Credits, 0)
	for i := range maxEntries + 10 {
		l.Ask(now, vms[0], fmt.Sprint(i), fast, 0)
	}
	is.Equal(l.Buckets(), maxEntries)
	l.Ask(now.Add(time.Hour), vms[0], "last", fast, 0)
	is.Equal(l.Buckets(), 1)
}
