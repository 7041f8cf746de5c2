package gate

import (
	"time"

	"cassiarack.example/lib/decision/handover"
	"cassiarack.example/lib/decision/slot"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
)

// coldRamp is the time over which the slots of a backend server that started
// come into force.
const coldRamp = 5 * time.Second

// cancelReleaseDelay keeps the slot of work that did not end by itself. The backend
// server learns of a cancellation when it reads the end of the connection, and
// would otherwise run more requests than its slots for that moment.
const cancelReleaseDelay = 2 * time.Millisecond

// slotGate is the kind of queue in use.
type slotGate = slot.Gate[handover.Attempt, *slot.Fair[handover.Attempt]]

func newInstanceState() *instanceState {
	return &instanceState{
		slots:   slotGate{Queue: slot.NewFair[handover.Attempt]()},
		waiting: make(map[handover.Attempt]*admission),
	}
}

// slotRequest converts an admit. An entry that does not know the route yet gets
// the usual run time of the instance.
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

// runOutcome is what became of committed work.
type runOutcome struct {
	runTime time.Duration
	// completed is set when the work ended by itself.
	completed bool
	// portClosed is set when the backend server's port was closed.
	portClosed bool
}

// recordRun learns the usual run time of the instance, which divides short from
// long requests. A backend server whose port is closed starts cold afterwards, so
// that the ramp begins anew with each such failure. Other failures to connect,
// such as a full backlog, do not limit the slots, as they come with a crest.
func (d *instanceState) recordRun(now time.Time, r runOutcome) {
	if r.portClosed {
		d.slots.Ramp = slot.Ramp{Start: now, Length: coldRamp}
		return
	}
	usual := d.runTimes.Expected(now, "")
	if r.runTime <= 0 || !r.completed && r.runTime <= usual {
		return
	}
	d.runTimes.Observe(now, "", r.runTime)
	d.slots.LongBound = slot.LongBound(d.runTimes.Expected(now, ""))
}

func (d *instanceState) load(now time.Time) *wire.Load {
	return &wire.Load{
		Slots:   uint32(d.slots.OpenSlots(now)),
		Running: uint32(d.slots.Running()),
		Waiting: uint32(d.slots.Waiting()),
		Cold:    d.slots.Ramp.Cold(now),
		Leaving: d.slots.Leaving,
	}
}

// publish shows the occupancy of an instance on the metrics page.
func (s *Service) publish(now time.Time, instance string, d *instanceState) {
	if d.openSlots == nil {
		sub := s.scope.Tagged(map[string]string{"instance": instance})
		d.openSlots, d.running, d.queued = sub.Gauge("slots"), sub.Gauge("running"), sub.Gauge("waiting")
	}
	d.openSlots.Update(float64(d.slots.OpenSlots(now)))
	d.running.Update(float64(d.slots.Running()))
	d.queued.Update(float64(d.slots.Waiting()))
}

// finishIfCommitted frees the slot of an attempt whose entry went away in the moment of
// its grant. Work that starts with its grant is committed then, and abandon does
// not concern it.
func (x *exchange) finishIfCommitted(call ring.Call[admit, admitted]) {
	// The duty has answered the call or answers it when it performs abandon.
	adm, err := call.Wait(x.s.dutyCtx)
	if err == nil && adm.failure() == "" && x.reserve.GetCommitNow() {
		x.finish(adm, runOutcome{})
	}
}
