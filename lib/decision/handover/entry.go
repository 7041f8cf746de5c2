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
	// EventSilence is the lack of a message in the time that one was due.
	EventSilence Event = "silence"
	// EventCommit is noted before the commit is given to the network, as a
	// send that fails may still have delivered it.
	EventCommit Event = "commit"
	// EventLost is the loss of the link that carries the attempt.
	EventLost Event = "link lost"
	// EventHead is the begin of the backend server's answer.
	EventHead Event = "head"
	// EventFailed is the gate's statement that started work has no answer.
	EventFailed Event = "failed"
	// EventSettledNotRun, EventSettledStarted and EventSettledUnknown are the
	// gate's settlement of the attempt.
	EventSettledNotRun  Event = "settled: not run"
	EventSettledStarted Event = "settled: started"
	EventSettledUnknown Event = "settled: unknown"
	// EventSettleLost is a settlement that did not arrive in time.
	EventSettleLost Event = "settlement lost"
	// EventOver is the end of the caller's time or interest.
	EventOver Event = "over"
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

// Ends reports whether the step ends the decisions about an attempt.
func (s Step) Ends() bool { return s == StepAnswer || s == StepNotRun || s == StepUnknown }

// DefaultSettlements is how often a settlement is asked for. A second question
// recovers from a reply that was lost with its connection.
const DefaultSettlements = 2

type phase int

const (
	reserving phase = iota
	granted
	sent
	started
	ended
)

// Entry decides about one attempt of an entry node. It is used by one
// goroutine.
type Entry struct {
	// OneStep is set for idempotent work, which may start with its reserve.
	OneStep bool
	// Settlements bounds the questions for a settlement; zero means
	// DefaultSettlements.
	Settlements int

	phase phase
	asked int
	// asking is set while a settlement is under way.
	asking bool
	// cut is set when no more messages of the gate can arrive on the link, or
	// the caller no longer waits for them.
	cut  bool
	last Step
}

// Handle notes an event and returns what to do next. Events after the end
// repeat the last step. The decision depends on no instant: the gate alone
// judges, by its own clock, whether a commit comes in time.
func (e *Entry) Handle(_ time.Time, ev Event) Step {
	if e.phase == ended {
		return e.last
	}
	s := e.step(ev)
	if s.Ends() {
		e.phase, e.last = ended, s
	}
	return s
}

func (e *Entry) step(ev Event) Step {
	switch e.phase {
	case reserving:
		return e.whileReserving(ev)
	case granted:
		return e.whileGranted(ev)
	case sent:
		return e.whileSent(ev)
	default:
		return e.whileStarted(ev)
	}
}

func (e *Entry) whileReserving(ev Event) Step {
	switch ev {
	case EventReserved:
		if e.OneStep {
			e.phase = started
			return StepWait
		}
		e.phase = granted
		return StepCommit
	case EventRefused:
		return StepNotRun
	case EventSilence, EventLost, EventOver, EventFailed:
		if e.OneStep {
			return StepUnknown
		}
		// Nothing starts without a commit, and none was sent.
		return StepNotRun
	}
	return StepWait
}

func (e *Entry) whileGranted(ev Event) Step {
	switch ev {
	case EventCommit:
		e.phase = sent
		return StepWait
	case EventRefused, EventLost, EventOver:
		return StepNotRun
	}
	return StepWait
}

// whileSent decides while the commit may or may not have arrived.
func (e *Entry) whileSent(ev Event) Step {
	switch ev {
	case EventHead:
		return StepAnswer
	case EventRefused, EventSettledNotRun:
		return StepNotRun
	case EventFailed:
		return StepUnknown
	case EventSettledStarted:
		e.asking, e.phase = false, started
		if e.cut {
			return StepUnknown
		}
		return StepWait
	case EventSettledUnknown:
		e.asking, e.asked = false, e.limit()
		return e.ask()
	case EventSettleLost:
		e.asking = false
		return e.ask()
	case EventSilence:
		return e.ask()
	case EventLost, EventOver:
		e.cut = true
		return e.ask()
	}
	return StepWait
}

// ask asks for a settlement if none is under way. When no question is left, a
// link that still works is waited for, as the gate reports on it the answer
// and also that the grant expired.
func (e *Entry) ask() Step {
	switch {
	case e.asking:
		return StepWait
	case e.asked < e.limit():
		e.asked++
		e.asking = true
		return StepSettle
	case e.cut:
		return StepUnknown
	}
	return StepWait
}

func (e *Entry) limit() int {
	if e.Settlements > 0 {
		return e.Settlements
	}
	return DefaultSettlements
}

func (e *Entry) whileStarted(ev Event) Step {
	switch ev {
	case EventHead:
		return StepAnswer
	case EventFailed, EventLost, EventOver:
		return StepUnknown
	case EventRefused, EventSettledNotRun:
		// A failure to reach the backend server is reported after the start.
		return StepNotRun
	}
	return StepWait
}
