package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"cassiarack.example/lib/clock"

	"github.com/peterbourgon/ff/v4"

	"cassiarack.example/standin/backend"
	"cassiarack.example/standin/fleet"
	"cassiarack.example/standin/load"
)

const (
	demoRate    = 300.0
	demoTimeout = 2 * time.Second
	// demoGrayFailureAt is the time after which one backend server has a gray
	// failure: it still answers probes, but serves requests slowly.
	demoGrayFailureAt = 5 * time.Second
	demoLength        = 20 * time.Second
	// demoWarmUp is the key retention of 2 s, plus 4 s in which an earlier owner of
	// an idempotency key may still grant claims on it, plus 1 s in reserve.
	demoWarmUp = 7 * time.Second
)

func demoCommand() *ff.Command {
	fs := ff.NewFlagSet("demo")
	node := fs.String('n', "node", ".bin/cassiarack-node", "node program")
	seed := fs.Uint64(0, "seed", 1, "seed of the arrivals")
	return &ff.Command{
		Name:  "demo",
		Usage: "cassiarack-standin demo [FLAGS]",
		ShortHelp: "run both deployments of the brief at their real sizes, send traffic, " +
			"give one backend server a gray failure, and show the effect",
		Flags: fs,
		Exec: func(ctx context.Context, _ []string) error {
			for _, d := range []fleet.Deployment{fleet.Latvia, fleet.RioGrandeDoSul} {
				if err := demo(ctx, d, *node, *seed); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// demo runs one deployment with the node program at the path node. Each service
// gets requests of three kinds: reads, which are idempotent, and requests that
// must run at most once, without and with an idempotency key. It returns an error
// if the fleet does not start or stop, or if a guarantee was violated.
func demo(ctx context.Context, d fleet.Deployment, node string, seed uint64) error {
	folder, err := os.MkdirTemp("", "cassiarack-demo-")
	if err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	// A new owner of idempotency keys answers "unknown" for one retention, as it
	// has no record of earlier claims. A short retention lets the load start soon.
	f := &fleet.Fleet{Deployment: d, NodeProgram: node, Folder: folder, Settings: map[string]any{"keyRetention": "2s"}}
	start, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	begin := time.Now()
	if err := f.Start(start); err != nil {
		return fmt.Errorf("start %s: %w (logs in %s)", d.Name, err, folder)
	}
	fmt.Printf("%s: %d nodes in %d data centres serve after %v; logs in %s\n", d.Name, len(f.VMs),
		len(d.DataCentres), time.Since(begin).Round(time.Millisecond), folder)
	if !clock.Sleep(ctx, demoWarmUp) {
		return errors.Join(ctx.Err(), f.Stop())
	}
	gray := f.VMs[len(f.VMs)-1]
	r := &load.Runner{Fleet: f, Plan: demoPlan(d, gray.Name, seed), Progress: printProgress}
	fmt.Printf("%s has a gray failure after %v: it answers probes, but takes 20 times as long\n", gray.Name, demoGrayFailureAt)
	report := r.Run(ctx)
	printReport(report, d, gray.Name)
	if err := f.Stop(); err != nil {
		return fmt.Errorf("stop %s: %w", d.Name, err)
	}
	if n := report.Violations.Total(); n > 0 {
		return fmt.Errorf("%s: %d violations: %+v", d.Name, n, report.Violations)
	}
	fmt.Printf("%s: stopped cleanly\n\n", d.Name)
	return ctx.Err()
}

// demoPlan returns the load of the demonstration: three kinds of requests for each
// service, and the gray failure of the instance gray.
func demoPlan(d fleet.Deployment, gray string, seed uint64) load.Plan {
	p := load.Plan{
		Seed:    seed,
		Phases:  []load.Phase{{Duration: demoLength, Rate: demoRate}},
		Timeout: demoTimeout,
		Events:  []load.Event{{At: demoGrayFailureAt, Instance: gray, Fault: backend.Fault{Slowdown: 20}}},
	}
	for _, s := range d.Services {
		p.Kinds = append(p.Kinds,
			load.Kind{Name: s.Name + " read", Service: s.Name, Method: "GET", Path: "items", Weight: 8, Idempotent: true},
			load.Kind{Name: s.Name + " accept", Service: s.Name, Method: "POST", Path: "accept", Weight: 1, Body: 500},
			load.Kind{Name: s.Name + " keyed", Service: s.Name, Method: "POST", Path: "pay", Weight: 1, Body: 200,
				Keyed: true})
	}
	return p
}

// printProgress reports how many requests ended and how many of them were answered
// within their deadline.
func printProgress(elapsed time.Duration, ended, inTime int) {
	fmt.Printf("  %3.0f s: %d requests ended, %d answered in time\n", elapsed.Seconds(), ended, inTime)
}

// printReport prints the outcomes and latencies of each kind of request, the
// answers of each instance of the last service by second, and the violations.
func printReport(r *load.Report, d fleet.Deployment, gray string) {
	slices.SortFunc(r.Groups, func(a, b *load.Group) int { return len(a.Kind) - len(b.Kind) })
	fmt.Println("  kind                  sent  useful  late  not run  unknown   p50       p99")
	for _, g := range r.Groups {
		fmt.Printf("  %-20s %5d  %6d  %4d  %7d  %7d   %-8v  %v\n", g.Kind, g.Sent, g.Useful, g.Late, g.NotRun, g.Unknown,
			quantile(g, 50), quantile(g, 99))
	}
	service := d.Services[len(d.Services)-1].Name
	fmt.Printf("  requests answered by each instance of %s, by second:\n", service)
	for i, s := range r.Seconds {
		fmt.Printf("  %3d s:", i)
		for n := range d.Services[len(d.Services)-1].Instances {
			name := fmt.Sprintf("%s-%02d", service, n+1)
			mark := " "
			if name == gray && time.Duration(i)*time.Second >= demoGrayFailureAt {
				mark = "*"
			}
			fmt.Printf(" %4d%s", s.Instances[name], mark)
		}
		fmt.Println()
	}
	fmt.Printf("  * gray failure. Violations (duplicate runs, false refusals, mismatched answers, answers without a run): %d\n", r.Violations.Total())
}

// quantile returns the latency below which q percent of the answers of g lie,
// rounded to 0.1 ms.
func quantile(g *load.Group, q float64) time.Duration {
	return time.Duration(g.Answered.ValueAtQuantile(q)).Round(100 * time.Microsecond)
}
