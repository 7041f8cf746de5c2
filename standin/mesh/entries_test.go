package mesh

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
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

// TestLargeOddEntries guards against entries of another writer that keep sidecars from
// following the store: no read of all pages ended in time, so that a moved route
// and a draining instance were not noticed.
func TestLargeOddEntries(t *testing.T) {
	for n, odd := range []struct{ entries, bytes int }{{60, 1_000_000}, {500, 100_000}} {
		t.Run(fmt.Sprintf("%d of %d bytes", odd.entries, odd.bytes), func(t *testing.T) {
			is := is.New(t)
			m := &Mesh{Program: buildPlain(t), Folder: t.TempDir(), Services: map[string]int{"alpha": 6, "beta": 3}, Network: 83 + n,
				DirectStore: true}
			defer m.Stop()
			is.NoErr(m.Start(t.Context()))
			value := make([]byte, odd.bytes)
			rng := rand.NewChaCha8([32]byte{1})
			for k := range odd.entries {
				_, _ = rng.Read(value)
				m.Store.Put(fmt.Sprintf("servers/x-%d", k), slices.Clone(value))
			}
			time.Sleep(time.Second)
			before := m.processorTimes(t)
			time.Sleep(cpuWindow)
			for n, used := range m.processorTimes(t) {
				share := (used - before[n]).Seconds() / cpuWindow.Seconds()
				t.Logf("VM %d: %.2f of a core", n+1, share)
			}
			draining := m.VMs[slices.IndexFunc(m.VMs, func(v *VM) bool { return v.Instance.Service == "alpha" })]
			m.Configure([]route{{"added", "/added/", "safe", "beta", 2 * time.Second, 2}})
			m.Register(draining, "draining")
			time.Sleep(applyTime)
			for k := range 10 {
				for _, v := range m.VMs {
					is.Equal(m.get(t.Context(), v, "/added/", fmt.Sprintf("added%d-%d", v.Index, k)), http.StatusOK) // the route is in force
					is.Equal(m.get(t.Context(), v, "/read/", fmt.Sprintf("read%d-%d", v.Index, k)), http.StatusOK)
				}
			}
			for _, at := range m.Runs.times(draining.Instance.ID) {
				t.Errorf("the draining instance got a request %v before the end of the test", time.Since(at))
			}
		})
	}
}

// cpuWindow is the time over which processor time is measured.
const cpuWindow = 4 * time.Second

// processorTimes returns the processor time that the sidecar of each VM has used.
func (m *Mesh) processorTimes(t *testing.T) []time.Duration {
	t.Helper()
	const tick = 10 * time.Millisecond // of /proc on all Linux systems
	var out []time.Duration
	for _, v := range m.VMs {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.process.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		// The fields after the name of the program, which ends with a parenthesis,
		// begin with the third; user and system time are the 14th and 15th.
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		var ticks int
		for _, f := range fields[11:13] {
			n, err := strconv.Atoi(f)
			if err != nil {
				t.Fatal(err)
			}
			ticks += n
		}
		out = append(out, time.Duration(ticks)*tick)
	}
	return out
}

// applyTime is the time within which a configuration is in force and a draining
// instance gets no more requests.
const applyTime = 2 * time.Second
