package experiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cassiarack.example/standin/fleet"
	"cassiarack.example/standin/load"
)

const (
	// overloadWork is the service time of each request. It makes the capacity of
	// the service so small that this machine can send ten times as much load.
	overloadWork    = 100 * time.Millisecond
	overloadTimeout = time.Second
	// overloadPhase is the duration of each phase of the load.
	overloadPhase = 8 * time.Second
	// goodputTarget is the share of the possible answers that must be useful:
	// complete and within the deadline.
	goodputTarget = 0.95
	// refusalTarget is the time within which a caller must get a refusal.
	refusalTarget = 10 * time.Millisecond
)

// quotes is the deployment of the overload and detection experiments: one service
// with 12 instances of 3 slots each.
var quotes = fleet.Deployment{
	Name: "latvia quotes", Region: fleet.Latvia.Region, DataCentres: fleet.Latvia.DataCentres,
	Services: []fleet.Service{fleet.Latvia.Services[1]},
}

var overload = Experiment{
	Name:     "crest",
	Question: "How much useful work is done when the demand exceeds the capacity, and right after?",
	Run: func(ctx context.Context, env *Env) (*Result, error) {
		s := quotes.Services[0]
		capacity := float64(s.Instances*s.Slots) / overloadWork.Seconds()
		factors := []float64{1, 2, 3, 10, 0.8}
		res := &Result{}
		plot := Plot{Title: "Useful answers at the crest", X: "second", Y: "answers a second"}
		var reports []*load.Report
		for _, direct := range []float64{0, 1} {
			r, err := runOverload(ctx, env, capacity, factors, direct)
			if err != nil {
				return nil, err
			}
			reports = append(reports, r)
			plot.Lines = append(plot.Lines, goodputLine(r, []string{"cassiarack", "straight, round robin"}[int(direct)]))
		}
		for i, f := range factors {
			res.Rows = append(res.Rows, goodputRow(reports, i, f, capacity))
		}
		res.Rows = append(res.Rows, refusalRow(reports[0]), violationsRow(reports[0]))
		res.Plots = []Plot{plot}
		return res, nil
	},
}

// runOverload starts a fleet and sends a phase of load for each factor of the
// capacity. The share direct of the requests goes straight to the backend servers.
// capacity is in requests per second.
func runOverload(ctx context.Context, env *Env, capacity float64, factors []float64, direct float64) (*load.Report, error) {
	f, stop, err := env.startFleet(ctx, quotes)
	if err != nil {
		return nil, err
	}
	p := load.Plan{Timeout: overloadTimeout, DirectShare: direct, Kinds: []load.Kind{
		{Name: "read", Service: "quotes", Method: "GET", Path: "items", Weight: 4, Idempotent: true, Work: overloadWork},
		{Name: "accept", Service: "quotes", Method: "POST", Path: "accept", Weight: 1, Body: 200, Work: overloadWork},
	}}
	for _, x := range factors {
		p.Phases = append(p.Phases, load.Phase{Duration: overloadPhase, Rate: capacity * x})
	}
	r := env.runLoad(ctx, f, fmt.Sprintf("crest, direct %v", direct), p)
	return r, stop()
}

// phaseGroup returns the sum of the groups of a phase.
func phaseGroup(r *load.Report, i int) *load.Group {
	return sumGroups(r, func(g *load.Group) bool { return g.Phase == i })
}

// goodputRow compares the useful answers of phase i through the fleet, in
// reports[0], with those of the baseline, in reports[1].
func goodputRow(reports []*load.Report, i int, factor, capacity float64) Row {
	possible := min(factor, 1) * capacity * overloadPhase.Seconds()
	share := func(r *load.Report) float64 {
		g := phaseGroup(r, i)
		// The number of arrivals is random, and no more requests can be answered
		// than were sent.
		return float64(g.Useful) / min(possible, float64(g.Sent))
	}
	return Row{
		Measure: fmt.Sprintf("useful answers at %v times capacity (phase %d)", factor, i+1),
		Target:  fmt.Sprintf("%.0f%% of what capacity allows", goodputTarget*100),
		Figure:  fmt.Sprintf("%.1f%%", share(reports[0])*100), Baseline: fmt.Sprintf("%.1f%%", share(reports[1])*100),
		Met: share(reports[0]) >= goodputTarget,
	}
}

