package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"cassiarack.example/standin/fleet"
	"cassiarack.example/standin/load"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindUnknown Kind = "unknown experiment"
	KindSetup   Kind = "set-up failed"
	KindWrite   Kind = "report not written"
)

// Error is the error of package experiment.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("experiment: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Experiment answers one question about the fleet.
type Experiment struct {
	Name     string
	Question string
	Run      func(ctx context.Context, env *Env) (*Result, error)
}

// Env is what experiments need.
type Env struct {
	// NodeProgram is the path of the node program.
	NodeProgram string
	// Seed makes the arrivals repeatable.
	Seed uint64
	// Progress receives a line about each step.
	Progress io.Writer
}

// Result is the outcome of an experiment.
type Result struct {
	Rows  []Row
	Plots []Plot
}

// Row is one measure.
type Row struct {
	Measure  string
	Target   string
	Figure   string
	Baseline string
	Met      bool
}

// Plot is a set of lines.
type Plot struct {
	Title, X, Y string
	Lines       []Line
}

// Line is one line of a plot.
type Line struct {
	Name string
	X, Y []float64
}

// All are the experiments in the order of the report.
var All = []Experiment{addedLatency, detection, overload, headOfLine, cost}

// startFleet starts a fleet. The caller must call the returned function.
func (e *Env) startFleet(ctx context.Context, d fleet.Deployment) (*fleet.Fleet, func() error, error) {
	folder, err := os.MkdirTemp("", "cassiarack-experiment-")
	if err != nil {
		return nil, nil, &Error{Op: "make folder", Kind: KindSetup, Err: err}
	}
	f := &fleet.Fleet{Deployment: d, NodeProgram: e.NodeProgram, Folder: folder}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Start(ctx); err != nil {
		return nil, nil, &Error{Op: "start fleet", Kind: KindSetup, Err: err}
	}
	return f, func() error {
		if err := f.Stop(); err != nil {
			return &Error{Op: "stop fleet (logs in " + folder + ")", Kind: KindSetup, Err: err}
		}
		return os.RemoveAll(folder)
	}, nil
}

const startTimeout = time.Minute

// runLoad sends a plan and shows its progress.
func (e *Env) runLoad(ctx context.Context, f *fleet.Fleet, what string, p load.Plan) *load.Report {
	p.Seed = e.Seed
	r := &load.Runner{Fleet: f, Plan: p, Progress: func(elapsed time.Duration, sent, useful int) {
		fmt.Fprintf(e.Progress, "\r%s: %3.0f s, %d ended, %d useful   ", what, elapsed.Seconds(), sent, useful)
	}}
	report := r.Run(ctx)
	fmt.Fprintln(e.Progress)
	return report
}

// violationsRow is the row that every experiment with traffic reports.
func violationsRow(rs ...*load.Report) Row {
	var v load.Violations
	lost := 0
	for _, r := range rs {
		v.Double += r.Violations.Double
		v.FalseNotRun += r.Violations.FalseNotRun
		v.Crossed += r.Violations.Crossed
		v.Phantom += r.Violations.Phantom
		lost += r.NotSent
	}
	return Row{
		Measure: "double runs, false \"not run\", crossed answers, answers without a run", Target: "0",
		Figure: fmt.Sprintf("%d, %d, %d, %d (requests that the load tool could not send: %d)", v.Double, v.FalseNotRun,
			v.Crossed, v.Phantom, lost),
		Met: v.Total() == 0 && lost == 0,
	}
}

func quantile(g *load.Group, q float64) time.Duration {
	return time.Duration(g.Answered.ValueAtQuantile(q))
}

// sumGroups returns the sum of the groups that match.
func sumGroups(r *load.Report, match func(*load.Group) bool) *load.Group {
	var sum *load.Group
	for _, g := range r.Groups {
		switch {
		case !match(g):
		case sum == nil:
			copied := *g
			sum = &copied
		default:
			sum.Sent += g.Sent
			sum.Useful += g.Useful
			sum.Late += g.Late
			sum.NotRun += g.NotRun
			sum.Unknown += g.Unknown
			sum.Errors += g.Errors
			sum.Answered.Merge(g.Answered)
			sum.Refused.Merge(g.Refused)
		}
	}
	return sum
}
