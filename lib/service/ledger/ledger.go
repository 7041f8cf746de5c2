package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/ledger"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service"
	configservice "cassiarack.example/lib/service/config"
	"cassiarack.example/lib/service/metrics"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/wire"
)

const (
	// ringSize bounds the commands that wait for the duty.
	ringSize = 4096
	// tickInterval is how often the lists of VMs are compared with those in
	// force.
	tickInterval = 100 * time.Millisecond
	// maxGap is the longest time between two heartbeats that is not a pause.
	maxGap = 500 * time.Millisecond
	// adoptionLag bounds the time between the first and the last node that
	// adopt a list of VMs. It equals the target time for a configuration to be
	// in force on all nodes.
	adoptionLag = 4 * time.Second
	// capacity bounds the number of claims in memory. 176 requests/s on a node,
	// all with keys, and a retention of 2 min result in 21000 claims.
	capacity = 1 << 16
	// MaxKeyLength bounds the length of a key in bytes. Together with capacity,
	// it bounds the memory used by claims.
	MaxKeyLength = 255
)

// Service keeps the claims on the keys that this VM owns, and makes claims for
// the requests of this node.
type Service struct {
	// VM is the name of the node's VM.
	VM string
	// Retention is how long a key is protected after its first claim. It must be
	// the same on all nodes.
	Retention time.Duration
	// Log receives warnings about pauses and about claims that could not be
	// handed over.
	Log *log.Logger

	commands      *ring.Ring[command]
	config        *configservice.Service
	peers         *peers.Service
	scope         tally.Scope
	ledger        ledger.Ledger
	lastHeartbeat time.Time
}

// command is a command to the duty. Exactly one field is set.
type command struct {
	claim   *ring.Call[claim, ledger.Result]
	release *ring.Call[claim, bool]
	imports *ring.Call[importBatch, int]
	export  *ring.Call[struct{}, exportResult]
	paused  bool
}

type claim struct {
	key      ledger.Key
	claimant ledger.Claimant
}

type importBatch struct {
	from   string
	claims []ledger.Claim
	last   bool
}

type exportResult struct {
	claims   map[string][]ledger.Claim
	complete bool
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
	m, err := kernel.Find[*metrics.Service](dir, service.Metrics)
	if err != nil {
		return err
	}
	s.scope = m.Scope().SubScope("ledger")
	s.commands = ring.New[command](ringSize)
	s.ledger = ledger.Ledger{Self: s.VM, Retention: s.Retention, AdoptionLag: adoptionLag, Capacity: capacity}
	return wire.DRPCRegisterLedger(s.peers.Mux(), server{s})
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	s.lastHeartbeat = time.Now()
	s.ledger.Start(s.lastHeartbeat)
	d := ring.Duty[command]{Ring: s.commands, Interval: tickInterval, Handle: s.handle, Tick: s.tick}
	return d.Run(ctx)
}

// Paused records a pause of the process that ended at now. It does not block.
func (s *Service) Paused(now time.Time) {
	if err := s.commands.Offer(command{paused: true}); err != nil {
		// The duty also detects the pause itself, by the gap between its heartbeats.
		s.Log.Warn("Pause not recorded.", "at", now, "err", err)
	}
}

// heartbeat is called before each tick and each command. It puts all keys in
// quarantine if the gap since the last call, on the monotonic or the wall clock,
// shows that the process was paused.
func (s *Service) heartbeat(now time.Time) {
	gap := max(now.Sub(s.lastHeartbeat), now.Round(0).Sub(s.lastHeartbeat.Round(0)))
	s.lastHeartbeat = now
	if gap > maxGap {
		s.Log.Warn("Claims on all keys are unknown after a pause.", "gap", gap)
		s.ledger.RecordPause(now)
	}
}

func (s *Service) tick(now time.Time) {
	s.heartbeat(now)
	s.adoptVMs(now)
	s.scope.Gauge("claims").Update(float64(s.ledger.Len()))
}

// adoptVMs puts the current lists of VMs of the services of this VM in force.
func (s *Service) adoptVMs(now time.Time) {
	c := s.config.Current()
	if c == nil || c.VMs[s.VM] == nil {
		return
	}
	for _, i := range c.VMs[s.VM].Instances {
		s.ledger.SetVMs(now, i.Service.Name, s.presentVMs(i.Service))
	}
}

