package publication

import (
	"fmt"
	"math"
	"strings"
	"testing"

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
