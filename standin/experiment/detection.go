package experiment

import (
	"context"
	"fmt"
	"time"

	"cassiarack.example/standin/backend"
	"cassiarack.example/standin/load"
)

// detectionTarget is the time within which a gray failure must be detected with
// the association's rate of requests.
const detectionTarget = 2 * time.Second

var detection = Experiment{
	Name:     "detection",
	Question: "How long does a gray backend server keep getting its full share?",
	Run: func(ctx context.Context, env *Env) (*Result, error) {
		res := &Result{}
		var reports []*load.Report
		for _, c := range []struct {
			name  string
			fault backend.Fault
		}{
			{"10% errors", backend.Fault{ErrorShare: 0.1}},
			{"5 times slower", backend.Fault{Slowdown: 5}},
			{"hangs on 1 in 5", backend.Fault{HangShare: 0.2}},
		} {
			r, detectedAfter, err := runDetection(ctx, env, c.name, c.fault)
			if err != nil {
				return nil, err
			}
			reports = append(reports, r)
			row := Row{Measure: "time until the share of the gray server fell: " + c.name,
				Target: "p99 below " + detectionTarget.String(), Baseline: "straight, round robin: never"}
			row.Met = detectedAfter > 0 && detectedAfter <= detectionTarget
			row.Figure = "not within the run"
			if detectedAfter > 0 {
				row.Figure = fmt.Sprintf("%v (one run, resolution 1 s)", detectedAfter)
			}
			res.Rows = append(res.Rows, row)
		}
		res.Rows = append(res.Rows, violationsRow(reports...))
		return res, nil
	},
}

// runDetection injects a gray failure into one instance of quotes. It returns the
// time from the fault to the end of the first second in which the instance got
// less than a third of an even share, or zero if that did not happen.
func runDetection(ctx context.Context, env *Env, name string, fault backend.Fault) (*load.Report, time.Duration, error) {
	const faultAt, rate = 8 * time.Second, 360
	f, stop, err := env.startFleet(ctx, quotes)
	if err != nil {
		return nil, 0, err
	}
	gray := "quotes-05"
	p := load.Plan{Timeout: 2 * time.Second, Phases: []load.Phase{{Duration: 25 * time.Second, Rate: rate}},
		Events: []load.Event{{At: faultAt, Instance: gray, Fault: fault}},
		Kinds: []load.Kind{
			{Name: "read", Service: "quotes", Method: "GET", Path: "items", Weight: 4, Idempotent: true},
			{Name: "accept", Service: "quotes", Method: "POST", Path: "accept", Weight: 1, Body: 200},
		}}
	r := env.runLoad(ctx, f, "detection, "+name, p)
	if err := stop(); err != nil {
		return nil, 0, err
	}
	evenShare := float64(rate) / float64(quotes.Services[0].Instances)
	for n, s := range r.Seconds {
		if time.Duration(n)*time.Second >= faultAt && float64(s.Instances[gray]) < evenShare/3 {
			return r, time.Duration(n+1)*time.Second - faultAt, nil
		}
	}
	return r, 0, nil
}
