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
	// commandRingSize bounds the commands that wait for the duty.
	commandRingSize = 1024
	// jobRingSize bounds the messages that wait for a sender.
	jobRingSize = 512
	// senders is the number of goroutines that send messages.
	senders = 8
	// sendTimeout bounds one message.
	sendTimeout = 300 * time.Millisecond
	// tickInterval is how often leases are looked after.
	tickInterval = 100 * time.Millisecond
)

// Service ejects suspect instances.
type Service struct {
	// VM is the name of the node's VM.
	VM string
	// Incarnation tells this run of the node from earlier ones; it must grow from
	// run to run.
	Incarnation uint64
	// Random is the random source of the duty.
	Random *rand.Rand
	// Log receives ejections, returns and refusals.
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

// command is a command to the duty.
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

// Snapshot returns the instances that stand out.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// Decisions returns the decision log, oldest first. It must not be changed.
func (s *Service) Decisions() []Decision {
	if d := s.decisions.Load(); d != nil {
		return *d
	}
	return nil
}

// Leases returns the leases that other nodes should know, newest first.
func (s *Service) Leases(now time.Time) []floor.Lease {
	snap := s.snapshot.Load()
	if snap == nil {
		return nil
	}
	out := make([]floor.Lease, 0, len(snap.leases))
	for _, x := range snap.leases {
		// A lease that ended is told for a while, as it may have ended early.
		if now.Sub(x.Granted) < floor.MaxLease && now.Sub(x.Until) < endedLeaseRetention {
			out = append(out, x)
		}
	}
	return out
}

// endedLeaseRetention is how long other nodes are told of a lease that ended.
const endedLeaseRetention = 10 * time.Second

// Merge records leases that this node heard of.
func (s *Service) Merge(ctx context.Context, xs []floor.Lease) error {
	return s.commands.Put(ctx, observedLeases{leases: xs})
}

// Paused tells that the process was paused and resumed now. A full ring loses
// the call only if the duty is overloaded, in which case Merge is late as well.
func (s *Service) Paused(now time.Time) {
	if err := s.commands.Offer(pauseNotice{at: now}); err != nil {
		s.Log.Warn("Pause not recorded.", "err", err)
	}
}

// Evaluation is what the observer of this node found.
type Evaluation struct {
	Verdicts []health.Verdict
	// Down names the dead instances of the services that this VM serves.
	Down map[string]bool
	// Served counts the requests that each instance of this VM served well.
	Served map[string]int
}

// SubmitEvaluation takes a judgement of this node's observer. It is dropped and counted
// when the duty is behind; the next one repeats what still holds.
func (s *Service) SubmitEvaluation(j Evaluation) {
	if err := s.commands.Offer(localEvaluation{j}); err != nil {
		s.scope.Counter("judgements_dropped").Inc(1)
	}
}

// Suspect implements the drpc call.
func (s *Service) Suspect(ctx context.Context, in *wire.Suspicion) (*wire.SuspectReply, error) {
	c := suspectCall{call: ring.NewCall[*wire.Suspicion, *wire.SuspectReply](in)}
	if err := s.commands.Offer(c); err != nil {
		return nil, err
	}
	return c.call.Wait(ctx)
}

// Share implements the drpc call.
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
