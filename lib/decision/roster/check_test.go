package roster

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// TestCheck guards against odd entries of other writers that are taken for
// instances: nodes would send requests to addresses that cannot be reached, or
// lists would differ between nodes for good, as values are cut when they are sent.
func TestCheck(t *testing.T) {
	valid := Instance{ID: "i-1", Service: "s", Address: netip.MustParseAddrPort("10.0.0.9:80"), DataCentre: "z", Slots: 3}
	with := func(f func(*Instance)) Instance { i := valid; f(&i); return i }
	address := func(s string) Instance {
		return with(func(i *Instance) { i.Address = netip.MustParseAddrPort(s) })
	}
	cases := []struct {
		name     string
		instance Instance
	}{
		{"valid", valid},
		{"started", with(func(i *Instance) { i.StartedAt = time.UnixMilli(1767225600000) })},
		{"no identifier", with(func(i *Instance) { i.ID = "" })},
		{"line break in the identifier", with(func(i *Instance) { i.ID = "a\r\nb" })},
		{"replaced bytes in the identifier", with(func(i *Instance) { i.ID = "a\ufffd" })},
		{"long identifier", with(func(i *Instance) { i.ID = strings.Repeat("a", 201) })},
		{"no service", with(func(i *Instance) { i.Service = "" })},
		{"long data centre", with(func(i *Instance) { i.DataCentre = strings.Repeat("a", 201) })},
		{"no address", with(func(i *Instance) { i.Address = netip.AddrPort{} })},
		{"port 0", address("10.0.0.9:0")},
		{"any address", address("0.0.0.0:80")},
		{"multicast", address("224.0.0.1:80")},
		{"IPv6 with a zone", address("[fe80::1%eth0]:80")},
		{"IPv4 in IPv6", address("[::ffff:10.0.0.9]:80")},
		{"no slots", with(func(i *Instance) { i.Slots = 0 })},
		{"negative slots", with(func(i *Instance) { i.Slots = -1 })},
		{"too many slots", with(func(i *Instance) { i.Slots = 1_000_000_000_000_000_000 })},
		{"start before 1970", with(func(i *Instance) { i.StartedAt = time.UnixMilli(-1) })},
		{"start far ahead", with(func(i *Instance) { i.StartedAt = time.UnixMilli(9_000_000_000_000_000_000) })},
	}
	var b strings.Builder
	for _, tc := range cases {
		fmt.Fprintf(&b, "%s: %v\n", tc.name, tc.instance.Check())
	}
	golden.Check(t, "check", b.String())
}
