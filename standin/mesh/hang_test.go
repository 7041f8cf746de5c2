package mesh

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHang guards against a gate that keeps sending requests to an instance which
// hangs half of them, until their deadlines pass. The gate must log the instance as
// doubtful before the first deadline.
func TestHang(t *testing.T) {
	is := is.New(t)
	m := &Mesh{Program: program, Folder: t.TempDir(), Services: map[string]int{"alpha": 2, "beta": 1}, Network: 67}
	defer m.Stop()
	is.NoErr(m.Start(t.Context()))
	var faulty *VM
	for _, v := range m.VMs {
		if v.Instance.Service == "alpha" {
			faulty = v
		}
	}
	// The gate learns the baseline run time first.
	for n := range 40 {
		m.get(t.Context(), faulty, "/read/", fmt.Sprintf("before%d", n))
	}
	faulty.Instance.SetMode(Hangs)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	began := time.Now()
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				m.get(ctx, faulty, "/read/", fmt.Sprintf("hang%d-%d", n, k))
			}
		})
	}
	log := filepath.Join(m.Folder, fmt.Sprintf("vm%d.log", faulty.Index))
	doubtful := false
	for !doubtful && time.Since(began) < clientDeadline {
		text, err := os.ReadFile(log)
		is.NoErr(err)
		doubtful = strings.Contains(string(text), "doubtful=true")
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	clients.Wait()
	is.True(doubtful) // before the first deadline
}
