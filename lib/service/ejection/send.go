package ejection

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"cassiarack.example/lib/decision/floor"
	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/wire"
)

const (
	// shareFanout is the maximum number of nodes to which a new lease is sent
	// directly. Membership datagrams carry it to the others.
	shareFanout = 32
	// linkReportNodes is the maximum number of nodes that are asked about their
	// link to an instance.
	linkReportNodes = 8
	// maxScoreReportNodes is the maximum number of nodes that are asked for the
	// scores of their instances of a service.
	maxScoreReportNodes = 32
	// scoreReportEvery is the minimum time between two rounds of score report
	// requests about a service.
	scoreReportEvery = 300 * time.Millisecond
	// linkReportEvery is the minimum time between two rounds of link report
	// requests about an instance.
	linkReportEvery = time.Second
)

// job is one message to a node. Exactly one of the fields after to is set.
type job struct {
	to          netip.AddrPort
	suspicion   *wire.Suspicion
	leases      *wire.LeaseSet
	question    *linkQuestion
	scoreReport *wire.ScoreReportRequest
}

// linkQuestion asks the node of a VM about its link to an instance. The weight is
// the number of nodes that its answer represents.
type linkQuestion struct {
	vm      string
	request *wire.LinkReportRequest
	weight  int
}

// enqueue passes a job to the senders. If the ring is full, the job is dropped and
// counted, as reports are repeated and datagrams carry leases as well.
func (s *Service) enqueue(j job) {
	if err := s.jobs.Offer(j); err != nil {
		s.scope.Counter("messages_dropped").Inc(1)
	}
}

// runSender sends the messages of the job ring until ctx is done.
func (s *Service) runSender(ctx context.Context) {
	for {
		j, err := s.jobs.Take(ctx)
		if err != nil {
			return
		}
		if err := s.sendJob(ctx, j); err != nil && ctx.Err() == nil {
			s.Log.Debug("Message not delivered.", "to", j.to, "err", err)
		}
	}
}

// sendJob sends one message and passes its reply, if needed, to the duty.
func (s *Service) sendJob(ctx context.Context, j job) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	conn := s.peers.Conn(ctx, j.to)
	switch {
	case j.suspicion != nil:
		r, err := wire.NewDRPCEjectionClient(conn).Suspect(ctx, j.suspicion)
		if err != nil || !r.GetCommon() {
			return err
		}
		return s.commands.Offer(suspectReply{instance: j.suspicion.GetInstance(), answer: r})
	case j.leases != nil:
		_, err := wire.NewDRPCEjectionClient(conn).Share(ctx, j.leases)
		return err
	case j.scoreReport != nil:
		r, err := wire.NewDRPCObservationClient(conn).ScoreReport(ctx, j.scoreReport)
		if err != nil {
			return err
		}
		c := scoreReports{service: j.scoreReport.GetService()}
		for _, x := range r.GetInstances() {
			c.scores = append(c.scores, health.ScoreReport{Instance: x.GetInstance(), Raw: x.GetRaw()})
		}
		return s.commands.Offer(c)
	default:
		r, err := wire.NewDRPCObservationClient(conn).LinkReport(ctx, j.question.request)
		if err != nil || !r.GetAnswers() {
			return err
		}
		return s.commands.Offer(linkReport{instance: j.question.request.GetInstance(), vm: j.question.vm, weight: j.question.weight})
	}
}

// randomVMs returns up to n other VMs of the register in random order, and the
// number of all other VMs.
func (s *Service) randomVMs(n int) (vms []string, total int) {
	names := slices.Sorted(maps.Keys(s.state.conf.VMs))
	names = slices.DeleteFunc(names, func(v string) bool { return v == s.VM })
	s.Random.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
	return names[:min(n, len(names))], len(names)
}

// shareLeases sends new leases to up to shareFanout other nodes.
func (s *Service) shareLeases(now time.Time, leases []floor.Lease) {
	if len(leases) == 0 {
		return
	}
	set := &wire.LeaseSet{}
	for _, x := range leases {
		set.Leases = append(set.Leases, ToLease(now, x))
	}
	vms, _ := s.randomVMs(shareFanout)
	for _, v := range vms {
		s.enqueue(job{to: s.state.conf.VMs[v].Node, leases: set})
	}
}

// askLinkReports asks up to linkReportNodes nodes whether the gate of an instance
// replies to them.
func (s *Service) askLinkReports(now time.Time, x *serviceState, in health.Suspicion) {
	if now.Sub(x.linkReportsAskedAt[in.Instance]) < linkReportEvery {
		return
	}
	x.linkReportsAskedAt[in.Instance] = now
	vms, all := s.randomVMs(linkReportNodes)
	ask := &wire.LinkReportRequest{Instance: in.Instance, Age: int64(now.Sub(in.Since))}
	for _, v := range vms {
		// The asked nodes represent the fleet in equal parts.
		q := &linkQuestion{vm: v, request: ask, weight: max(1, all/len(vms))}
		s.enqueue(job{to: s.state.conf.VMs[v].Node, question: q})
	}
}

// askScoreReports asks up to maxScoreReportNodes gates of a service for the scores
// of their instances. This VM's own gate may be among them.
func (s *Service) askScoreReports(now time.Time, x *serviceState, in health.Suspicion) {
	if now.Sub(x.scoreReportsAskedAt) < scoreReportEvery {
		return
	}
	x.scoreReportsAskedAt = now
	ask := &wire.ScoreReportRequest{Service: x.assignment.Service, Age: int64(now.Sub(x.aggregator.ComparisonStart(now, in.Instance)))}
	vms := s.state.conf.Services[x.assignment.Service].VMs()
	s.Random.Shuffle(len(vms), func(i, k int) { vms[i], vms[k] = vms[k], vms[i] })
	for _, v := range vms[:min(maxScoreReportNodes, len(vms))] {
		s.enqueue(job{to: v.Node, scoreReport: ask})
	}
}
