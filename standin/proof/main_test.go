package proof

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"cassiarack.example/standin/fleet"
)

// startTimeout limits the start of a fleet. It is long because CI machines may be
// busy.
const startTimeout = 2 * time.Minute

// nodeProgram is the path of the node's executable, which TestMain builds once
// with the race detector.
var nodeProgram string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "cassiarack-proof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	nodeProgram = filepath.Join(folder, "cassiarack-node")
	build := exec.Command("go", "build", "-race", "-o", nodeProgram, "../../node")
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// smallDeployment has two services of three instances and starts quickly.
var smallDeployment = fleet.Deployment{
	Name:        "small",
	Region:      "north",
	DataCentres: []string{"north-1", "north-2", "north-3"},
	Services: []fleet.Service{
		{Name: "orders", Instances: 3, Slots: 3, Connections: 400, ServiceTime: 2 * time.Millisecond},
		{Name: "stock", Instances: 3, Slots: 3, Connections: 400, ServiceTime: 2 * time.Millisecond},
	},
}

// startDeployment starts a fleet and stops it at the end of the test.
func startDeployment(t *testing.T, d fleet.Deployment, rules string) *fleet.Fleet {
	t.Helper()
	f := &fleet.Fleet{}
	startFleet(t, f, d, rules)
	return f
}

// startProgram starts a fleet with another node executable.
func startProgram(t *testing.T, program string, d fleet.Deployment) *fleet.Fleet {
	t.Helper()
	f := &fleet.Fleet{NodeProgram: program}
	startFleet(t, f, d, "")
	return f
}

// startFleet starts f and stops it at the end of the test. Fields of f that the
// other arguments do not set may be set before.
func startFleet(t *testing.T, f *fleet.Fleet, d fleet.Deployment, rules string) {
	t.Helper()
	f.Deployment, f.Folder, f.Rules = d, t.TempDir(), []byte(rules)
	if f.NodeProgram == "" {
		f.NodeProgram = nodeProgram
	}
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Errorf("stop fleet: %v", err)
		}
		if t.Failed() {
			printLogs(t, f.Folder)
		}
	})
	if err := f.Start(ctx); err != nil {
		t.Fatal(err)
	}
}

// printLogs logs the end of each node's log.
func printLogs(t *testing.T, folder string) {
	logs, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, l := range logs {
		text, err := os.ReadFile(l)
		if err != nil {
			continue
		}
		const maxLength = 4 << 10
		t.Logf("%s:\n%s", filepath.Base(l), text[max(0, len(text)-maxLength):])
	}
}
