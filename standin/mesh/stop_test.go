package mesh

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// floorWindow is the time within which each sound instance must get a request for a
// service to be above its floor.
const floorWindow = 2 * time.Second

// TestStopKeepsInstance guards against a planned restart of a sidecar that takes its
// instance out of service for the whole stop. In a rolling restart, a service then
// lacks most of its instances and falls below its floor. A gate that closed at
// SIGTERM left the instance without requests for 3.9 s.
func TestStopKeepsInstance(t *testing.T) {
	is := is.New(t)
	m := &Mesh{Program: program, Folder: t.TempDir(), Services: map[string]int{"alpha": 3, "beta": 1}, Network: 71}
	defer m.Stop()
	is.NoErr(m.Start(t.Context()))
	restarted := m.VMs[slices.IndexFunc(m.VMs, func(v *VM) bool { return v.Instance.Service == "alpha" })]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	o := NewOutcome()
	var clients sync.WaitGroup
	for _, v := range m.VMs {
		if v == restarted {
			// The platform sends its clients elsewhere.
			continue
		}
		for n := range 2 * clientsPerVM {
			clients.Go(func() { m.RunClient(ctx, v, fmt.Sprintf("c%d-%d", v.Index, n), o) })
		}
	}
	time.Sleep(time.Second)
	began := time.Now()
	is.NoErr(restarted.Signal(syscall.SIGTERM))
	<-restarted.exited
	is.NoErr(m.Launch(restarted))
	time.Sleep(floorWindow)
	cancel()
	clients.Wait()
	gap, from := longestGap(began, time.Now(), m.Runs.times(restarted.Instance.ID))
	t.Logf("longest time without a request: %v, from %v after SIGTERM", gap, from.Sub(began))
	is.True(gap < floorWindow)
	for _, b := range append(m.OwnEnds(), m.CheckExecutions(o)...) {
		t.Error(b)
	}
}

// longestGap returns the longest time between two consecutive times from begin to
// end, and when it began.
func longestGap(begin, end time.Time, times []time.Time) (longest time.Duration, from time.Time) {
	last := begin
	for _, at := range append(times, end) {
		if at.Before(begin) {
			continue
		}
		if d := at.Sub(last); d > longest {
			longest, from = d, last
		}
		last = at
	}
	return longest, from
}

// TestStopEnds guards against a sidecar that does not end before SIGKILL because a
// request of another VM still runs at its instance. The handler of that request
// waited for the gate, which had already stopped.
func TestStopEnds(t *testing.T) {
	is := is.New(t)
	m := &Mesh{Program: program, Folder: t.TempDir(), Services: map[string]int{"alpha": 1, "beta": 1}, Network: 72}
	defer m.Stop()
	is.NoErr(m.Start(t.Context()))
	m.Configure([]route{{"slow", "/slow/", "safe", "alpha", time.Minute, 1}})
	time.Sleep(floorWindow)
	stopping := m.VMs[slices.IndexFunc(m.VMs, func(v *VM) bool { return v.Instance.Service == "alpha" })]
	other := m.VMs[slices.IndexFunc(m.VMs, func(v *VM) bool { return v != stopping })]
	stopping.Instance.SetMode(Hangs)
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() { m.getWithin(t.Context(), other, "/slow/", fmt.Sprintf("slow%d", n), time.Minute) })
	}
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	is.NoErr(stopping.Signal(syscall.SIGTERM))
	select {
	case <-stopping.exited:
		t.Logf("ended after %v", time.Since(began))
	case <-time.After(graceTime):
		t.Error("the sidecar still runs at the end of its grace time")
	}
	m.Stop()
	clients.Wait()
}
