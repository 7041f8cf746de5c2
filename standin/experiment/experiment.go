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

// Error is the error type of package experiment. Op is the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("experiment: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Experiment is a named experiment that answers one question about the fleet.
type Experiment struct {
	Name     string
	Question string
	Run      func(ctx context.Context, env *Env) (*Result, error)
}

// Env is the environment of an experiment.
type Env struct {
	// NodeProgram is the path of the node's executable.
	NodeProgram string
	// Seed is the seed of the random arrivals.
	Seed uint64
	// Progress receives a progress line for each load run.
	Progress io.Writer
}

// Result is the outcome of an experiment.
type Result struct {
	Rows  []Row
	Plots []Plot
}

// Row is one measure of a report with its target and figure. Met reports whether
// the figure meets the target.
type Row struct {
	Measure  string
	Target   string
	Figure   string
	Baseline string
	Met      bool
}

// Plot is a line plot. X and Y are the labels of its axes.
type Plot struct {
	Title, X, Y string
	Lines       []Line
}

// Line is a named line of a plot, with the coordinates of its points.
type Line struct {
	Name string
	X, Y []float64
}

// All holds all experiments.
var All = []Experiment{addedLatency, detection, overload, headOfLine, cost}

// startFleet starts a fleet in a temporary folder. The caller must call the
// returned function, which stops the fleet. It removes the folder unless the stop
// fails.
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

// startTimeout limits the start of a fleet.
const startTimeout = time.Minute

// runLoad sends the requests of a plan with the seed of e and prints the progress
// under the name what.
func (e *Env) runLoad(ctx context.Context, f *fleet.Fleet, what string, p load.Plan) *load.Report {
	p.Seed = e.Seed
	r := &load.Runner{Fleet: f, Plan: p, Progress: func(elapsed time.Duration, sent, useful int) {
		fmt.Fprintf(e.Progress, "\r%s: %3.0f s, %d ended, %d useful   ", what, elapsed.Seconds(), sent, useful)
	}}
	report := r.Run(ctx)
	fmt.Fprintln(e.Progress)
	return report
}

// violationsRow returns the row that every experiment with load reports: the
// number of wrong outcomes in all runs. Its target is zero.
func violationsRow(rs ...*load.Report) Row {
	var v load.Violations
	notSent := 0
	for _, r := range rs {
		v.Double += r.Violations.Double
		v.FalseNotRun += r.Violations.FalseNotRun
		v.Crossed += r.Violations.Crossed
		v.Phantom += r.Violations.Phantom
		notSent += r.NotSent
	}
	return Row{
		Measure: "double runs, false \"not run\", crossed answers, answers without a run", Target: "0",
		Figure: fmt.Sprintf("%d, %d, %d, %d (requests that the load tool could not send: %d)", v.Double, v.FalseNotRun,
			v.Crossed, v.Phantom, notSent),
		Met: v.Total() == 0 && notSent == 0,
	}
}

// quantile returns the q-th percentile of the time of answered requests.
func quantile(g *load.Group, q float64) time.Duration {
	return time.Duration(g.Answered.ValueAtQuantile(q))
}

// sumGroups returns the sum of the groups that match, or nil if none does.
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
