package ejection

import (
	"time"

	"cassiarack.example/lib/decision/floor"
	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/wire"
)

// paused starts the quarantine of the holders after a pause.
type paused struct{ at time.Time }

func (c paused) apply(_ time.Time, s *Service) { s.resume(c.at) }

// watch starts the quarantine if the duty did not tick for a time. The notice of
// the pause service may come after a command that grants a token.
func (s *Service) watch(now time.Time) {
	if last := s.duty.ticked; !last.IsZero() && now.Sub(last) > maxGap {
		s.Log.Warn("Duty did not run.", "for", now.Sub(last))
		s.resume(now)
	}
}

func (s *Service) resume(now time.Time) {
	s.duty.ticked = now
	for _, x := range s.duty.services {
		if x.holder != nil {
			x.holder.Resume(now)
		}
		x.aggregator = health.Aggregator{}
	}
}

// setDown tells the holders which instances do no work.
func (s *Service) setDown(down map[string]bool) {
	if s.duty.conf == nil {
		return
	}
	byService := make(map[string]map[string]bool)
	for i := range down {
		if x := s.duty.conf.Instances[i]; x != nil && !x.Leaving {
			if byService[x.Service.Name] == nil {
				byService[x.Service.Name] = make(map[string]bool)
			}
			byService[x.Service.Name][i] = true
		}
	}
	for name, x := range s.duty.services {
		if x.holder != nil {
			x.holder.SetDown(byService[name])
		}
	}
}

// reportClean tells the holders how many requests the instances of this VM that
// are on trial served well.
func (s *Service) reportClean(now time.Time) {
	d := &s.duty
	if d.conf == nil || now.Sub(d.cleaned) < cleanEvery {
		return
	}
	d.cleaned = now
	for i, n := range d.served {
		c := d.conf.Instances[i]
		if c == nil || n == 0 {
			continue
		}
		for _, l := range s.service(now, c.Service.Name).leases.Running(now) {
			if l.Instance == i && l.TrialShare > 0 {
				s.clean(now, l, n)
			}
		}
	}
	clear(d.served)
}

func (s *Service) clean(now time.Time, l floor.Lease, n int) {
	m := &wire.Suspicion{Instance: l.Instance, Reporter: s.VM, Gate: true, Assignment: l.Assignment, Clean: uint32(n)}
	if l.Holder == s.VM {
		s.decide(now, m)
		return
	}
	s.offer(job{to: s.duty.conf.VMs[l.Holder].Node, suspicion: m})
}
