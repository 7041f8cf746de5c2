// Package observer is the service that runs the detector of gray failures.
//
// The gate and the handoff put observations into a bounded ring and never wait:
// an observation that does not fit is dropped and counted. One goroutine passes
// the observations to the detector and its verdicts to the ejection service.
package observer

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/decision/member"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service"
	configservice "cassiarack.example/lib/service/config"
	"cassiarack.example/lib/service/ejection"
	"cassiarack.example/lib/service/metrics"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/wire"
)

const (
	// ringSize is the capacity of the ring of events to the observer's goroutine.
	ringSize = 8192
	// evaluateInterval is the time between two evaluations of the detector.
	evaluateInterval = 100 * time.Millisecond
	// maxGap is the longest time between two evaluations that does not count as a
	// pause of the process.
	maxGap = 500 * time.Millisecond
)

// Observer is the interface of the service to other services, independent of its
// policy.
type Observer interface {
	// Observe records an observation made at time now. It never blocks; an
	// observation that does not fit into the ring is dropped.
	Observe(now time.Time, o health.Observation)
}

// Find returns the observer service of a process.
func Find(dir *kernel.Directory) (Observer, error) {
	return kernel.Find[Observer](dir, service.Observer)
}

// Service runs a detector with policy P, whose state for one instance is S.
type Service[S any, P health.Policy[S]] struct {
	// Policy is the policy in use.
	Policy P
	// VM is the name of the node's VM.
	VM string
	// Log receives pauses that were not recorded.
	Log *log.Logger

	config        *configservice.Service
	ejection      *ejection.Service
	metrics       *metrics.Service
	events        *ring.Ring[event]
	detector      health.Detector[S, P]
	conf          *config.Configuration
	members       members
	lastEvaluated time.Time
	// served counts the requests that each instance of this VM answered since the
	// last evaluation.
	served map[string]int
	// ejected holds the instances that were ejected in the last snapshot.
	ejected map[string]bool
	// sharedAt holds, for each instance, the time of the last decision that its
	// whole service has the same fault.
	sharedAt map[string]time.Time
}

// members is the part of the gossip service that returns the state of a node.
type members interface {
	State(vm string) member.State
}

// event is an observation, the call of a peer or a pause.
type event struct {
	at          time.Time
	observation health.Observation
	linkReport  *ring.Call[*wire.LinkReportRequest, bool]
	scoreReport *ring.Call[*wire.ScoreReportRequest, []health.ScoreReport]
	paused      bool
}

// Bind implements kernel.Service.
func (s *Service[S, P]) Bind(dir *kernel.Directory) error {
	var err error
	if s.config, err = kernel.Find[*configservice.Service](dir, service.Config); err != nil {
		return err
	}
	if s.ejection, err = kernel.Find[*ejection.Service](dir, service.Ejection); err != nil {
		return err
	}
	if s.metrics, err = kernel.Find[*metrics.Service](dir, service.Metrics); err != nil {
		return err
	}
	if s.members, err = kernel.Find[members](dir, service.Gossip); err != nil {
		return err
	}
	p, err := kernel.Find[*peers.Service](dir, service.Peers)
	if err != nil {
		return err
	}
	s.events = ring.New[event](ringSize)
	s.detector = health.Detector[S, P]{Policy: s.Policy}
	s.served = make(map[string]int)
	s.ejected, s.sharedAt = make(map[string]bool), make(map[string]time.Time)
	return wire.DRPCRegisterObservation(p.Mux(), s)
}

// Run implements kernel.Service.
func (s *Service[S, P]) Run(ctx context.Context) error {
	d := ring.Duty[event]{Ring: s.events, Interval: evaluateInterval, Handle: s.handle, Tick: s.evaluate}
	return d.Run(ctx)
}

// Observe implements Observer.
func (s *Service[S, P]) Observe(now time.Time, o health.Observation) {
	// The ring counts dropped observations, which are shown as ring_refused.
	_ = s.events.Offer(event{at: now, observation: o})
}

// Paused records that the process was paused and resumed at time now.
func (s *Service[S, P]) Paused(now time.Time) {
	if err := s.events.Offer(event{at: now, paused: true}); err != nil {
		s.Log.Warn("Pause not recorded.", "err", err)
	}
}

