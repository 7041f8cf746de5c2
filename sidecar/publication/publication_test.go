package publication

import (
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/roster"
	"cassiarack.example/lib/decision/routing"
	"cassiarack.example/lib/golden"
)

// TestPublishUnnamedService guards against entries of other writers, whose service
// no configuration names, that change what other services see: such an entry took
// an instance out of the list, delayed the reads of the store by its rank, and
// received notices instead of a VM that passes them on.
func TestPublishUnnamedService(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	entry := func(id, service, address, dataCentre string, started time.Time) roster.Instance {
		return roster.Instance{ID: id, Service: service, Address: netip.MustParseAddrPort(address), DataCentre: dataCentre,
			Slots: 3, StartedAt: started}
	}
	s := &Service{Self: netip.MustParseAddr("10.0.0.5"), DataCentre: "a", Scope: tally.NoopScope, Log: log.New(io.Discard)}
	s.roster.Replace(start, start, []roster.Instance{
		entry("i-5", "alpha", "10.0.0.5:80", "a", start),
		entry("i-6", "alpha", "10.0.0.6:80", "a", start),
		entry("i-7", "beta", "10.0.0.7:80", "b", start),
		entry("agent-1", "agent", "10.0.0.6:80", "b", start.Add(time.Hour)),
		entry("agent-2", "agent", "10.0.0.1:80", "a", start),
		entry("agent-3", "agent", "10.0.0.2:80", "b", start),
	})
	var b strings.Builder
	for _, step := range []struct {
		name     string
		services []routing.Service
	}{
		{"no configuration", nil},
		{"agent is not named", []routing.Service{{Name: "alpha"}, {Name: "beta"}}},
		{"agent is named", []routing.Service{{Name: "alpha"}, {Name: "beta"}, {Name: "agent"}}},
	} {
		if step.services != nil {
			s.config.table = routing.Compile(&routing.Configuration{Services: step.services})
		}
		s.publish()
		st := s.State()
		fmt.Fprintf(&b, "%s: instances %v, rank %d, peers %v, in the data centre %v, elsewhere %v\n", step.name,
			slices.Sorted(maps.Keys(st.Instances)), s.rank(), st.Peers, st.DataCentrePeers, st.RemotePeers)
	}
	golden.Check(t, "publish", b.String())
}
