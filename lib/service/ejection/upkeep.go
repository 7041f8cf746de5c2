package ejection

import (
	"time"

	"cassiarack.example/lib/decision/floor"
	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/wire"
)

// pauseNotice starts the quarantine of the holders after a pause.
type pauseNotice struct{ at time.Time }

func (c pauseNotice) apply(_ time.Time, s *Service) { s.handlePause(c.at) }

// checkPause starts the quarantine if the duty did not tick for a time. The notice of
// the pause service may come after a command that grants a token.
func (s *Service) checkPause(now time.Time) {
	if last := s.state.lastTick; !last.IsZero() && now.Sub(last) > maxTickGap {
		s.Log.Warn("Duty did not run.", "for", now.Sub(last))
		s.handlePause(now)
	}
}

func (s *Service) handlePause(now time.Time) {
	s.state.lastTick = now
	for _, x := range s.state.services {
		if x.holder != nil {
			x.holder.Resume(now)
		}
		x.aggregator = health.Aggregator{}
	}
}

// setDown tells the holders which instances do no work.
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

// reportClean tells the holders how many requests the instances of this VM that
// are on trial served well.
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

func (s *Service) sendClean(now time.Time, l floor.Lease, n int) {
	m := &wire.Suspicion{Instance: l.Instance, Reporter: s.VM, Gate: true, Assignment: l.Assignment, Clean: uint32(n)}
	if l.Holder == s.VM {
		s.decide(now, m)
		return
	}
	s.enqueue(job{to: s.state.conf.VMs[l.Holder].Node, suspicion: m})
}