// LinkReport implements the DRPC call of that name. It reports whether the gate of
// an instance has replied to this node within the given age.
func (s *Service[S, P]) LinkReport(ctx context.Context, in *wire.LinkReportRequest) (*wire.LinkReportReply, error) {
	call := ring.NewCall[*wire.LinkReportRequest, bool](in)
	if err := s.events.Offer(event{at: time.Now(), linkReport: &call}); err != nil {
		return nil, err
	}
	answers, err := call.Wait(ctx)
	if err != nil {
		return nil, err
	}
	return &wire.LinkReportReply{Answers: answers}, nil
}

// ScoreReport implements the DRPC call of that name. It returns the raw scores of
// the instances of a service that run on this VM.
func (s *Service[S, P]) ScoreReport(ctx context.Context, in *wire.ScoreReportRequest) (*wire.ScoreReportReply, error) {
	call := ring.NewCall[*wire.ScoreReportRequest, []health.ScoreReport](in)
	if err := s.events.Offer(event{at: time.Now(), scoreReport: &call}); err != nil {
		return nil, err
	}
	xs, err := call.Wait(ctx)
	if err != nil {
		return nil, err
	}
	out := &wire.ScoreReportReply{}
	for _, x := range xs {
		out.Instances = append(out.Instances, &wire.InstanceScore{Instance: x.Instance, Raw: x.Raw})
	}
	return out, nil
}

func (s *Service[S, P]) handle(_ time.Time, e event) {
	switch {
	case e.linkReport != nil:
		in := e.linkReport.Query
		e.linkReport.Reply(s.detector.GateRepliedSince(in.GetInstance(), e.at.Add(-time.Duration(in.GetAge()))))
	case e.scoreReport != nil:
		in := e.scoreReport.Query
		e.scoreReport.Reply(s.detector.ScoreReports(e.at, in.GetService(), e.at.Add(-time.Duration(in.GetAge()))))
	case e.paused:
		s.detector.DropRunning(e.at)
	default:
		s.detector.Observe(e.at, e.observation)
		if o := e.observation; o.Source == health.SourceGate && o.Kind == health.Answered {
			s.served[o.Instance]++
		}
	}
}

// evaluate runs the detector and passes its verdicts to the ejection service.
func (s *Service[S, P]) evaluate(now time.Time) {
	if conf := s.config.Current(); conf != s.conf && conf != nil {
		s.conf = conf
		s.detector.Retain(func(i string) bool { return conf.Instances[i] != nil })
	}
	if !s.lastEvaluated.IsZero() && now.Sub(s.lastEvaluated) > maxGap {
		// The ages of running requests include a time in which this process did not
		// run.
		s.detector.DropRunning(now)
	}
	s.lastEvaluated = now
	s.applyEjections(s.ejection.Snapshot())
	s.ejection.SubmitEvaluation(ejection.Evaluation{Verdicts: s.detector.Evaluate(now), Served: s.served, Down: s.deadInstances()})
	s.served = make(map[string]int)
	s.metrics.PublishRing("observer", s.events.Stats())
}

// deadInstances returns the instances on dead VMs of the services that have an
// instance on this VM. This node may hold their tokens.
func (s *Service[S, P]) deadInstances() map[string]bool {
	if s.conf == nil || s.conf.VMs[s.VM] == nil {
		return nil
	}
	var out map[string]bool
	for _, own := range s.conf.VMs[s.VM].Instances {
		for _, i := range own.Service.Instances {
			if s.members.State(i.VM.Name) != member.Dead {
				continue
			}
			if out == nil {
				out = make(map[string]bool)
			}
			out[i.Name] = true
		}
	}
	return out
}

// applyEjections resets the evidence about instances that were ejected or whose
// ejection ended, so that a trial starts with none, and discounts evidence of a
// fault that the whole service shares.
func (s *Service[S, P]) applyEjections(snap *ejection.Snapshot) {
	if snap == nil {
		return
	}
	for i := range s.ejected {
		if !snap.Instances[i].Ejected {
			s.detector.Reset(i)
			delete(s.ejected, i)
		}
	}
	for i, x := range snap.Instances {
		if x.Ejected && !s.ejected[i] {
			s.ejected[i] = true
			s.detector.Reset(i)
		}
	}
	for i, at := range snap.ServiceWide {
		if at.After(s.sharedAt[i]) {
			s.sharedAt[i] = at
			s.detector.DiscountShared(at, i, health.SourceGate)
		}
	}
}
