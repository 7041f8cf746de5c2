package health

import "time"

// Source tells where an observation was made.
type Source uint8

// Sources.
const (
	// SourceGate is the gate beside the instance, which sees all its requests.
	SourceGate Source = iota
	// SourceEntry is a node that handed a request to the gate of the instance.
	SourceEntry
	sources
)

// Kind is what was observed.
type Kind uint8

// Kinds of observations. Started opens a request that one of the others ends.
const (
	// Started: the backend server got the request.
	Started Kind = iota
	// Answered: the backend server answered.
	Answered
	// Failed: the backend server answered with an error, or broke the answer off.
	Failed
	// Silent: no word came from the gate; only an entry observes this.
	NoReply
	// Ended: the request ended for a reason that says nothing about the
	// instance, such as a caller that went away.
	Aborted
)

// Observation is one event of a request.
type Observation struct {
	Service  string
	Instance string
	// VM is the name of the VM of the instance.
	VM string
	// Route identifies requests that take about the same time.
	Route  string
	Source Source
	Kind   Kind
	// ID joins Started with the observation that ends the request.
	ID uint64
	// Time is the time in the backend server, for Answered and Failed.
	Time time.Duration
	// Cold is set while the instance ramps up after a start.
	Cold bool
}

// Hypothesis is a way in which an instance may be faulty.
type Hypothesis uint8

// Hypotheses.
const (
	// Errors: a share of the requests fails.
	Errors Hypothesis = iota
	// Slow: all requests take several times longer.
	Slow
	// Hangs: a share of the requests gets no answer.
	Hangs
	hypotheses
)

// String implements fmt.Stringer.
func (h Hypothesis) String() string { return [...]string{"errors", "slow", "hangs"}[h] }

// Ratios holds the log likelihood ratio of an observation for each hypothesis.
type Ratios [hypotheses]float64

// Cause tells where the fault is.
type Cause string

// Causes. Only CauseServer and CauseLink speak against an instance.
const (
	// CauseServer: the backend server is worse than its siblings.
	CauseServer Cause = "server"
	// CauseLink: the gate does not answer this node. The link, in one or both
	// directions, or the VM of the gate is at fault.
	CauseLink Cause = "link"
	// CauseStraggler: a few requests ran long, as they do at the siblings.
	CauseStraggler Cause = "straggler"
	// CauseCold: the instance just started.
	CauseColdStart Cause = "cold-start"
	// CauseService: the siblings got worse at the same time.
	CauseServiceWide Cause = "service-wide"
	// CauseSelf: most VMs are silent to this node, so the node itself is at
	// fault.
	CauseSelf Cause = "self"
)

// Verdict is the judgement of an instance that stands out.
type Verdict struct {
	Service  string
	Instance string
	VM       string
	Source   Source
	Cause    Cause
	// Hypothesis is the most likely fault of a backend server.
	Hypothesis Hypothesis
	// Samples and Bad count the observations since the evidence began.
	Samples, Bad int
	// Score is the evidence as a multiple of the threshold: 1 or more is enough
	// to ask for an ejection. Raw is the score without the comparison with the
	// siblings.
	Score, Raw float64
	// Confidence is the probability that the instance is faulty.
	Confidence float64
	// Siblings is the number of observations of siblings in the same time.
	Siblings int
	// Since is when the evidence began.
	Since time.Time
}
