package ratelimit

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ledgers returns the ledgers of an organisation: the five nodes of vms that come first
// by rendezvous hashing, in that order. All nodes with the same list get the same
// ledgers, and a change of the list changes as few of them as possible.
func Ledgers(organisation string, vms []netip.Addr) []netip.Addr {
	seed := xxhash.Sum64String(organisation)
	first := make([]candidate, 0, ledgerCount+1)
	for _, a := range vms {
		c := candidate{score: score(seed, a), address: a}
		if len(first) == ledgerCount && !c.before(first[ledgerCount-1]) {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, c, candidate.compare)
		first = slices.Insert(first, i, c)
		first = first[:min(len(first), ledgerCount)]
	}
	out := make([]netip.Addr, len(first))
	for i, c := range first {
		out[i] = c.address
	}
	return out
}

// candidate is a node with its score for an organisation.
type candidate struct {
	score   uint64
	address netip.Addr
}

func (c candidate) before(d candidate) bool { return c.compare(d) < 0 }

func (c candidate) compare(d candidate) int {
	if c.score != d.score {
		if c.score > d.score {
			return -1
		}
		return 1
	}
	return c.address.Compare(d.address)
}

// score mixes the hash of an organisation with an address by the finalizer of
// SplitMix64.
func score(seed uint64, a netip.Addr) uint64 {
	b := a.As16()
	x := seed ^ binary.BigEndian.Uint64(b[8:])*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// maxRemovals bounds the removed nodes that a Membership remembers.
const maxRemovals = 256

// Membership is the list of nodes as one node knows it, with its recent changes. The
// latter tell since when the node has been a ledger of an organisation.
type Membership struct {
	self netip.Addr
	vms  []netip.Addr
	// generation counts the changes of the list.
	generation uint64
	// listedAt is when the process got its first list.
	listedAt time.Time
	// knownSince is the time from which on the changes are known.
	knownSince time.Time
	// settle is how long the node grants nothing after a change that made it a ledger.
	settle time.Duration
	// removals are in the order of time.
	removals []removal
}

// removal is a node that left the list at a time.
type removal struct {
	address netip.Addr
	at      time.Time
}

// NewMembership returns the list of a node. It is empty until Update is called.
func NewMembership(self netip.Addr) *Membership {
	return &Membership{self: self, settle: settleTime}
}

// Update replaces the list of nodes, which must not be modified afterwards.
func (m *Membership) Update(now time.Time, vms []netip.Addr) {
	sorted := vms
	if !slices.IsSortedFunc(vms, netip.Addr.Compare) {
		sorted = slices.Clone(vms)
		slices.SortFunc(sorted, netip.Addr.Compare)
	}
	sorted = slices.Compact(sorted)
	if slices.Equal(sorted, m.vms) {
		return
	}
	switch {
	case m.generation == 0:
		// No credit accrues before the first list, as other nodes may have been the ledgers.
		m.listedAt, m.knownSince = now, now
	case !m.contains(m.vms) && m.contains(sorted):
		m.knownSince, m.removals = now.Add(m.settle), nil
	}
	for _, a := range m.vms {
		if _, found := slices.BinarySearchFunc(sorted, a, netip.Addr.Compare); !found {
			m.removals = append(m.removals, removal{a, now})
		}
	}
	if extra := len(m.removals) - maxRemovals; extra > 0 {
		m.knownSince = later(m.knownSince, m.removals[extra-1].at.Add(m.settle))
		m.removals = slices.Clone(m.removals[extra:])
	}
	m.vms = sorted
	m.generation++
}

func (m *Membership) contains(sorted []netip.Addr) bool {
	_, found := slices.BinarySearchFunc(sorted, m.self, netip.Addr.Compare)
	return found
}

// Ledger reports whether this node is a ledger of an organisation, and since when it
// may grant credits. That time may lie in the future.
func (m *Membership) Ledger(organisation string) (since time.Time, ok bool) {
	if !m.contains(m.vms) {
		return time.Time{}, false
	}
	seed := xxhash.Sum64String(organisation)
	own := candidate{score: score(seed, m.self), address: m.self}
	rank := 0
	precedes := func(a netip.Addr) bool { return candidate{score(seed, a), a}.before(own) }
	for _, a := range m.vms {
		if precedes(a) {
			rank++
		}
	}
	if rank >= ledgerCount {
		return time.Time{}, false
	}
	// The node was not a ledger before the removal that brought it among the first.
	for _, r := range slices.Backward(m.removals) {
		if precedes(r.address) {
			rank++
		}
		if rank == ledgerCount {
			return later(m.knownSince, r.at.Add(m.settle)), true
		}
	}
	return m.knownSince, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
