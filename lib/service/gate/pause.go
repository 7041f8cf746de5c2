package gate

import (
	"context"
	"time"

	"cassiarack.example/lib/decision/handover"
	"cassiarack.example/lib/request"
)

// maxGap is the longest time between two ticks of a process that runs.
const maxGap = 500 * time.Millisecond

// heartbeat is called before each command and tick. It voids what a pause made
// stale, so that no commit that waited through the pause starts work.
func (s *Service) heartbeat(now time.Time) {
	if freed, paused := s.grants.Heartbeat(now); paused {
		s.handlePause(now, freed)
	}
}

// Paused voids all grants that were not committed and all waiting attempts. A
// detector of pauses calls it with the time at which the process went on. It does
// not block; the duty notices a gap in its own calls in any case.
func (s *Service) Paused(now time.Time) {
	if err := s.commands.Offer(paused{}); err != nil {
		s.Log.Warn("Pause not recorded.", "at", now, "err", err)
	}
}

type paused struct{}

func (paused) apply(now time.Time, s *Service) { s.handlePause(now, s.grants.VoidAll(now)) }

// handlePause gives back the slots of voided reservations and refuses the
// attempts that wait.
func (s *Service) handlePause(now time.Time, freed []handover.Attempt) {
	if len(freed) == 0 && s.idle() {
		// An idle gate does not tick, so that a gap says nothing; nothing is stale.
		return
	}
	s.Log.Warn("Voided grants after a pause.", "grants", len(freed))
	// The queue is emptied first, as a slot that is freed goes to its head.
	for _, d := range s.states {
		for a, adm := range d.waiting {
			if d.slots.Withdraw(a) {
				delete(d.waiting, a)
				adm.call.Reply(admitted{reason: request.ReasonPaused, load: d.load(now)})
			}
		}
	}
	for _, a := range freed {
		s.releaseUncommitted(now, a)
	}
}

// initDutyContext sets up the context that ends with the duty. Goroutines of requests
// wait for the duty with it, so that none waits for a duty that ended.
func (s *Service) initDutyContext() {
	s.dutyCtx, s.cancelDuty = context.WithCancel(context.Background())
}
