package ejection

import (
	"time"

	"cassiarack.example/lib/decision/floor"
	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/wire"
)

// pauseNotice is the command that handles a pause reported by the pause service.
type pauseNotice struct{ at time.Time }

func (c pauseNotice) apply(_ time.Time, s *Service) { s.handlePause(c.at) }

// checkPause starts the quarantine if the duty did not tick for longer than
// maxTickGap. The notification of the pause service is not enough, because it may
// arrive after a command that grants a token.
func (s *Service) checkPause(now time.Time) {
	if last := s.state.lastTick; !last.IsZero() && now.Sub(last) > maxTickGap {
		s.Log.Warn("Ejection duty did not run; starting the quarantine of its tokens.", "for", now.Sub(last))
		s.handlePause(now)
	}
}

// handlePause starts the quarantine of the holders and discards the reports
// received before the pause.
func (s *Service) handlePause(now time.Time) {
	s.state.lastTick = now
	for _, x := range s.state.services {
		if x.holder != nil {
			x.holder.Resume(now)
		}
		x.aggregator = health.Aggregator{}
	}
}

// setDown passes the names of the dead instances to the holders. Like ejected
// instances, dead ones use up the capacity above the floor. Instances that leave
// are omitted.
func (s *Service) setDown(down map[string]bool) {
	if s.state.conf == nil {
		return
	}
	byService := make(map[string]map[string]bool)
	for i := range down {
		if x := s.state.conf.Instances[i]; x != nil && !x.Leaving {
			if byService[x.Service.Name] == nil {
				byService[x.Service.Name] = make(map[string]bool)
			}
			byService[x.Service.Name][i] = true
		}
	}
	for name, x := range s.state.services {
		if x.holder != nil {
			x.holder.SetDown(byService[name])
		}
	}
}

// reportClean reports to the holders how many requests the instances of this
// VM that are on trial answered without an error.
func (s *Service) reportClean(now time.Time) {
	d := &s.state
	if d.conf == nil || now.Sub(d.lastCleanReport) < cleanReportEvery {
		return
	}
	d.lastCleanReport = now
	for i, n := range d.servedCounts {
		c := d.conf.Instances[i]
		if c == nil || n == 0 {
			continue
		}
		for _, l := range s.service(now, c.Service.Name).leases.Running(now) {
			if l.Instance == i && l.TrialShare > 0 {
				s.sendClean(now, l, n)
			}
		}
	}
	clear(d.servedCounts)
}

// sendClean reports n requests without an error to the holder of the lease.
func (s *Service) sendClean(now time.Time, l floor.Lease, n int) {
	m := &wire.Suspicion{Instance: l.Instance, Reporter: s.VM, Gate: true, Assignment: l.Assignment, Clean: uint32(n)}
	if l.Holder == s.VM {
		s.decide(now, m)
		return
	}
	s.enqueue(job{to: s.state.conf.VMs[l.Holder].Node, suspicion: m})
}
