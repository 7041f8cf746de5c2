// Package pause is the service that notifies other services after a pause, a
// time in which the process did not run.
//
// When a process resumes, its goroutines run in any order, so a service may act
// before it is notified of the pause: a gate may commit a grant that expired, or
// a holder may renew a lease that expired on the other nodes. No notification
// can avoid this race. A service that could do harm with outdated state
// therefore checks the time whenever it acts, in the duty that owns the state:
//
//   - gate: a commit compares the time with the expiry of its grant and with the
//     last tick of the duty, because work that starts late may run twice;
//   - ledger: the owner of a key grants a claim only if its duty ticked a short
//     time ago, because another owner may have granted the key during the pause;
//   - ejection: a holder grants a token only if its duty ticked a short time ago,
//     because other nodes may have counted the token as free;
//   - config: Serving compares the time with the last tick, because a newer
//     revision may be in force on other nodes;
//   - gossip: the first tick of the table after a gap drops the probe and
//     restarts the suspicions, because acknowledgements were lost in the pause;
//   - observer: a request that was in progress during the pause is no evidence
//     against its backend server.
//
// The notification is the second safeguard: it reaches services that were idle
// since the pause. This service also logs and counts each pause.
package pause

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/pause"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service"
	"cassiarack.example/lib/service/metrics"
)

// interval is the time between two readings of the clocks.
const interval = 100 * time.Millisecond

// Listeners are the names of the services that are notified of pauses, provided
// that they are registered and implement Paused.
var Listeners = []string{service.Gate, service.Ledger, service.Ejection, service.Observer, service.Config,
	service.Gossip}

// Paused is implemented by services that must be notified of pauses.
type Paused interface {
	// Paused is called after a pause of the process that ended at now. It must
	// not block.
	Paused(now time.Time)
}

// Service detects pauses of the process and notifies the Listeners.
type Service struct {
	// Log receives a warning for each pause.
	Log *log.Logger

	listeners []Paused
	scope     tally.Scope
	detector  pause.Detector
}

// Bind implements kernel.Service. It skips Listeners that the registration does
// not name in its needs and those that do not implement Paused.
func (s *Service) Bind(dir *kernel.Directory) error {
	m, err := kernel.Find[*metrics.Service](dir, service.Metrics)
	if err != nil {
		return err
	}
	s.scope = m.Scope().SubScope("pause")
	for _, name := range Listeners {
		l, err := kernel.Find[Paused](dir, name)
		var failed *kernel.Error
		switch {
		case err == nil:
			s.listeners = append(s.listeners, l)
		case errors.As(err, &failed) && (failed.Kind == kernel.KindMissing || failed.Kind == kernel.KindType):
		default:
			return err
		}
	}
	return nil
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	// The duty receives no commands, but ring.Duty requires a ring.
	commands := ring.New[struct{}](1)
	d := ring.Duty[struct{}]{Ring: commands, Interval: interval, Handle: func(time.Time, struct{}) {}, Tick: s.tick}
	return d.Run(ctx)
}

func (s *Service) tick(now time.Time) {
	// Round(0) removes the monotonic clock reading, which leaves the wall clock.
	p, paused := s.detector.Tick(now, now.Round(0))
	if !paused {
		return
	}
	for _, l := range s.listeners {
		l.Paused(now)
	}
	s.scope.Counter("pauses").Inc(1)
	s.Log.Warn("Process was paused.", "length", p.Length, "told", len(s.listeners))
}
