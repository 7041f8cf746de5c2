package gate

import (
	"context"
	"time"

	"cassiarack.example/lib/decision/handover"
	"cassiarack.example/lib/request"
)

// maxGap is the longest time between two heartbeats that is not a pause.
const maxGap = 500 * time.Millisecond

// heartbeat is called before each command and each tick. After a pause, it voids
// the uncommitted grants, so that a commit that waited during the pause does not
// start work.
func (s *Service) heartbeat(now time.Time) {
	if freed, paused := s.grants.Heartbeat(now); paused {
		s.handlePause(now, freed)
	}
}

// Paused voids all uncommitted grants and all waiting attempts. The pause service
// calls it with the time at which the process resumed. Paused does not block. If
// the duty does not accept the command, it still detects the pause by the gap
// between its heartbeats.
func (s *Service) Paused(now time.Time) {
	if err := s.commands.Offer(paused{}); err != nil {
		s.Log.Warn("Pause not recorded.", "at", now, "err", err)
	}
}

type paused struct{}

func (paused) apply(now time.Time, s *Service) { s.handlePause(now, s.grants.VoidAll(now)) }

// handlePause releases the slots of the attempts in freed, whose grants were
// voided, and refuses the waiting attempts.
func (s *Service) handlePause(now time.Time, freed []handover.Attempt) {
	if len(freed) == 0 && s.idle() {
		// An idle gate does not tick, so the gap is no evidence of a pause, and there
		// is nothing to void.
		return
	}
	s.Log.Warn("Voided grants after a pause.", "grants", len(freed))
	// The queue is emptied first, because a slot that is released goes to the
	// first attempt in the queue.
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

// initDutyContext creates the context that ends with the duty. The goroutines of
// requests use it to wait for the duty, so that none waits for a duty that has
// ended.
func (s *Service) initDutyContext() {
	s.dutyCtx, s.cancelDuty = context.WithCancel(context.Background())
}
