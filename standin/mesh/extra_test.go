package mesh

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestSecondAnswers guards against a sidecar that passes the second answer of an
// instance on to the next request on the connection. With the sidecar's checks of
// identifiers and of left-over bytes disabled, the test reports such answers within
// three seconds.
func TestSecondAnswers(t *testing.T) {
	for n, mode := range []Mode{ExtraAnswer, LateExtraAnswer} {
		m := &Mesh{Program: program, Folder: t.TempDir(), Services: map[string]int{"alpha": 2, "beta": 1}, Network: 68 + n}
		defer m.Stop()
		if err := m.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		for _, v := range m.VMs {
			v.Instance.SetMode(mode)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		o := NewOutcome()
		var clients sync.WaitGroup
		for _, v := range m.VMs {
			for k := range clientsPerVM {
				clients.Go(func() { m.RunClient(ctx, v, fmt.Sprintf("c%d-%d", v.Index, k), o) })
			}
		}
		clients.Wait()
		for _, b := range m.CheckExecutions(o) {
			t.Errorf("%s: %s", mode, b)
		}
		if o.Statuses["200"] == 0 {
			t.Errorf("%s: no request was served", mode)
		}
	}
}
