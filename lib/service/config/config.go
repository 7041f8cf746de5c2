package config

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/revision"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/platform"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service"
	"cassiarack.example/lib/service/metrics"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/wire"
)

const (
	// commandRingSize bounds the commands that wait for the duty.
	commandRingSize = 1024
	// adoptedRingSize bounds the adopted revisions that wait to be announced.
	adoptedRingSize = 16
	// tick is how often the duty checks the time. It is short against
	// revision.PauseLimit, so that a pause is noticed.
	tick = 100 * time.Millisecond
)

// Service owns the configuration in force.
type Service struct {
	// VM is the name of the node's VM.
	VM string
	// Seeds are nodes that are asked while the node does not serve.
	Seeds []netip.AddrPort
	// Random is the random source of the duty.
	Random *rand.Rand
	// Log receives changes and rejections.
	Log *log.Logger

	commands  *ring.Ring[command]
	jobs      *ring.Ring[job]
	pulls     *ring.Ring[pull]
	questions *ring.Ring[question]
	adopted   *ring.Ring[config.Revision]
	// transfers holds an item for each transfer to another node.
	transfers *ring.Ring[struct{}]
	snapshot  atomic.Pointer[snapshot]
	heartbeat atomic.Pointer[time.Time]
	peers     *peers.Service
	scope     tally.Scope
	duty      duty
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.peers, err = kernel.Find[*peers.Service](dir, service.Peers); err != nil {
		return err
	}
	s.peers.Admit(s.isRegistered)
	m, err := kernel.Find[*metrics.Service](dir, service.Metrics)
	if err != nil {
		return err
	}
	s.scope = m.Scope().SubScope("config")
	s.commands = ring.New[command](commandRingSize)
	s.jobs = ring.New[job](1)
	s.pulls = ring.New[pull](1)
	s.questions = ring.New[question](questionRingSize)
	s.adopted = ring.New[config.Revision](adoptedRingSize)
	s.transfers = ring.New[struct{}](maxTransfers)
	s.duty.tracker = revision.Tracker{Self: s.VM}
	s.snapshot.Store(&snapshot{waiting: "no configuration yet"})
	return wire.DRPCRegisterFleet(s.peers.Mux(), &provider{s: s})
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	s.duty.tracker.Started = time.Now()
	s.duty.lastRun = time.Now()
	var others sync.WaitGroup
	others.Go(func() { s.compile(ctx) })
	others.Go(func() { s.receive(ctx) })
	for range askWorkers {
		others.Go(func() { s.askQueued(ctx) })
	}
	d := ring.Duty[command]{Ring: s.commands, Interval: tick, Handle: s.handle, Tick: s.tick}
	err := d.Run(ctx)
	others.Wait()
	return err
}

// Current returns the configuration in force, or nil before the first.
func (s *Service) Current() *config.Configuration {
	if sn := s.snapshot.Load(); sn.inForce {
		return sn.conf
	}
	return nil
}

// Held returns the configuration that the node holds, in force or not, or nil.
// It tells which other nodes exist, and must not decide about requests.
func (s *Service) Held() *config.Configuration { return s.snapshot.Load().conf }

// isRegistered reports whether the register has a VM. Without a register every VM may
// connect, as the first configuration comes from other nodes.
func (s *Service) isRegistered(vm string) bool {
	c := s.Held()
	return c == nil || c.VMs[vm] != nil
}

// Content returns the documents that the node holds, or nil.
func (s *Service) Content() *Content { return s.snapshot.Load().content }

// Serving reports whether the node may serve. A node that just woke from a
// pause does not, even before the duty noticed the pause.
func (s *Service) Serving() bool {
	return s.isServing(s.snapshot.Load())
}

func (s *Service) isServing(sn *snapshot) bool { return sn.serving && !s.isPaused(time.Now()) }

func (s *Service) isPaused(now time.Time) bool {
	last := s.heartbeat.Load()
	return last == nil || elapsed(*last, now) > revision.PauseLimit
}

