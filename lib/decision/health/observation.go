package health

import "time"

// Source is the place where an observation was made.
type Source uint8

// Sources of observations.
const (
	// SourceGate is the gate on the VM of the instance, which sees all requests
	// to the instance.
	SourceGate Source = iota
	// SourceEntry is a node that handed a request to the gate of the instance. It
	// sees only the requests that it handed over.
	SourceEntry
	sources
)

// Kind is the type of event that was observed.
type Kind uint8

// Kinds of observations. A request begins with Started and ends with one of the
// other kinds.
const (
	// Started means that the backend server received the request.
	Started Kind = iota
	// Answered means that the backend server answered without an error.
	Answered
	// Failed means that the backend server answered with an error or broke off
	// its answer.
	Failed
	// NoReply means that the gate sent no reply. Only an entry observes this.
	NoReply
	// Aborted means that the request ended for a reason unrelated to the
	// instance, such as a caller that closed its connection.
	Aborted
)

// Observation is one event of a request.
type Observation struct {
	Service  string
	Instance string
	// VM is the name of the VM of the instance.
	VM string
	// Route identifies requests with similar service times.
	Route  string
	Source Source
	Kind   Kind
	// ID identifies the request. The Started observation and the observation that
	// ends the request have the same ID.
	ID uint64
	// Time is the time that the request spent in the backend server. It is set
	// for Answered and Failed.
	Time time.Duration
	// Cold is set while the instance warms up after a start.
	Cold bool
}

// Hypothesis is a way in which an instance may be faulty.
type Hypothesis uint8

// Hypotheses.
const (
	// Errors means that a share of the requests fails.
	Errors Hypothesis = iota
	// Slow means that all requests take several times longer.
	Slow
	// Hangs means that a share of the requests gets no answer.
	Hangs
	hypotheses
)

// String implements fmt.Stringer.
func (h Hypothesis) String() string { return [...]string{"errors", "slow", "hangs"}[h] }

// Ratios holds the log-likelihood ratio of an observation for each hypothesis,
// as a natural logarithm.
type Ratios [hypotheses]float64

// Cause is the attributed location or reason of a fault.
type Cause string

// Causes. Only CauseServer and CauseLink are evidence against an instance.
const (
	// CauseServer means that the backend server performs worse than its siblings.
	CauseServer Cause = "server"
	// CauseLink means that the gate does not reply to this node. The link, in one
	// or both directions, or the VM of the gate is faulty.
	CauseLink Cause = "link"
	// CauseStraggler means that a few requests took long, as some also do at the
	// siblings.
	CauseStraggler Cause = "straggler"
	// CauseColdStart means that the instance started recently.
	CauseColdStart Cause = "cold-start"
	// CauseServiceWide means that the siblings got worse at the same time.
	CauseServiceWide Cause = "service-wide"
	// CauseSelf means that most VMs do not reply to this node, so that the node
	// itself is faulty.
	CauseSelf Cause = "self"
)

// Verdict is the result of evaluating an instance whose score is suspicious.
type Verdict struct {
	Service  string
	Instance string
	VM       string
	Source   Source
	Cause    Cause
	// Hypothesis is the most likely fault of a backend server.
	Hypothesis Hypothesis
	// Samples is the number of observations since the evidence began, and Bad
	// the number of those that are more likely at a faulty instance.
	Samples, Bad int
	// Score is the evidence as a multiple of the threshold: 1 or more is enough
	// to request an ejection. It is 0 if the fault is one of the whole service.
	// Raw is the score before that comparison with the siblings.
	Score, Raw float64
	// Confidence is the probability that the instance is faulty.
	Confidence float64
	// Siblings is the number of observations of siblings since Since.
	Siblings int
	// Since is the time at which the evidence began.
	Since time.Time
}
