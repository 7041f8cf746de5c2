package experiment

import (
	"context"
	"fmt"
	"time"

	"cassiarack.example/standin/fleet"
	"cassiarack.example/standin/load"
)

// addedLatencyTarget limits the time that the fleet adds at p99, without the delay
// of the network.
const addedLatencyTarget = 1500 * time.Microsecond

var addedLatency = Experiment{
	Name:     "latency",
	Question: "How much time does the fleet add to a request, against going straight to the backend server?",
	Run: func(ctx context.Context, env *Env) (*Result, error) {
		f, stop, err := env.startFleet(ctx, fleet.Latvia)
		if err != nil {
			return nil, err
		}
		const rate, work = 400, 5 * time.Millisecond
		p := load.Plan{Phases: []load.Phase{{Duration: 25 * time.Second, Rate: rate}, {Duration: 20 * time.Second, Rate: rate}},
			Timeout: time.Second, DirectShare: 0.5}
		for _, s := range fleet.Latvia.Services {
			p.Kinds = append(p.Kinds,
				load.Kind{Name: "idempotent", Service: s.Name, Method: "GET", Path: "items", Weight: 1, Idempotent: true, Work: work},
				load.Kind{Name: "non-idempotent", Service: s.Name, Method: "POST", Path: "accept", Weight: 1, Body: 500, Work: work})
		}
		r := env.runLoad(ctx, f, "latency", p)
		if err := stop(); err != nil {
			return nil, err
		}
		res := &Result{}
		for _, kind := range []string{"idempotent", "non-idempotent"} {
			res.Rows = append(res.Rows, addedLatencyRows(r, kind)...)
		}
		res.Rows = append(res.Rows, violationsRow(r))
		return res, nil
	},
}

// addedLatencyRows compares the requests through the fleet with the direct ones.
// It uses the second phase only, because connections are opened in the first.
func addedLatencyRows(r *load.Report, kind string) []Row {
	groupOf := func(direct bool) *load.Group {
		return sumGroups(r, func(g *load.Group) bool { return g.Phase == 1 && g.Kind == kind && g.Direct == direct })
	}
	viaFleet, toBackend := groupOf(false), groupOf(true)
	var rows []Row
	for _, q := range []float64{50, 99, 99.9} {
		added := quantile(viaFleet, q) - quantile(toBackend, q)
		row := Row{Measure: fmt.Sprintf("time added to %s requests at p%v", kind, q), Target: "none stated", Met: true,
			Figure:   fmt.Sprintf("%v (%v through the fleet)", round(added), round(quantile(viaFleet, q))),
			Baseline: fmt.Sprintf("%v straight", round(quantile(toBackend, q)))}
		if q == 99 {
			row.Target, row.Met = "below "+addedLatencyTarget.String(), added < addedLatencyTarget
		}
		rows = append(rows, row)
	}
	return rows
}

// round rounds to the precision of the report.
func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