// refusalRow checks the time until a caller gets a refusal, in all phases but the
// last.
func refusalRow(r *load.Report) Row {
	g := sumGroups(r, func(g *load.Group) bool { return g.Phase < 4 })
	p99 := time.Duration(g.Refused.ValueAtQuantile(99))
	return Row{Measure: "p99 of the time until a refusal is told", Target: "below " + refusalTarget.String(),
		Figure: round(p99).String(), Met: p99 < refusalTarget}
}

// goodputLine plots the useful answers in each second.
func goodputLine(r *load.Report, name string) Line {
	l := Line{Name: name}
	for i, s := range r.Seconds {
		l.X, l.Y = append(l.X, float64(i)), append(l.Y, float64(s.Useful))
	}
	return l
}

var headOfLine = Experiment{
	Name:     "headOfLine",
	Question: "How much longer do short requests take when 1 in 100 requests runs 50 times longer?",
	Run: func(ctx context.Context, env *Env) (*Result, error) {
		const work, factor, share, target = 10 * time.Millisecond, 50, 0.01, 1.5
		s := fleet.RioGrandeDoSul.Services[1]
		d := fleet.Deployment{Name: "pedidos", Region: fleet.RioGrandeDoSul.Region,
			DataCentres: fleet.RioGrandeDoSul.DataCentres, Services: []fleet.Service{s}}
		// The mean load, stragglers included, is half of the capacity. The other
		// half absorbs the variation and the slots that stragglers occupy.
		rate := 0.5 * float64(s.Instances*s.Slots) / (work.Seconds() * (1 + share*factor))
		res := &Result{}
		var p99 [2][2]time.Duration
		var reports []*load.Report
		for mode, direct := range []float64{0, 1} {
			for stragglers := range 2 {
				f, stop, err := env.startFleet(ctx, d)
				if err != nil {
					return nil, err
				}
				p := load.Plan{Timeout: 5 * time.Second, DirectShare: direct,
					Phases: []load.Phase{{Duration: 3 * time.Second, Rate: rate}, {Duration: 15 * time.Second, Rate: rate}},
					Kinds: []load.Kind{{Name: "short", Service: s.Name, Method: "GET", Path: "items", Weight: 1 - share,
						Idempotent: true, Work: work}}}
				if stragglers == 1 {
					// Stragglers use the same route, so that the entry node cannot
					// recognise them beforehand.
					p.Kinds = append(p.Kinds, load.Kind{Name: "straggler", Service: s.Name, Method: "GET", Path: "items",
						Weight: share, Idempotent: true, Work: factor * work})
				}
				r := env.runLoad(ctx, f, "headOfLine", p)
				if err := stop(); err != nil {
					return nil, err
				}
				p99[mode][stragglers] = quantile(sumGroups(r, func(g *load.Group) bool { return g.Phase == 1 && g.Kind == "short" }), 99)
				if mode == 0 {
					reports = append(reports, r)
				}
			}
		}
		ratio := func(mode int) float64 { return float64(p99[mode][1]) / float64(p99[mode][0]) }
		res.Rows = append(res.Rows, Row{
			Measure: "p99 of short requests with stragglers against without", Target: fmt.Sprintf("below %v times", target),
			Figure:   fmt.Sprintf("%.2f times (%v against %v)", ratio(0), round(p99[0][1]), round(p99[0][0])),
			Baseline: fmt.Sprintf("%.2f times (%v against %v)", ratio(1), round(p99[1][1]), round(p99[1][0])),
			Met:      ratio(0) < target,
		}, violationsRow(reports...))
		return res, nil
	},
}

// experimentNames returns the sorted names of all experiments.
func experimentNames() []string {
	var out []string
	for _, e := range All {
		out = append(out, e.Name)
	}
	slices.Sort(out)
	return out
}
