package mesh

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// program is the path of the sidecar's binary, built with the race detector.
var program string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		folder, err := os.MkdirTemp("", "cassiarack-mesh-")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(folder)
		program = filepath.Join(folder, "cassiarack-sidecar")
		build := exec.Command("go", "build", "-race", "-o", program, "../../sidecar")
		if out, err := build.CombinedOutput(); err != nil {
			panic(string(out))
		}
		return m.Run()
	}())
}

// runSoak runs a soak with one seed and fails the test for each violation.
func runSoak(t *testing.T, seed uint64, network int, length time.Duration, organisations bool) {
	t.Helper()
	m := &Mesh{Program: program, Folder: t.TempDir(), Services: map[string]int{"alpha": 4, "beta": 3}, Network: network}
	if organisations {
		m.UseOrganisations()
	}
	defer m.Stop()
	if err := m.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	o, broken := m.Soak(t.Context(), seed, length, t.Logf)
	t.Log(o.Statuses)
	for _, b := range broken {
		t.Error(b)
	}
	if o.Statuses["200"] == 0 {
		t.Error("no request was served")
	}
}

// TestSoak injects faults for a few seconds with each of two seeds. It guards
// against answers to other requests, unsafe requests that run twice, refusals of
// requests that ran, answers after the deadline, and sidecars that do not recover.
func TestSoak(t *testing.T) {
	for n, seed := range []uint64{1, 2} {
		runSoak(t, seed, 60+n, 8*time.Second, false)
	}
}

// TestSoakOrganisations is TestSoak with organisations. It also guards against keys that
// reach an instance or a log, names of other organisations, runs with keys that were
// revoked, 401 for keys in force, and more requests than a limit allows.
func TestSoakOrganisations(t *testing.T) { runSoak(t, 3, 62, 8*time.Second, true) }
