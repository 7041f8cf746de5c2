package handover

import "time"

// Event is what happened to an attempt, as its entry sees it.
type Event string

// Events.
const (
	// EventReserved is a grant of the gate.
	EventReserved Event = "reserved"
	// EventRefused is the gate's statement that the attempt did not start and
	// cannot start.
	EventRefused Event = "refused"
	// EventTimeout is the lack of a message in the time that one was due.
	EventTimeout Event = "silence"
	// EventCommit is noted before the commit is given to the network, as a
	// send that fails may still have delivered it.
	EventCommit Event = "commit"
	// EventLinkLost is the loss of the link that carries the attempt.
	EventLinkLost Event = "link lost"
	// EventResponseHead is the begin of the backend server's answer.
	EventResponseHead Event = "head"
	// EventFailed is the gate's statement that started work has no answer.
	EventFailed Event = "failed"
	// EventSettledNotRun, EventSettledStarted and EventSettledUnknown are the
	// gate's settlement of the attempt.
	EventSettledNotRun  Event = "settled: not run"
	EventSettledStarted Event = "settled: started"
	EventSettledUnknown Event = "settled: unknown"
	// EventSettlementLost is a settlement that did not arrive in time.
	EventSettlementLost Event = "settlement lost"
	// EventCallerDone is the end of the caller's time or interest.
	EventCallerDone Event = "over"
)

// Step is what the entry does next.
type Step string

// Steps.
const (
	// StepWait waits for the next event.
	StepWait Step = "wait"
	// StepCommit sends the commit.
	StepCommit Step = "commit"
	// StepSettle asks the gate for a settlement on another connection.
	StepSettle Step = "settle"
	// StepAnswer passes the answer on.
	StepAnswer Step = "answer"
	// StepNotRun ends the attempt. The work did not and will not run, so that
	// another gate may be tried.
	StepNotRun Step = "not run"
	// StepUnknown ends the attempt. Only idempotent work may be tried again.
	StepUnknown Step = "unknown"
)

// IsFinal reports whether the step ends the decisions about an attempt.
func (s Step) IsFinal() bool { return s == StepAnswer || s == StepNotRun || s == StepUnknown }

// DefaultMaxSettlements is how often a settlement is asked for. A second question
// recovers from a reply that was lost with its connection.
const DefaultMaxSettlements = 2

type phase int

const (
	reserving phase = iota
	granted
	commitSent
	started
	ended
)

// EntryStateMachine decides about one attempt of an entry node. It is used by one
// goroutine.
type EntryStateMachine struct {
	// CommitNow is set for idempotent work, which may start with its reserve.
	CommitNow bool
	// MaxSettlements bounds the questions for a settlement; zero means
	// DefaultSettlements.
	MaxSettlements int

	phase          phase
	settleRequests int
	// settling is set while a settlement is under way.
	settling bool
	// linkClosed is set when no more messages of the gate can arrive on the link, or
	// the caller no longer waits for them.
	linkClosed bool
	finalStep  Step
}

// Handle notes an event and returns what to do next. Events after the end
// repeat the last step. The decision depends on no instant: the gate alone
// judges, by its own clock, whether a commit comes in time.
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
		// Nothing starts without a commit, and none was sent.
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

// stepAfterCommit decides while the commit may or may not have arrived.
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

// requestSettlement asks for a settlement if none is under way. When no question is left, a
// link that still works is waited for, as the gate reports on it the answer
// and also that the grant expired.
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
		// A failure to reach the backend server is reported after the start.
		return StepNotRun
	}
	return StepWait
}
