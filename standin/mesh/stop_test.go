package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
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

// TestLateRequestsInStop guards against requests that are passed on late in a planned
// stop and then broken off while their instance works on them, although they may
// not be repeated. The platform excuses that only in the last sixth of the time
// until SIGKILL, and for requests sent in the first three seconds. Clients keep
// their connections until the process has ended.
func TestLateRequestsInStop(t *testing.T) {
	const excusedSending = 3 * time.Second
	// The race detector otherwise delays the exit of the sidecars by a second.
	t.Setenv("GORACE", "atexit_sleep_ms=0")
	for n, stopTimeout := range []time.Duration{graceTime, 4 * time.Second} {
		t.Run(stopTimeout.String(), func(t *testing.T) {
			is := is.New(t)
			m := &Mesh{Program: program, Folder: t.TempDir(), Services: map[string]int{"alpha": 3, "beta": 1}, Network: 78 + n,
				StopTimeout: stopTimeout, Work: time.Second}
			defer m.Stop()
			is.NoErr(m.Start(t.Context()))
			m.Configure([]route{{"slow", "/slow/", "unsafe", "alpha", 10 * time.Second, 1}})
			time.Sleep(floorWindow)
			stopping := m.VMs[slices.IndexFunc(m.VMs, func(v *VM) bool { return v.Instance.Service == "alpha" })]
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var l lateRequests
			for k := range 4 * clientsPerVM {
				l.clients.Go(func() { l.run(ctx, m, stopping, fmt.Sprintf("late%d", k)) })
			}
			time.Sleep(time.Second)
			began := time.Now()
			is.NoErr(stopping.Signal(syscall.SIGTERM))
			select {
			case <-stopping.exited:
			case <-time.After(stopTimeout):
				t.Error("the sidecar still runs at the end of its grace time")
			}
			cancel()
			l.clients.Wait()
			counts := make(map[string]int)
			for _, r := range l.results {
				counts[r.outcome]++
				excused := r.sent.Sub(began) <= excusedSending && r.ended.Sub(began) >= stopTimeout*5/6
				if r.outcome != "200" && r.outcome != "503" && len(m.Runs.executions(r.attempt)) > 0 && !excused {
					t.Errorf("%s, sent %v after SIGTERM, ran and ended %v after SIGTERM: %s", r.attempt, r.sent.Sub(began),
						r.ended.Sub(began), r.outcome)
				}
				if r.outcome == "503" && len(m.Runs.executions(r.attempt)) > 0 {
					t.Errorf("%s was refused but ran", r.attempt)
				}
			}
			t.Log(counts)
			is.True(counts["200"] > 0)
		})
	}
}

// lateRequests collects the results of requests during a stop.
type lateRequests struct {
	clients sync.WaitGroup
	mu      sync.Mutex
	results []lateResult
}

// lateResult is the result of one request: a status code or how it failed.
type lateResult struct {
	attempt     string
	sent, ended time.Time
	outcome     string
}

// run sends requests to the sidecar of a VM, one after another over a connection
// that it keeps, until ctx ends.
func (l *lateRequests) run(ctx context.Context, m *Mesh, v *VM, name string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		attempt := fmt.Sprintf("%s-%d", name, n)
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%v/slow/%s", m.address(v.Index, portCallers), attempt), nil)
		if err != nil {
			panic(err)
		}
		req.Host = "mesh.example"
		req.Header.Set("X-Cassiarack-Attempt-Id", attempt)
		req.Header.Set("X-Cassiarack-Deadline-Ms", "10000")
		r := lateResult{attempt: attempt, sent: time.Now(), outcome: "no answer"}
		if resp, err := client.Do(req); err == nil {
			r.outcome = strconv.Itoa(resp.StatusCode)
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				r.outcome = "truncated answer"
			}
			resp.Body.Close()
		}
		r.ended = time.Now()
		l.mu.Lock()
		l.results = append(l.results, r)
		l.mu.Unlock()
		time.Sleep(readyPoll)
	}
}
