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
	// commandRingSize limits the number of commands that wait for the duty.
	commandRingSize = 1024
	// adoptedRingSize limits the number of adopted revisions that wait to be
	// announced.
	adoptedRingSize = 16
	// tick is the interval at which the duty checks the time. It is much shorter
	// than revision.PauseLimit, so that the duty detects pauses of the process.
	tick = 100 * time.Millisecond
)

// Service owns the documents and the configuration of the node. It decides which
// revision is in force and exchanges revisions with other nodes.
type Service struct {
	// VM is the name of the node's VM.
	VM string
	// Seeds are the nodes of the settings. Some of them are asked for their
	// revision while this node does not serve.
	Seeds []netip.AddrPort
	// Random is the random source of the duty.
	Random *rand.Rand
	// Log receives changes of the configuration and rejected revisions.
	Log *log.Logger

	commands  *ring.Ring[command]
	jobs      *ring.Ring[job]
	pulls     *ring.Ring[pull]
	questions *ring.Ring[question]
	adopted   *ring.Ring[config.Revision]
	// transfers contains one item for each transfer to another node that is in
	// progress.
	transfers *ring.Ring[struct{}]
	snapshot  atomic.Pointer[snapshot]
	// heartbeat is the time at which the duty last published its state.
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
	s.peers.SetAdmissionCheck(s.isRegistered)
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

// Current returns the configuration in force, or nil if there is none yet.
func (s *Service) Current() *config.Configuration {
	if sn := s.snapshot.Load(); sn.inForce {
		return sn.conf
	}
	return nil
}

// Held returns the configuration that the node holds, in force or not, or nil. Use
// it to find out which other nodes exist, but not for decisions about requests.
func (s *Service) Held() *config.Configuration { return s.snapshot.Load().conf }

// isRegistered reports whether the register contains a VM. Without a register, it
// reports true for every VM, because the first configuration comes from other nodes
// and they must be able to connect.
func (s *Service) isRegistered(vm string) bool {
	c := s.Held()
	return c == nil || c.VMs[vm] != nil
}

// Content returns the documents that the node holds, or nil.
func (s *Service) Content() *Content { return s.snapshot.Load().content }

// Serving reports whether the node may serve. It reports false after a pause of the
// process that is longer than revision.PauseLimit, even before the duty has detected
// the pause.
func (s *Service) Serving() bool {
	return s.isServing(s.snapshot.Load())
}

// isServing is Serving for a given snapshot.
func (s *Service) isServing(sn *snapshot) bool { return sn.serving && !s.isPaused(time.Now()) }

// isPaused reports whether the duty has not run for more than revision.PauseLimit.
func (s *Service) isPaused(now time.Time) bool {
	last := s.heartbeat.Load()
	return last == nil || elapsed(*last, now) > revision.PauseLimit
}

// elapsed returns the time between two instants by the monotonic or the wall clock,
// whichever is longer, because the monotonic clock stops while a VM is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Adopted returns the ring of the revisions that this node put in force, for the
// service that announces them. When the ring is full, the oldest revisions are
// dropped.
func (s *Service) Adopted() *ring.Ring[config.Revision] { return s.adopted }

// ObserveRevision reports to the service the revision that another node holds. The
// service fetches its documents if the revision would be accepted. ObserveRevision
// does not block; it returns an error of package ring if the ring of commands is full
// or closed.
func (s *Service) ObserveRevision(_ context.Context, vm string, node netip.AddrPort, rev config.Revision, serving bool) error {
	return s.commands.Offer(peerRevision{vm: vm, node: node, rev: rev, serving: serving})
}

// Evaluate returns what Offer would decide about a revision of the platform if its
// content is valid. A rejection is recorded.
func (s *Service) Evaluate(ctx context.Context, rev config.Revision) (revision.Verdict, error) {
	call := ring.NewCall[config.Revision, revision.Verdict](rev)
	if err := s.commands.Put(ctx, evaluate{call}); err != nil {
		return revision.Verdict{}, err
	}
	return call.Wait(ctx)
}

// Offer proposes a revision that was read from the platform and returns the verdict
// after its content was compiled.
func (s *Service) Offer(ctx context.Context, c *Content) (revision.Verdict, error) {
	call := ring.NewCall[*Content, revision.Verdict](c)
	if err := s.commands.Put(ctx, offer{content: c, from: fromPlatform, call: &call}); err != nil {
		return revision.Verdict{}, err
	}
	return call.Wait(ctx)
}

// OfferList proposes a list of VMs that was read from the platform. A list that is
// not newer than the known one is ignored.
func (s *Service) OfferList(ctx context.Context, l *platform.VMList) error {
	return s.commands.Put(ctx, listUpdate{newList(l)})
}

// List returns the newest list of VMs that the node knows, or nil.
func (s *Service) List() *List { return s.snapshot.Load().list }

// State returns the state of the configuration for operators.
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

// State describes the configuration of a node to operators.
type State struct {
	// Revision is the number of the revision in force. Held is the number of the
	// held revision, which may be a later one that is not in force yet. Both are 0
	// for none.
	Revision uint64 `json:"revision"`
	Held     uint64 `json:"held"`
	Serving  bool   `json:"serving"`
	// Waiting is the reason why the node does not serve, or empty.
	Waiting string `json:"waiting,omitempty"`
	// List is the number of the list of VMs, or 0 without a list.
	List uint64 `json:"list"`
	// Rejections are the last rejected revisions, the oldest first.
	Rejections []Rejection `json:"rejections,omitempty"`
}

// Rejection describes a revision that was rejected, and how often. Equal rejections
// from the same source are counted in one Rejection.
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

// platformName is the name of the platform as a source of revisions.
const platformName = "platform"

var fromPlatform = origin{source: revision.Source{Name: platformName}}

// origin identifies where a revision comes from. The address node is not valid for
// the platform.
type origin struct {
	source revision.Source
	node   netip.AddrPort
}

// snapshot is the immutable state that the duty publishes to other goroutines.
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

// held returns the revision that the node holds. Its number is 0 if there is none.
func (s *snapshot) held() config.Revision {
	if s.content == nil {
		return config.Revision{}
	}
	return s.content.Revision
}
