package load

import (
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassiarack.example/standin/fleet"
)

// Range of the histograms. Latencies beyond it are recorded as the largest.
const (
	minLatency        = int64(time.Microsecond)
	maxLatency        = int64(2 * time.Minute)
	significantDigits = 3
)

// result is what happened to one request.
type result struct {
	arrival    arrival
	id         string
	status     int
	outcome    string
	instance   string
	latency    time.Duration
	mismatched bool
	err        error
}

// ok reports whether the caller got its whole answer.
func (r *result) ok() bool { return r.err == nil && r.status == 200 && !r.mismatched }

// groupKey groups results.
type groupKey struct {
	phase  int
	kind   string
	direct bool
}

// recorder collects results. One goroutine uses it, but for notSent.
type recorder struct {
	plan          *Plan
	notSent       atomic.Int64
	total         int
	useful        int
	groups        map[groupKey]*Group
	seconds       []Second
	callerResults map[string]callerResult
}

// callerResult is what the caller of a request was told.
type callerResult struct {
	kind    *Kind
	status  int
	outcome string
	err     bool
}

// Group sums up the requests of one phase, kind and way.
type Group struct {
	Phase  int    `json:"phase"`
	Kind   string `json:"kind"`
	Direct bool   `json:"direct"`
	Sent   int    `json:"sent"`
	// Useful counts whole answers within the deadline.
	Useful int `json:"useful"`
	Late   int `json:"late"`
	NotRun int `json:"notRun"`
	// Unknown counts requests whose caller cannot know whether they ran.
	Unknown int `json:"unknown"`
	Errors  int `json:"errors"`
	// Answered and Refused hold latencies from the due time.
	Answered *hdrhistogram.Histogram `json:"-"`
	Refused  *hdrhistogram.Histogram `json:"-"`
}

// Second is one second of a run.
type Second struct {
	Sent      int            `json:"sent"`
	Useful    int            `json:"useful"`
	Instances map[string]int `json:"instances"`
}

func newRecorder(p *Plan) *recorder {
	return &recorder{plan: p, groups: make(map[groupKey]*Group), callerResults: make(map[string]callerResult)}
}

func (r *recorder) add(res result) {
	r.total++
	a := res.arrival
	k := groupKey{phase: a.phase, kind: a.kind.Name, direct: a.direct}
	g, ok := r.groups[k]
	if !ok {
		g = &Group{Phase: k.phase, Kind: k.kind, Direct: k.direct,
			Answered: hdrhistogram.New(minLatency, maxLatency, significantDigits), Refused: hdrhistogram.New(minLatency, maxLatency, significantDigits)}
		r.groups[k] = g
	}
	g.Sent++
	useful := false
	switch {
	case res.ok() && res.latency <= r.plan.Timeout:
		g.Useful++
		r.useful++
		useful = true
		record(g.Answered, res.latency)
	case res.ok():
		g.Late++
		record(g.Answered, res.latency)
	case res.err == nil && res.outcome == "not-run":
		g.NotRun++
		record(g.Refused, res.latency)
	case res.err != nil || res.outcome == "unknown":
		g.Unknown++
	default:
		g.Errors++
	}
	r.addToSecond(a.due, useful, res.instance)
	r.callerResults[res.id] = callerResult{kind: a.kind, status: res.status, outcome: res.outcome, err: res.err != nil}
	if res.mismatched {
		r.callerResults[res.id] = callerResult{kind: a.kind, outcome: outcomeMismatched}
	}
}

// outcomeMismatched marks an answer that was not the caller's own.
const outcomeMismatched = "crossed"

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the range, so that no error is possible.
	_ = h.RecordValue(min(max(int64(d), minLatency), maxLatency))
}

func (r *recorder) addToSecond(due time.Duration, useful bool, instance string) {
	i := int(due / time.Second)
	for len(r.seconds) <= i {
		r.seconds = append(r.seconds, Second{Instances: make(map[string]int)})
	}
	r.seconds[i].Sent++
	if useful {
		r.seconds[i].Useful++
	}
	if instance != "" {
		r.seconds[i].Instances[instance]++
	}
}

// Report is the outcome of a run.
type Report struct {
	Seed    uint64   `json:"seed"`
	NotSent int      `json:"notSent"`
	Groups  []*Group `json:"groups"`
	Seconds []Second `json:"seconds"`
	// Violations counts broken promises; all must be zero.
	Violations Violations `json:"violations"`
}

// Violations counts broken promises.
type Violations struct {
	// Double counts non-idempotent requests that ran more than once.
	Double int `json:"double"`
	// FalseNotRun counts requests that ran although the caller was told that
	// they did not.
	FalseNotRun int `json:"falseNotRun"`
	// Crossed counts answers of other requests.
	Crossed int `json:"crossed"`
	// Phantom counts complete answers of requests that never ran.
	Phantom int `json:"phantom"`
}

// Total returns the sum.
func (v Violations) Total() int { return v.Double + v.FalseNotRun + v.Crossed + v.Phantom }

func (r *recorder) report(f *fleet.Fleet) *Report {
	out := &Report{Seed: r.plan.Seed, NotSent: int(r.notSent.Load()), Seconds: r.seconds}
	for _, g := range r.groups {
		out.Groups = append(out.Groups, g)
	}
	runs := make(map[string]int)
	for _, v := range f.VMs {
		for id, n := range v.Server.Executions() {
			runs[id] += n
		}
	}
	for id, t := range r.callerResults {
		out.Violations.check(t, runs[id])
	}
	return out
}

func (v *Violations) check(t callerResult, runs int) {
	switch {
	case t.outcome == outcomeMismatched:
		v.Crossed++
	case runs > 1 && !t.kind.Idempotent:
		v.Double++
	case t.outcome == "not-run" && !t.err && runs > 0:
		v.FalseNotRun++
	case t.status == 200 && !t.err && runs == 0:
		v.Phantom++
	}
}
