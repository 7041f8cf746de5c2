package ejection

import (
	"time"

	"cassiarack.example/lib/decision/floor"
	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/wire"
)

// suspectReply is the answer of a holder to a report of this node.
type suspectReply struct {
	instance string
	answer   *wire.SuspectReply
}

func (c suspectReply) apply(now time.Time, s *Service) { s.recordReply(now, c.instance, c.answer) }

func (s *Service) recordReply(now time.Time, instance string, r *wire.SuspectReply) {
	if r.GetCommon() {
		s.state.serviceWide[instance] = now
		s.state.snapshotChanged = true
	}
}

// linkReport is the answer of a node that was asked about the way to an instance.
type linkReport struct {
	instance, vm string
	weight       int
}

func (c linkReport) apply(now time.Time, s *Service) {
	if s.state.conf == nil || s.state.conf.Instances[c.instance] == nil {
		return
	}
	x := s.service(now, s.state.conf.Instances[c.instance].Service.Name)
	x.aggregator.Report(now, health.Suspicion{Instance: c.instance, Reporter: c.vm, Cause: health.CauseLink, Samples: c.weight})
}

// scoreReports are the answer of a node that was asked for the scores of its own
// instances.
type scoreReports struct {
	service string
	scores  []health.ScoreReport
}

func (c scoreReports) apply(now time.Time, s *Service) {
	x := s.service(now, c.service)
	if x == nil {
		return
	}
	for _, report := range c.scores {
		x.aggregator.AddScore(now, report)
	}
}

// observedLeases are leases that other nodes know.
type observedLeases struct{ leases []floor.Lease }

func (c observedLeases) apply(now time.Time, s *Service) {
	s.adopt(now)
	for _, l := range c.leases {
		x := s.service(now, l.Service)
		if x == nil {
			continue
		}
		if x.holder != nil && l.Holder == s.VM {
			x.holder.ObserveLease(now, l)
		}
		before := x.leases.Share(now, l.Instance)
		if x.leases.Merge(now, l) {
			s.state.snapshotChanged = true
			s.recordShareChange(now, l, before, x.leases.Share(now, l.Instance))
		}
	}
	s.publish(now)
}
