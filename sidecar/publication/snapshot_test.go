package publication

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/decision/roster"
	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/wire"
)

// TestDecodeInstances guards against a list of another sidecar that is dropped as a
// whole for one odd record. The sidecar would stop following the platform, as it
// does not read the store itself while others announce recent state.
func TestDecodeInstances(t *testing.T) {
	record := func(id, address string, slots int32, start int64) *wire.InstanceRecord {
		return &wire.InstanceRecord{Id: id, Address: address, Slots: slots, Born: start, Service: "s", DataCentre: "z"}
	}
	const start = 1767225600000
	list, invalid := decodeInstances([]*wire.InstanceRecord{
		record("first", "10.0.0.1:80", 3, start),
		record("port out of range", "10.0.0.1:70000", 3, start),
		record("no-port", "10.0.0.1", 3, start),
		record("zone", "[fe80::1%eth0]:80", 3, start),
		record("cut-slots", "10.0.0.1:80", -1486618624, start),
		record("far", "10.0.0.1:80", 3, math.MaxInt64),
		{},
		record("last", "10.0.0.2:80", 3, start),
	})
	var b strings.Builder
	for _, i := range list {
		fmt.Fprintf(&b, "%s at %v\n", i.ID, i.Address)
	}
	for _, err := range invalid {
		fmt.Fprintf(&b, "%v\n", err)
	}
	golden.Check(t, "records", b.String())
}

// TestMissingInSnapshot guards against instances that a sidecar keeps only because it missed
// their removal, and that another one takes for instances of the platform's list.
func TestMissingInSnapshot(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	entries := func(ids ...string) (list []roster.Instance) {
		for n, id := range ids {
			list = append(list, roster.Instance{ID: id, Service: "s", Slots: 1, StartedAt: now.Truncate(time.Second),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 80)})
		}
		return list
	}
	cut, other := newProofTest(t, 0).s, newProofTest(t, 0).s
	for _, s := range []*Service{cut, other} {
		s.roster.Replace(now.Add(-5*time.Second), now.Add(-5*time.Second), entries("a", "b"))
	}
	for ago := 4 * time.Second; ago > 0; ago -= time.Second {
		other.roster.Replace(now.Add(-ago), now.Add(-ago), entries("a"))
	}
	cut.roster.Replace(now, now, entries("a"))
	is.Equal(len(cut.roster.Entries()), 2)
	is.True(cut.roster.Digest() != other.roster.Digest())
	other.adoptSnapshot(now, other.Boot(), otherSidecar, cut.snapshot(now, 7))
	is.Equal(len(other.roster.Entries()), 1)
	is.Equal(other.roster.ReadAt(), now)
	cut.adoptSnapshot(now, cut.Boot(), otherSidecar, other.snapshot(now, 7))
	is.Equal(len(cut.roster.Entries()), 1)
	is.Equal(cut.roster.Digest(), other.roster.Digest())
}
