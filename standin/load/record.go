package load

import (
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassiarack.example/standin/fleet"
)

// The range of the histograms in nanoseconds, and their precision. Latencies
// outside the range are recorded as its nearest limit.
const (
	minLatency        = int64(time.Microsecond)
	maxLatency        = int64(2 * time.Minute)
	significantDigits = 3
)

// result is the outcome of one request as its caller saw it.
type result struct {
	arrival  arrival
	id       string
	status   int
	outcome  string
	instance string
	// latency is the time since the request was due.
	latency time.Duration
	// mismatched reports that the answer was that to another request.
	mismatched bool
	err        error
}

// ok reports whether the caller got a complete answer to its own request.
func (r *result) ok() bool { return r.err == nil && r.status == 200 && !r.mismatched }

// groupKey identifies the group of a result.
type groupKey struct {
	phase  int
	kind   string
	direct bool
}

// recorder collects results. Only one goroutine at a time uses it, except for
// notSent, which the scheduler counts at the same time.
type recorder struct {
	plan          *Plan
	notSent       atomic.Int64
	total         int
	useful        int
	groups        map[groupKey]*Group
	seconds       []Second
	callerResults map[string]callerResult
}

// callerResult is what the fleet reported to the caller of a request.
type callerResult struct {
	kind    *Kind
	status  int
	outcome string
	err     bool
}

// Group aggregates the requests of one phase and kind that were sent through the
// fleet or, if Direct is set, directly to the backend servers.
type Group struct {
	Phase  int    `json:"phase"`
	Kind   string `json:"kind"`
	Direct bool   `json:"direct"`
	Sent   int    `json:"sent"`
	// Useful counts complete answers within the deadline.
	Useful int `json:"useful"`
	// Late counts complete answers after the deadline.
	Late int `json:"late"`
	// NotRun counts requests that the fleet reported as not run.
	NotRun int `json:"notRun"`
	// Unknown counts requests whose caller cannot know whether they ran.
	Unknown int `json:"unknown"`
	// Errors counts all other requests.
	Errors int `json:"errors"`
	// Answered and Refused hold the latencies in nanoseconds, since the due time, of
	// complete answers and of requests reported as not run.
	Answered *hdrhistogram.Histogram `json:"-"`
	Refused  *hdrhistogram.Histogram `json:"-"`
}

// Second counts the requests that were due in one second of a run.
type Second struct {
	Sent   int `json:"sent"`
	Useful int `json:"useful"`
	// Instances has the number of answers of each instance.
	Instances map[string]int `json:"instances"`
}

func newRecorder(p *Plan) *recorder {
	return &recorder{plan: p, groups: make(map[groupKey]*Group), callerResults: make(map[string]callerResult)}
}

// add records the outcome of one request.
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

// outcomeMismatched is the recorded outcome of a request whose caller got the
// answer to another request.
const outcomeMismatched = "crossed"

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// No error is possible, as the value is within the range.
	_ = h.RecordValue(min(max(int64(d), minLatency), maxLatency))
}

// addToSecond counts a request in the second in which it was due.
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

// Report holds the results of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// NotSent counts requests that were due while the load generator was saturated.
	NotSent int      `json:"notSent"`
	Groups  []*Group `json:"groups"`
	Seconds []Second `json:"seconds"`
	// Violations counts violated guarantees; all counts must be zero.
	Violations Violations `json:"violations"`
}

// Violations counts the requests for which the fleet violated a guarantee.
type Violations struct {
	// Double counts non-idempotent requests that ran more than once.
	Double int `json:"double"`
	// FalseNotRun counts requests that ran although the fleet reported them to the
	// caller as not run.
	FalseNotRun int `json:"falseNotRun"`
	// Crossed counts requests that got the answer to another request.
	Crossed int `json:"crossed"`
	// Phantom counts complete answers to requests that never ran.
	Phantom int `json:"phantom"`
}

// Total returns the sum of all counts.
func (v Violations) Total() int { return v.Double + v.FalseNotRun + v.Crossed + v.Phantom }

// report returns the results, checked against the executions that the backend
// servers of f counted.
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

// check counts a violation if the result t contradicts the number of runs.
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
