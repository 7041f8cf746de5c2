package ejection

import (
	"time"

	"cassiarack.example/lib/decision/floor"
	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/wire"
)

// suspectReply is the command that records a holder's reply to a report of this
// node.
type suspectReply struct {
	instance string
	answer   *wire.SuspectReply
}

func (c suspectReply) apply(now time.Time, s *Service) { s.recordReply(now, c.instance, c.answer) }

// recordReply records the time at which a holder found the fault of an instance
// to be service-wide.
func (s *Service) recordReply(now time.Time, instance string, r *wire.SuspectReply) {
	if r.GetCommon() {
		s.state.serviceWide[instance] = now
		s.state.snapshotChanged = true
	}
}

// linkReport is the command that records the report of a node whose link to an
// instance works. Its weight is the number of nodes that the report represents.
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

// scoreReports is the command that records the scores that a node returned for
// its own instances of a service.
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

// observedLeases is the command that merges leases received from other nodes.
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
