// Package observer is the service that owns the detector of gray failures.
//
// The gate and the handoff offer observations to a bounded ring and never wait:
// what finds no room is dropped and counted. The duty feeds the detector and
// gives its verdicts to the ejection service.
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
	// ringSize bounds the observations that wait for the duty.
	ringSize = 8192
	// evaluateInterval is how often the detector judges.
	evaluateInterval = 100 * time.Millisecond
	// maxGap is the longest time between two judgements that is no pause.
	maxGap = 500 * time.Millisecond
)

// Observer is how other services use the service, whatever its policy.
type Observer interface {
	// Observe records an observation at its time. It never waits.
	Observe(now time.Time, o health.Observation)
}

// Find returns the observer of a process.
func Find(dir *kernel.Directory) (Observer, error) {
	return kernel.Find[Observer](dir, service.Observer)
}

// Service owns a detector with policy P, whose state for one instance is S.
type Service[S any, P health.Policy[S]] struct {
	// Policy is the policy in use.
	Policy P
	// VM is the name of the node's VM.
	VM string
	// Log receives lost calls.
	Log *log.Logger

	config        *configservice.Service
	ejection      *ejection.Service
	metrics       *metrics.Service
	events        *ring.Ring[event]
	detector      health.Detector[S, P]
	conf          *config.Configuration
	members       members
	lastEvaluated time.Time
	served        map[string]int
	ejected       map[string]bool
	sharedAt      map[string]time.Time
}

// members is the part of the gossip service that tells the state of a node.
type members interface {
	State(vm string) member.State
}

// event is an observation, a question or a pause.
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

// Observe implements Observer. Dropped observations are counted by the ring.
func (s *Service[S, P]) Observe(now time.Time, o health.Observation) {
	// The refusal is counted by the ring and shown as ring_refused.
	_ = s.events.Offer(event{at: now, observation: o})
}

// Paused tells that the process was paused and resumed now.
func (s *Service[S, P]) Paused(now time.Time) {
	if err := s.events.Offer(event{at: now, paused: true}); err != nil {
		s.Log.Warn("Pause not recorded.", "err", err)
	}
}

// LinkReport implements the drpc call.
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

// ScoreReport implements the drpc call.
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

// evaluate gives the verdicts to the ejection service.
func (s *Service[S, P]) evaluate(now time.Time) {
	if conf := s.config.Current(); conf != s.conf && conf != nil {
		s.conf = conf
		s.detector.Retain(func(i string) bool { return conf.Instances[i] != nil })
	}
	if !s.lastEvaluated.IsZero() && now.Sub(s.lastEvaluated) > maxGap {
		// The ages of running requests span a time in which this process did not run.
		s.detector.DropRunning(now)
	}
	s.lastEvaluated = now
	s.applyEjections(s.ejection.Snapshot())
	s.ejection.Judged(ejection.Judgement{Verdicts: s.detector.Evaluate(now), Served: s.served, Down: s.deadInstances()})
	s.served = make(map[string]int)
	s.metrics.Ring("observer", s.events.Stats())
}

// deadInstances returns the dead instances of the services of this VM, whose tokens it may
// hold.
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

// applyEjections forgets the evidence about instances that were ejected, whose trial
// starts with none, and discounts evidence that a whole service shares.
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
	for i, at := range snap.Common {
		if at.After(s.sharedAt[i]) {
			s.sharedAt[i] = at
			s.detector.DiscountShared(at, i, health.SourceGate)
		}
	}
}
