package ejection

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/floor"
	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service"
	configservice "cassiarack.example/lib/service/config"
	"cassiarack.example/lib/service/metrics"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/wire"
)

const (
	// commandRingSize is the maximum number of commands that wait for the duty.
	commandRingSize = 1024
	// jobRingSize is the maximum number of messages that wait for a sender.
	jobRingSize = 512
	// senders is the number of sender goroutines.
	senders = 8
	// sendTimeout is the maximum time for one message and its reply.
	sendTimeout = 300 * time.Millisecond
	// tickInterval is the time between two ticks, which renew and end leases.
	tickInterval = 100 * time.Millisecond
)

// Service ejects suspicious instances.
type Service struct {
	// VM is the name of the node's VM.
	VM string
	// Incarnation distinguishes this run of the node from earlier ones. It must
	// increase from run to run.
	Incarnation uint64
	// Random is the random source. Only the duty uses it.
	Random *rand.Rand
	// Log receives ejections, trials, returns and refusals.
	Log *log.Logger

	config    *configservice.Service
	peers     *peers.Service
	metrics   *metrics.Service
	scope     tally.Scope
	commands  *ring.Ring[command]
	jobs      *ring.Ring[job]
	snapshot  atomic.Pointer[Snapshot]
	decisions atomic.Pointer[[]Decision]
	state     dutyState
}

// command is a change of state that the duty applies.
type command interface {
	apply(now time.Time, s *Service)
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.config, err = kernel.Find[*configservice.Service](dir, service.Config); err != nil {
		return err
	}
	if s.peers, err = kernel.Find[*peers.Service](dir, service.Peers); err != nil {
		return err
	}
	if s.metrics, err = kernel.Find[*metrics.Service](dir, service.Metrics); err != nil {
		return err
	}
	s.scope = s.metrics.Scope().SubScope("ejection")
	s.commands = ring.New[command](commandRingSize)
	s.jobs = ring.New[job](jobRingSize)
	s.state = dutyState{services: make(map[string]*serviceState), localWeights: make(map[string]localWeight),
		serviceWide: make(map[string]time.Time), lastReport: make(map[reportKey]time.Time), servedCounts: make(map[string]int)}
	return wire.DRPCRegisterEjection(s.peers.Mux(), s)
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for range senders {
		wg.Go(func() { s.runSender(ctx) })
	}
	d := ring.Duty[command]{
		Ring:     s.commands,
		Interval: tickInterval,
		Handle:   func(now time.Time, c command) { c.apply(now, s) },
		Tick:     s.tick,
	}
	return d.Run(ctx)
}

// Snapshot returns the latest view of the ejected and suspicious instances. It is
// nil before the first one is published.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// Decisions returns the decision log, oldest first. The caller must not modify it.
func (s *Service) Decisions() []Decision {
	if d := s.decisions.Load(); d != nil {
		return *d
	}
	return nil
}

// Leases returns the leases to send to other nodes, newest first.
func (s *Service) Leases(now time.Time) []floor.Lease {
	snap := s.snapshot.Load()
	if snap == nil {
		return nil
	}
	out := make([]floor.Lease, 0, len(snap.leases))
	for _, x := range snap.leases {
		// A lease that has ended is sent for a while, because it may have ended
		// early, which the other nodes must learn.
		if now.Sub(x.Granted) < floor.MaxLease && now.Sub(x.Until) < endedLeaseRetention {
			out = append(out, x)
		}
	}
	return out
}

// endedLeaseRetention is how long a lease that has ended is sent to other nodes.
const endedLeaseRetention = 10 * time.Second

// Merge records leases received from other nodes.
func (s *Service) Merge(ctx context.Context, xs []floor.Lease) error {
	return s.commands.Put(ctx, observedLeases{leases: xs})
}

// Paused reports that the process was paused and resumed at now. The call is lost
// if the ring is full, which happens only when the duty is overloaded; Merge is
// then delayed as well.
func (s *Service) Paused(now time.Time) {
	if err := s.commands.Offer(pauseNotice{at: now}); err != nil {
		s.Log.Warn("Pause not recorded.", "err", err)
	}
}

// Evaluation is the result of one evaluation by the observer of this node.
type Evaluation struct {
	Verdicts []health.Verdict
	// Down contains the names of the dead instances of the services that have an
	// instance on this VM.
	Down map[string]bool
	// Served is the number of requests that each instance of this VM answered
	// without an error since the previous evaluation.
	Served map[string]int
}

// SubmitEvaluation passes an evaluation to the duty. If the ring is full, the
// evaluation is dropped and counted; the next one repeats the verdicts that still
// hold.
func (s *Service) SubmitEvaluation(j Evaluation) {
	if err := s.commands.Offer(localEvaluation{j}); err != nil {
		s.scope.Counter("judgements_dropped").Inc(1)
	}
}

// Suspect implements wire.DRPCEjectionServer. It decides about the suspicion of
// another node.
func (s *Service) Suspect(ctx context.Context, in *wire.Suspicion) (*wire.SuspectReply, error) {
	c := suspectCall{call: ring.NewCall[*wire.Suspicion, *wire.SuspectReply](in)}
	if err := s.commands.Offer(c); err != nil {
		return nil, err
	}
	return c.call.Wait(ctx)
}

// Share implements wire.DRPCEjectionServer. It records leases of other nodes and
// ignores those of instances that are not configured.
func (s *Service) Share(ctx context.Context, in *wire.LeaseSet) (*wire.LeaseSetReply, error) {
	now, conf := time.Now(), s.config.Current()
	var xs []floor.Lease
	for _, m := range in.GetLeases() {
		if x, ok := FromLease(now, conf, m); ok {
			xs = append(xs, x)
		}
	}
	return &wire.LeaseSetReply{}, s.Merge(ctx, xs)
}
