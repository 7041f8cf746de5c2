package gossip

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/decision/floor"
	"cassiarack.example/lib/decision/member"
	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/wire"
)

// largest returns a message of the largest size, with names of the greatest length.
func largest() member.Message {
	name := strings.Repeat("n", 127)
	ip := netip.MustParseAddrPort("[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535")
	m := member.Message{Kind: member.PingRequest, From: name, Incarnation: 1 << 62, Sequence: 1 << 62, Target: name,
		TargetAddress: ip}
	u := member.Update{Name: name, Incarnation: 1 << 62, State: member.Dead, Address: ip}
	for remaining := member.MaxUpdateBytes; remaining >= u.MaxEncodedSize(); remaining -= u.MaxEncodedSize() {
		m.Updates = append(m.Updates, u)
	}
	return m
}

func datagram(m member.Message) *wire.Datagram {
	d := toDatagram(m)
	d.Run, d.Number, d.Serving = 1<<62, 1<<62, true
	d.Revision = &wire.Revision{Number: 1 << 62, Digest: make([]byte, 32)}
	return d
}

// TestSize guards against a datagram that does not fit into one packet, and against
// updates whose encoded size is larger than MaxEncodedSize states.
func TestSize(t *testing.T) {
	is := is.New(t)
	d := datagram(largest())
	raw, err := seal([]byte("key"), d)
	is.NoErr(err)
	var o leaseQueue
	o.refresh(manyLeases(100))
	now := time.Unix(0, 0)
	o.fill(now, d, MaxDatagram-32)
	full, err := seal([]byte("key"), d)
	is.NoErr(err)
	is.True(len(full) <= MaxDatagram)
	back, err := open([][]byte{[]byte("key")}, raw)
	is.NoErr(err)
	source := netip.MustParseAddrPort("10.0.0.1:7000")
	got, want := fromDatagram(back, source), largest()
	want.Source = source
	is.Equal(got, want)
}

func manyLeases(n int) []floor.Lease {
	var out []floor.Lease
	for i := range n {
		out = append(out, floor.Lease{Service: "quotes", Instance: fmt.Sprintf("quotes-%02d", i), Holder: "vm-1", Token: i,
			Assignment: 7, Sequence: 1, Until: time.Unix(3, 0), Cause: "late answers"})
	}
	return out
}

// TestLeaseRotation guards against leases that are never sent when there are more than
// fit into a datagram, and against new leases that are queued behind old ones.
func TestLeaseRotation(t *testing.T) {
	is := is.New(t)
	var o leaseQueue
	seen := make(map[string]int)
	send := func(ls []floor.Lease) []*wire.Lease {
		o.refresh(ls)
		d := &wire.Datagram{}
		o.fill(time.Unix(0, 0), d, 400)
		for _, l := range d.GetLeases() {
			seen[l.GetInstance()]++
		}
		return d.GetLeases()
	}
	for range 30 {
		send(manyLeases(40))
	}
	is.Equal(len(seen), 40)
	renewed := manyLeases(40)
	renewed[33].Sequence = 2
	is.Equal(send(renewed)[0].GetInstance(), "quotes-33")
}

// TestOpen guards against accepting datagrams without a valid key or with damaged
// bytes, and against panics on them.
func TestOpen(t *testing.T) {
	is := is.New(t)
	raw, err := seal([]byte("new"), datagram(largest()))
	is.NoErr(err)
	_, err = open([][]byte{[]byte("old"), []byte("new")}, raw)
	is.NoErr(err) // during a rotation, both keys are valid
	_, err = open([][]byte{[]byte("old")}, raw)
	is.True(errors.Is(err, errMAC))
	rng := rand.New(rand.NewPCG(1, 2))
	accepted := 0
	for range 20_000 {
		junk := make([]byte, rng.IntN(2*MaxDatagram))
		for i := range junk {
			junk[i] = byte(rng.Uint32())
		}
		if _, err := open([][]byte{[]byte("new")}, junk); err == nil {
			accepted++
		}
	}
	for i := range raw {
		damaged := append([]byte(nil), raw...)
		damaged[i] ^= 1 << rng.IntN(8)
		if _, err := open([][]byte{[]byte("new")}, damaged); err == nil {
			accepted++
		}
	}
	is.Equal(accepted, 0)
}

// TestReplay guards against accepting a datagram twice.
func TestReplay(t *testing.T) {
	var s senders
	var b strings.Builder
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name        string
		run, number uint64
		after       time.Duration
	}{
		{"a", 5, 1, 0}, {"a", 5, 1, 0}, {"a", 5, 3, 0}, {"a", 5, 2, 0}, {"a", 5, 2, 0}, {"a", 5, 100, 0}, {"a", 5, 37, 0},
		{"a", 5, 36, 0}, {"b", 5, 1, 0}, {"a", 4, 200, 0}, {"a", 6, 1, 0}, {"a", 5, 101, 0}, {"a", 5, 102, 11 * time.Minute},
	} {
		now = now.Add(c.after)
		fmt.Fprintf(&b, "after %-4v %s run %d number %-3d accepted %v\n", c.after, c.name, c.run, c.number,
			s.accept(now, c.name, c.run, c.number))
	}
	golden.Check(t, "replay", b.String())
}

// BenchmarkDatagram measures the time to encode and to decode a full datagram.
func BenchmarkDatagram(b *testing.B) {
	key := []byte("key")
	for b.Loop() {
		raw, err := seal(key, datagram(largest()))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := open([][]byte{key}, raw); err != nil {
			b.Fatal(err)
		}
	}
}
