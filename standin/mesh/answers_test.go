package mesh

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// memoryMegabytes is the memory of a sidecar in the small deployments, after which
// the platform kills it.
const memoryMegabytes = 284

// TestOddAnswers guards against answers of a faulty instance that harm others on the
// way through two sidecars: bytes without end that fill the memory of a sidecar,
// so that it ends together with the requests of other clients, and a head that
// ends early and reaches the client as a whole answer. Without the bounds of package
// backend the sidecars reach 1.3 GB (head) and 1.9 GB (body).
//
// The sidecars run without the race detector, which needs several times the memory.
func TestOddAnswers(t *testing.T) {
	program := buildPlain(t)
	for n, mode := range []Mode{CutsHead, EndlessHead, EndlessBody} {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			m := &Mesh{Program: program, Folder: t.TempDir(), Services: map[string]int{"alpha": 3, "beta": 1}, Network: 74 + n,
				MemoryMegabytes: memoryMegabytes}
			defer m.Stop()
			is.NoErr(m.Start(t.Context()))
			for _, v := range m.VMs {
				if v.Instance.Service == "alpha" {
					v.Instance.SetMode(mode)
				}
			}
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			o := NewOutcome()
			var clients sync.WaitGroup
			for _, v := range m.VMs {
				for k := range 4 * clientsPerVM {
					clients.Go(func() { m.RunClient(ctx, v, fmt.Sprintf("c%d-%d", v.Index, k), o) })
				}
			}
			clients.Wait()
			for _, b := range append(m.OwnEnds(), m.CheckExecutions(o)...) {
				t.Error(b)
			}
			for _, v := range m.VMs {
				peak, err := peakMegabytes(v)
				is.NoErr(err)
				t.Logf("VM %d: peak memory %d MB", v.Index, peak)
				is.True(peak < memoryMegabytes)
			}
			t.Log(o.Statuses)
			is.True(o.Statuses["200"] > 0)
			is.True(o.Statuses["502"] > 0) // the faulty answers were sent
		})
	}
}

// buildPlain builds the sidecar without the race detector and returns its path.
func buildPlain(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cassiarack-sidecar")
	if out, err := exec.Command("go", "build", "-o", path, "../../sidecar").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// peakMegabytes returns the largest resident size of a VM's sidecar so far.
func peakMegabytes(v *VM) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes / 1024, err
		}
	}
	return 0, fmt.Errorf("no VmHWM in the status of VM %d", v.Index)
}