// elapsed is the time between two instants by the monotonic or the wall clock,
// whichever is longer, as the monotonic clock stands still while a VM is
// suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Adopted returns the ring of revisions put in force, for the service that
// announces them. When nobody takes them, the oldest are dropped.
func (s *Service) Adopted() *ring.Ring[config.Revision] { return s.adopted }

// ObserveRevision takes the revision of another node. The service fetches it if it is to
// be put in force. Heard never waits for the duty; it returns an error of
// package ring if the duty is behind.
func (s *Service) ObserveRevision(_ context.Context, vm string, node netip.AddrPort, rev config.Revision, serving bool) error {
	return s.commands.Offer(peerRevision{vm: vm, node: node, rev: rev, serving: serving})
}

// Evaluate returns what Offer would decide about a revision of the platform with
// valid content. A rejection is recorded.
func (s *Service) Evaluate(ctx context.Context, rev config.Revision) (revision.Verdict, error) {
	call := ring.NewCall[config.Revision, revision.Verdict](rev)
	if err := s.commands.Put(ctx, evaluate{call}); err != nil {
		return revision.Verdict{}, err
	}
	return call.Wait(ctx)
}

// Offer proposes a revision that was read from the platform and returns the
// verdict on it.
func (s *Service) Offer(ctx context.Context, c *Content) (revision.Verdict, error) {
	call := ring.NewCall[*Content, revision.Verdict](c)
	if err := s.commands.Put(ctx, offer{content: c, from: fromPlatform, call: &call}); err != nil {
		return revision.Verdict{}, err
	}
	return call.Wait(ctx)
}

// OfferList proposes a list of VMs that was read from the platform.
func (s *Service) OfferList(ctx context.Context, l *platform.VMList) error {
	return s.commands.Put(ctx, listUpdate{newList(l)})
}

// List returns the newest list of VMs that the node knows, or nil.
func (s *Service) List() *List { return s.snapshot.Load().list }

// State returns what operators see.
func (s *Service) State() State {
	sn := s.snapshot.Load()
	st := State{Serving: s.isServing(sn), Waiting: sn.waiting, Rejections: sn.rejections}
	if sn.serving && !st.Serving {
		st.Waiting = "the process was paused"
	}
	if sn.content != nil {
		st.Held = sn.content.Revision.Number
	}
	if sn.inForce {
		st.Revision = sn.conf.Revision.Number
	}
	if sn.list != nil {
		st.List = sn.list.Number
	}
	return st
}

// State is the state of the configuration, as operators see it.
type State struct {
	// Revision is in force; Held may be a later one that waits to be.
	Revision uint64 `json:"revision"`
	Held     uint64 `json:"held"`
	Serving  bool   `json:"serving"`
	// Waiting tells why the node does not serve.
	Waiting string `json:"waiting,omitempty"`
	// List is the number of the list of VMs.
	List uint64 `json:"list"`
	// Rejections are the last revisions that were not put in force.
	Rejections []Rejection `json:"rejections,omitempty"`
}

// Rejection is a revision that was not put in force.
type Rejection struct {
	First    time.Time        `json:"first"`
	Last     time.Time        `json:"last"`
	Count    int              `json:"count"`
	Revision uint64           `json:"revision"`
	Digest   string           `json:"digest"`
	Source   string           `json:"source"`
	Verdict  revision.Outcome `json:"verdict"`
	Reason   string           `json:"reason"`
}

// platformName is the source name of what the platform published.
const platformName = "platform"

var fromPlatform = origin{source: revision.Source{Name: platformName}}

// origin is where a revision comes from; node is not valid for the platform.
type origin struct {
	source revision.Source
	node   netip.AddrPort
}

// snapshot is the state that the duty publishes.
type snapshot struct {
	content    *Content
	conf       *config.Configuration
	inForce    bool
	serving    bool
	waiting    string
	superseded *superseded
	list       *List
	rejections []Rejection
}

// held returns the revision of the content; its number is 0 for none.
func (s *snapshot) held() config.Revision {
	if s.content == nil {
		return config.Revision{}
	}
	return s.content.Revision
}
