package gate

import (
	"time"

	"cassiarack.example/lib/decision/handover"
	"cassiarack.example/lib/decision/slot"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
)

// coldRamp is the time over which the number of slots of a backend server
// increases to its full value after a start.
const coldRamp = 5 * time.Second

// cancelReleaseDelay is how long the slot of cancelled or failed work is kept. The
// backend server notices a cancellation only when it reads the end of the
// connection. Without the delay, it would run more requests than it has slots
// until then.
const cancelReleaseDelay = 2 * time.Millisecond

// slotGate is the type of slots and queue that the gate uses.
type slotGate = slot.Gate[handover.Attempt, *slot.Fair[handover.Attempt]]

func newInstanceState() *instanceState {
	return &instanceState{
		slots:   slotGate{Queue: slot.NewFair[handover.Attempt]()},
		waiting: make(map[handover.Attempt]*admission),
	}
}

// slotRequest converts an admit to a request for a slot. If the entry does not
// know the run time of the route yet, it uses the expected run time of the
// instance.
func (s *Service) slotRequest(now time.Time, d *instanceState, q admit) slot.Request[handover.Attempt] {
	expected := q.expected
	if expected <= 0 {
		expected = min(d.runTimes.Expected(now, ""), q.remaining)
	}
	weight := 1
	if c := s.config.Current(); c != nil {
		weight = c.Organisations[q.organisation]
	}
	return slot.Request[handover.Attempt]{
		Item:          q.attempt,
		Organisation:  q.organisation,
		Weight:        weight,
		Expected:      expected,
		Deadline:      now.Add(q.remaining),
		QueueDeadline: now.Add(q.maxWait),
	}
}

// runOutcome describes how committed work ended.
type runOutcome struct {
	runTime time.Duration
	// completed is set if the backend server sent a complete answer.
	completed bool
	// portClosed is set if the backend server refused the connection.
	portClosed bool
}

// recordRun updates the expected run time of the instance, which separates short
// from long requests. Work that ended early counts only if it ran for longer than
// expected. A backend server that refuses connections is cold when it starts
// again, so each refused connection restarts the ramp. Other failures to connect,
// such as a full backlog, do not limit the slots, because they occur under
// overload.
func (d *instanceState) recordRun(now time.Time, r runOutcome) {
	if r.portClosed {
		d.slots.Ramp = slot.Ramp{Start: now, Length: coldRamp}
		return
	}
	expected := d.runTimes.Expected(now, "")
	if r.runTime <= 0 || !r.completed && r.runTime <= expected {
		return
	}
	d.runTimes.Observe(now, "", r.runTime)
	d.slots.LongBound = slot.LongBound(d.runTimes.Expected(now, ""))
}

// load returns the load that is reported to the entries.
func (d *instanceState) load(now time.Time) *wire.Load {
	return &wire.Load{
		Slots:   uint32(d.slots.OpenSlots(now)),
		Running: uint32(d.slots.Running()),
		Waiting: uint32(d.slots.Waiting()),
		Cold:    d.slots.Ramp.Cold(now),
		Leaving: d.slots.Leaving,
	}
}

// publish updates the metrics of the slots of an instance.
func (s *Service) publish(now time.Time, instance string, d *instanceState) {
	if d.openSlots == nil {
		sub := s.scope.Tagged(map[string]string{"instance": instance})
		d.openSlots, d.running, d.queued = sub.Gauge("slots"), sub.Gauge("running"), sub.Gauge("waiting")
	}
	d.openSlots.Update(float64(d.slots.OpenSlots(now)))
	d.running.Update(float64(d.slots.Running()))
	d.queued.Update(float64(d.slots.Waiting()))
}

// finishIfCommitted releases the slot of an attempt whose context ended just as it
// was granted. If the attempt was to commit together with the grant, its work is
// already committed and abandon has no effect on it.
func (x *exchange) finishIfCommitted(call ring.Call[admit, admitted]) {
	// The duty has answered the call, or answers it when it handles abandon.
	adm, err := call.Wait(x.s.dutyCtx)
	if err == nil && adm.failure() == "" && x.reserve.GetCommitNow() {
		x.finish(adm, runOutcome{})
	}
}
