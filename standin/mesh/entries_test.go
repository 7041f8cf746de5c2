package mesh

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnnamedServiceEntry guards against an entry of another writer that takes a
// live instance out of service. Its service is in no configuration, and it has the
// address of the instance with a later start; sidecars took it for the instance,
// which got no more requests while its service was overloaded.
func TestUnnamedServiceEntry(t *testing.T) {
	is := is.New(t)
	m := &Mesh{Program: program, Folder: t.TempDir(), Services: map[string]int{"alpha": 3, "beta": 1}, Network: 73}
	defer m.Stop()
	is.NoErr(m.Start(t.Context()))
	covered := m.VMs[slices.IndexFunc(m.VMs, func(v *VM) bool { return v.Instance.Service == "alpha" })]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	o := NewOutcome()
	var clients sync.WaitGroup
	for _, v := range m.VMs {
		for n := range 2 * clientsPerVM {
			clients.Go(func() { m.RunClient(ctx, v, fmt.Sprintf("c%d-%d", v.Index, n), o) })
		}
	}
	began := time.Now()
	m.Store.Put("servers/agent-1", fmt.Appendf(nil,
		`{"service":"agent","address":%q,"zone":%q,"version":"v1","slots":3,"state":"ready","cold_left_s":0,"sequence":1,"born":%d}`,
		m.address(covered.Index, portProxy), covered.DataCentre, began.UnixMilli()))
	time.Sleep(2 * floorWindow)
	cancel()
	clients.Wait()
	gap, from := longestGap(began, time.Now(), m.Runs.times(covered.Instance.ID))
	t.Logf("longest time without a request: %v, from %v after the entry was written", gap, from.Sub(began))
	is.True(gap < floorWindow)
	for _, b := range append(m.OwnEnds(), m.CheckExecutions(o)...) {
		t.Error(b)
	}
}
