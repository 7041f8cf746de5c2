// Package pause is the service that tells other services that the process did
// not run for a time.
//
// When a process resumes, its goroutines run in any order, so a service may act
// before this one has noticed the pause and told it: a gate may commit a grant
// that expired, or a holder renew a lease that others let end. No notice can
// win this race. A service whose old facts can do harm therefore checks the
// time on its own action path, in the duty that owns the facts. What each has to
// check:
//
//   - gate: a commit compares the time with the expiry of its grant and with the
//     last tick of the duty, as work that starts late may run twice;
//   - ledger: a home grants a claim only if its duty ticked a moment ago, as
//     another home may have granted the key meanwhile;
//   - ejection: a holder grants a token only if its duty ticked a moment ago, as
//     other nodes may have counted the token as free;
//   - config: Serving compares the time with the last tick, as a newer revision
//     may be in force elsewhere;
//   - gossip: a tick of the table after a gap drops the probe and starts the
//     suspicions anew, as the acknowledgements were lost with the pause;
//   - observer: a request whose age spans the pause is no evidence against its
//     backend server.
//
// The notice of this service is the second line: it reaches services that had
// nothing to do since the pause, logs it and counts it.
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

// interval is the time between two looks at the clocks.
const interval = 100 * time.Millisecond

// Listeners are the names of the services that are told if they are registered
// and have the method Paused.
var Listeners = []string{service.Gate, service.Ledger, service.Ejection, service.Observer, service.Config,
	service.Gossip}

// Paused is implemented by services that must know of pauses.
type Paused interface {
	// Paused tells that the process was paused until now. It must not block.
	Paused(now time.Time)
}

// Service notices pauses.
type Service struct {
	// Log receives pauses.
	Log *log.Logger

	listeners []Paused
	scope     tally.Scope
	detector  pause.Detector
}

// Bind implements kernel.Service. Services that are not in the needs of the
// registration or lack the method are left out.
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
	// The duty has no commands; its ring only ends it.
	none := ring.New[struct{}](1)
	d := ring.Duty[struct{}]{Ring: none, Interval: interval, Handle: func(time.Time, struct{}) {}, Tick: s.tick}
	return d.Run(ctx)
}

func (s *Service) tick(now time.Time) {
	// Round strips the monotonic reading.
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
