package handover

import "time"

// Event is something that happened to an attempt, as the entry node sees it.
type Event string

// Events of an attempt.
const (
	// EventReserved reports that the gate returned a grant.
	EventReserved Event = "reserved"
	// EventRefused reports that the gate refused the attempt, which did not
	// start and cannot start later.
	EventRefused Event = "refused"
	// EventTimeout reports that an expected message did not arrive in time.
	EventTimeout Event = "silence"
	// EventCommit reports that the commit is about to be sent. It is recorded
	// before the send, because a send that returns an error may still have
	// delivered the commit.
	EventCommit Event = "commit"
	// EventLinkLost reports that the link that carries the attempt was lost.
	EventLinkLost Event = "link lost"
	// EventResponseHead reports that the head of the backend server's response
	// arrived.
	EventResponseHead Event = "head"
	// EventFailed reports that the gate has no response for the attempt,
	// although the work may have started.
	EventFailed Event = "failed"
	// EventSettledNotRun, EventSettledStarted and EventSettledUnknown report
	// the gate's reply to a settlement request.
	EventSettledNotRun  Event = "settled: not run"
	EventSettledStarted Event = "settled: started"
	EventSettledUnknown Event = "settled: unknown"
	// EventSettlementLost reports that no reply to a settlement request arrived
	// in time.
	EventSettlementLost Event = "settlement lost"
	// EventCallerDone reports that the caller's deadline passed or that the
	// caller cancelled the request.
	EventCallerDone Event = "over"
)

// Step is the next action of the entry node.
type Step string

// Steps of the entry node.
const (
	// StepWait waits for the next event.
	StepWait Step = "wait"
	// StepCommit sends the commit.
	StepCommit Step = "commit"
	// StepSettle requests a settlement from the gate on another connection.
	StepSettle Step = "settle"
	// StepAnswer ends the attempt and passes the response on to the caller.
	StepAnswer Step = "answer"
	// StepNotRun ends the attempt. The work did not run and will not run, so
	// the entry may try another gate.
	StepNotRun Step = "not run"
	// StepUnknown ends the attempt. The work may have run, so only idempotent
	// work may be tried again.
	StepUnknown Step = "unknown"
)

// IsFinal reports whether the step ends the attempt.
func (s Step) IsFinal() bool { return s == StepAnswer || s == StepNotRun || s == StepUnknown }

// DefaultMaxSettlements is the default limit of settlement requests for an
// attempt. The second request covers a reply that was lost with its connection.
const DefaultMaxSettlements = 2

type phase int

const (
	reserving phase = iota
	granted
	commitSent
	started
	ended
)

// EntryStateMachine decides the next step of one attempt at an entry node. Its
// zero value is an attempt whose reservation was requested. It is not safe for
// concurrent use.
type EntryStateMachine struct {
	// CommitNow means that the gate commits the attempt as soon as it reserves
	// a slot, without a separate commit message. It is set for idempotent work
	// only.
	CommitNow bool
	// MaxSettlements limits the settlement requests; zero means
	// DefaultMaxSettlements.
	MaxSettlements int

	phase          phase
	settleRequests int
	// settling is set while the reply to a settlement request is outstanding.
	settling bool
	// linkClosed is set when the link delivers no more messages of the gate or
	// the caller no longer waits for them.
	linkClosed bool
	finalStep  Step
}

// Handle applies an event and returns the next step. After a final step it
// returns that step again for every event. The time is not used: only the gate
// decides, by its own clock, whether a commit arrives in time.
func (e *EntryStateMachine) Handle(_ time.Time, ev Event) Step {
	if e.phase == ended {
		return e.finalStep
	}
	s := e.nextStep(ev)
	if s.IsFinal() {
		e.phase, e.finalStep = ended, s
	}
	return s
}

func (e *EntryStateMachine) nextStep(ev Event) Step {
	switch e.phase {
	case reserving:
		return e.stepWhileReserving(ev)
	case granted:
		return e.stepWhileGranted(ev)
	case commitSent:
		return e.stepAfterCommit(ev)
	default:
		return e.stepWhileStarted(ev)
	}
}

func (e *EntryStateMachine) stepWhileReserving(ev Event) Step {
	switch ev {
	case EventReserved:
		if e.CommitNow {
			e.phase = started
			return StepWait
		}
		e.phase = granted
		return StepCommit
	case EventRefused:
		return StepNotRun
	case EventTimeout, EventLinkLost, EventCallerDone, EventFailed:
		if e.CommitNow {
			return StepUnknown
		}
		// Work without CommitNow needs a commit to start, and none was sent.
		return StepNotRun
	}
	return StepWait
}

func (e *EntryStateMachine) stepWhileGranted(ev Event) Step {
	switch ev {
	case EventCommit:
		e.phase = commitSent
		return StepWait
	case EventRefused, EventLinkLost, EventCallerDone:
		return StepNotRun
	}
	return StepWait
}

// stepAfterCommit decides after the commit was sent, when it may or may not
// have reached the gate.
func (e *EntryStateMachine) stepAfterCommit(ev Event) Step {
	switch ev {
	case EventResponseHead:
		return StepAnswer
	case EventRefused, EventSettledNotRun:
		return StepNotRun
	case EventFailed:
		return StepUnknown
	case EventSettledStarted:
		e.settling, e.phase = false, started
		if e.linkClosed {
			return StepUnknown
		}
		return StepWait
	case EventSettledUnknown:
		e.settling, e.settleRequests = false, e.maxSettlements()
		return e.requestSettlement()
	case EventSettlementLost:
		e.settling = false
		return e.requestSettlement()
	case EventTimeout:
		return e.requestSettlement()
	case EventLinkLost, EventCallerDone:
		e.linkClosed = true
		return e.requestSettlement()
	}
	return StepWait
}

// requestSettlement returns StepSettle if no settlement request is outstanding
// and the limit allows another one. At the limit it keeps waiting while the
// link works, because the gate reports on it the response or the expiry of the
// grant.
func (e *EntryStateMachine) requestSettlement() Step {
	switch {
	case e.settling:
		return StepWait
	case e.settleRequests < e.maxSettlements():
		e.settleRequests++
		e.settling = true
		return StepSettle
	case e.linkClosed:
		return StepUnknown
	}
	return StepWait
}

func (e *EntryStateMachine) maxSettlements() int {
	if e.MaxSettlements > 0 {
		return e.MaxSettlements
	}
	return DefaultMaxSettlements
}

func (e *EntryStateMachine) stepWhileStarted(ev Event) Step {
	switch ev {
	case EventResponseHead:
		return StepAnswer
	case EventFailed, EventLinkLost, EventCallerDone:
		return StepUnknown
	case EventRefused, EventSettledNotRun:
		// The gate reports a failure to reach the backend server after the
		// commit.
		return StepNotRun
	}
	return StepWait
}