// presentVMs returns the names of the VMs of a service that the platform does
// not list as gone. Without a list from the platform, it returns all VMs of the
// service.
func (s *Service) presentVMs(svc *config.Service) []string {
	var out []string
	list := s.config.List()
	for _, vm := range svc.VMs() {
		if list.State(vm.Name) != configservice.VMGone {
			out = append(out, vm.Name)
		}
	}
	return out
}

func (s *Service) handle(now time.Time, c command) {
	s.heartbeat(now)
	switch {
	case c.claim != nil:
		r := s.ledger.Claim(now, c.claim.Query.key, c.claim.Query.claimant)
		s.scope.Tagged(map[string]string{"answer": string(r.Answer)}).Counter("answers").Inc(1)
		c.claim.Reply(r)
	case c.release != nil:
		c.release.Reply(s.ledger.Release(now, c.release.Query.key, c.release.Query.claimant))
	case c.imports != nil:
		q := c.imports.Query
		c.imports.Reply(s.ledger.Import(now, q.from, q.claims, q.last))
	case c.export != nil:
		claims, complete := s.ledger.Export(now)
		c.export.Reply(exportResult{claims, complete})
	case c.paused:
		s.ledger.RecordPause(now)
	}
}

// ask wraps a query in a command, sends it to the duty and waits for the reply.
// It returns an error if the ring is full or closed, or if ctx ends first.
func ask[Q, A any](ctx context.Context, s *Service, q Q, wrap func(*ring.Call[Q, A]) command) (A, error) {
	call := ring.NewCall[Q, A](q)
	if err := s.commands.Offer(wrap(&call)); err != nil {
		var zero A
		return zero, err
	}
	return call.Wait(ctx)
}

func (s *Service) claimLocal(ctx context.Context, c claim) (ledger.Result, error) {
	return ask(ctx, s, c, func(q *ring.Call[claim, ledger.Result]) command { return command{claim: q} })
}

func (s *Service) releaseLocal(ctx context.Context, c claim) (bool, error) {
	return ask(ctx, s, c, func(q *ring.Call[claim, bool]) command { return command{release: q} })
}

var errNoOwner = errors.New("no VM of the service is present")

// owner returns the VM that keeps the claims on a key. It returns errNoOwner if
// the service has no VM that is present.
func (s *Service) owner(svc *config.Service, k ledger.Key) (*config.VM, error) {
	name := ledger.Owner(k, s.presentVMs(svc))
	for _, i := range svc.Instances {
		if i.VM.Name == name {
			return i.VM, nil
		}
	}
	return nil, errNoOwner
}

// Claim requests the right to run the work of a key from the owner of the key.
// After an error, the claim may have been granted; the same claimant may then
// repeat the request.
func (s *Service) Claim(ctx context.Context, svc *config.Service, k ledger.Key, c ledger.Claimant) (ledger.Result, error) {
	vm, err := s.owner(svc, k)
	if err != nil {
		return ledger.Result{}, err
	}
	if vm.Name == s.VM {
		return s.claimLocal(ctx, claim{k, c})
	}
	reply, err := wire.NewDRPCLedgerClient(s.peers.Conn(ctx, vm.Node)).Claim(ctx,
		&wire.ClaimRequest{Key: toKey(k), Attempt: c[:]})
	if err != nil {
		return ledger.Result{}, err
	}
	return ledger.Result{Answer: fromAnswer(reply.GetAnswer()), RetryAfter: time.Duration(reply.GetRetryAfter())}, nil
}

// Release returns a claim to the owner of the key. The work of the claim must
// not have run and must not run later.
func (s *Service) Release(ctx context.Context, svc *config.Service, k ledger.Key, c ledger.Claimant) error {
	vm, err := s.owner(svc, k)
	if err != nil {
		return err
	}
	if vm.Name == s.VM {
		_, err = s.releaseLocal(ctx, claim{k, c})
		return err
	}
	_, err = wire.NewDRPCLedgerClient(s.peers.Conn(ctx, vm.Node)).Release(ctx,
		&wire.ReleaseRequest{Key: toKey(k), Attempt: c[:]})
	return err
}
