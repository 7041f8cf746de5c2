package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLargeBodies guards against requests with large bodies that make the sidecars of
// the called instances exceed their memory, that run twice, change on their way or
// run after a refusal, and that stop requests with small bodies. While each body
// travelled with its offer, the sidecars of this test reached 358 MB.
//
// The sidecars run without the race detector, which needs several times the memory.
func TestLargeBodies(t *testing.T) {
	const (
		size         = 6_000_000
		largeClients = 9
		smallClients = 2
	)
	is := is.New(t)
	m := &Mesh{Program: buildPlain(t), Folder: t.TempDir(), Services: map[string]int{"alpha": 3, "beta": 2}, Network: 90,
		MemoryMegabytes: memoryMegabytes, MaxBodyBytes: 64 << 20}
	defer m.Stop()
	is.NoErr(m.Start(t.Context()))
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	large, small := NewOutcome(), NewOutcome()
	var clients sync.WaitGroup
	for _, v := range m.VMs {
		for k := range largeClients {
			clients.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					m.post(v, fmt.Sprintf("l%d-%d-%d", v.Index, k, n), size, large)
					time.Sleep(rand.N(300 * time.Millisecond))
				}
			})
		}
		for k := range smallClients {
			clients.Go(func() { m.RunClient(ctx, v, fmt.Sprintf("c%d-%d", v.Index, k), small) })
		}
	}
	clients.Wait()
	for _, b := range append(append(m.OwnEnds(), m.CheckExecutions(large)...), m.CheckExecutions(small)...) {
		t.Error(b)
	}
	for _, v := range m.VMs {
		peak, err := peakMegabytes(v)
		is.NoErr(err)
		t.Logf("VM %d: peak memory %d MB", v.Index, peak)
		if peak >= memoryMegabytes {
			t.Errorf("VM %d exceeds its memory of %d MB", v.Index, memoryMegabytes)
		}
	}
	t.Log("large", large.Statuses, "small", small.Statuses)
	is.True(large.Statuses["200"] > 0)
	total := 0
	for _, n := range small.Statuses {
		total += n
	}
	is.True(small.Statuses["200"] > total/2) // requests with small bodies go on
}

// post sends a request with a large body that may run only once to the sidecar of a
// VM, and adds the result to o.
func (m *Mesh) post(v *VM, attempt string, size int, o *Outcome) {
	o.mu.Lock()
	o.unsafeAttempts = append(o.unsafeAttempts, attempt)
	o.mu.Unlock()
	resp, err := m.exchangeText(v, fmt.Sprintf("POST /accept/x HTTP/1.1\r\nHost: mesh.example\r\nX-Cassiarack-Attempt-Id: %s\r\n"+
		"X-Cassiarack-Deadline-Ms: 2000\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", attempt, size, largeBody(attempt, size)))
	if err != nil {
		o.count("no answer")
		return
	}
	o.count(fmt.Sprint(resp.StatusCode))
	if resp.StatusCode == http.StatusServiceUnavailable {
		o.mu.Lock()
		o.refusedAttempts = append(o.refusedAttempts, attempt)
		o.mu.Unlock()
	}
	if resp.StatusCode == http.StatusOK && len(m.Runs.executions(attempt)) == 0 {
		o.addViolation("answer without a run: attempt %s succeeded but never ran", attempt)
	}
}
