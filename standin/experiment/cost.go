package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cassiarack.example/lib/clock"

	"cassiarack.example/standin/fleet"
	"cassiarack.example/standin/load"
)

const (
	// coreTarget, as a share of a core, and memoryTarget, in bytes, limit what an
	// idle node may use for control.
	coreTarget   = 0.013
	memoryTarget = 256 << 20
	// clockTick is the unit of processor time in /proc, 1/100 s on Linux.
	clockTick = 10 * time.Millisecond
	// costPhase is how long the nodes are observed, first idle, then under load.
	costPhase = 20 * time.Second
)

var cost = Experiment{
	Name:     "cost",
	Question: "How much processor time and memory does a node take, at rest and for each request?",
	Run: func(ctx context.Context, env *Env) (*Result, error) {
		f, stop, err := env.startFleet(ctx, fleet.Latvia)
		if err != nil {
			return nil, err
		}
		idle, err := measureUsage(f, func() { clock.Sleep(ctx, costPhase) })
		if err != nil {
			return nil, err
		}
		const rate = 500
		var r *load.Report
		loaded, err := measureUsage(f, func() {
			p := load.Plan{Timeout: 2 * time.Second, Phases: []load.Phase{{Duration: costPhase, Rate: rate}}}
			for _, s := range fleet.Latvia.Services {
				p.Kinds = append(p.Kinds, load.Kind{Name: "read", Service: s.Name, Method: "GET", Path: "items", Weight: 1,
					Idempotent: true, Work: time.Millisecond})
			}
			r = env.runLoad(ctx, f, "cost", p)
		})
		if err != nil {
			return nil, err
		}
		if err := stop(); err != nil {
			return nil, err
		}
		n := time.Duration(len(f.VMs))
		coreShare := float64(idle.processorTime) / float64(n) / float64(costPhase)
		perRequest := (loaded.processorTime - idle.processorTime) / time.Duration(max(1, sumGroups(r, anyGroup).Sent))
		return &Result{Rows: []Row{
			{Measure: "processor time of a node at rest, 27 nodes", Target: "below 1.3% of a core",
				Figure: fmt.Sprintf("%.2f%% of a core", coreShare*100), Met: coreShare < coreTarget},
			{Measure: "resident memory of a node at rest, 27 nodes", Target: "below 256 MB",
				Figure: fmt.Sprintf("%d MB (largest)", idle.memory>>20), Met: idle.memory < memoryTarget},
			{Measure: "processor time of all nodes for one request", Target: "none stated", Met: true, Figure: perRequest.String()},
			violationsRow(r),
		}}, nil
	},
}

// anyGroup matches all groups.
func anyGroup(*load.Group) bool { return true }

// usage is the resource usage of all nodes.
type usage struct {
	// processorTime is the sum over the nodes.
	processorTime time.Duration
	// memory is the resident memory of the largest node, in bytes.
	memory int
}

// measureUsage runs call. It returns the processor time that the nodes used
// meanwhile and their memory after it.
func measureUsage(f *fleet.Fleet, call func()) (usage, error) {
	before, err := processorTime(f)
	if err != nil {
		return usage{}, err
	}
	call()
	after, err := processorTime(f)
	if err != nil {
		return usage{}, err
	}
	s := usage{processorTime: after - before}
	for _, v := range f.VMs {
		m, err := residentMemory(v)
		if err != nil {
			return usage{}, err
		}
		s.memory = max(s.memory, m)
	}
	return s, nil
}

// readProc returns the text of a file in the /proc folder of a node's process.
func readProc(v *fleet.VM, name string) (string, error) {
	text, err := os.ReadFile(filepath.Join("/proc", fmt.Sprint(v.Process.Process.Pid), name))
	if err != nil {
		return "", &Error{Op: "read " + name + " of node " + v.Name, Kind: KindSetup, Err: err}
	}
	return string(text), nil
}

// processorTime returns the processor time that all nodes used since their start.
func processorTime(f *fleet.Fleet) (time.Duration, error) {
	var sum time.Duration
	for _, v := range f.VMs {
		text, err := readProc(v, "stat")
		if err != nil {
			return 0, err
		}
		// The name in parentheses may contain spaces. User and system time are the
		// 12th and 13th fields after it.
		fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
		var user, system int64
		if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
			return 0, &Error{Op: "read processor time", Kind: KindSetup, Err: err}
		}
		sum += time.Duration(user+system) * clockTick
	}
	return sum, nil
}

// residentMemory returns the resident memory of a node in bytes.
func residentMemory(v *fleet.VM) (int, error) {
	text, err := readProc(v, "statm")
	if err != nil {
		return 0, err
	}
	var size, resident int
	if _, err := fmt.Sscan(text, &size, &resident); err != nil {
		return 0, &Error{Op: "read memory", Kind: KindSetup, Err: err}
	}
	return resident * os.Getpagesize(), nil
}
