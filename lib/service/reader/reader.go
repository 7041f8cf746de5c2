// Package reader is the service that reads the platform while the node is one
// of the readers of its data centre.
//
// Two goroutines watch the configuration and the list of VMs. Both offer what they
// read to the config service, which distributes it to the fleet.
package reader

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cassiarack.example/lib/clock"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/member"
	"cassiarack.example/lib/decision/reader"
	"cassiarack.example/lib/decision/revision"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/platform"
	"cassiarack.example/lib/service"
	configservice "cassiarack.example/lib/service/config"
	"cassiarack.example/lib/service/metrics"
)

const (
	// watchWait is the longest time for which the platform holds a watch without a
	// change.
	watchWait = 10 * time.Second
	// callTimeout limits the time of a call, in addition to the time for which the
	// platform may hold it.
	callTimeout = 10 * time.Second
	// roleInterval is the interval at which a node that is not a reader computes its
	// role.
	roleInterval = time.Second
	// maxStartDelay is the longest delay before the first read of a node without a
	// configuration. While a fleet starts, most nodes receive a configuration from
	// another node within this time and never read the platform.
	maxStartDelay = 2 * time.Second
)

// Membership tells which VMs are considered alive. The gossip service implements it.
type Membership interface {
	// Members returns the known VMs with their states.
	Members() []member.Member
}

// Service reads the configuration and the list of VMs from the platform.
type Service struct {
	// VM and DataCentre are the names of this node's VM and its data centre.
	VM         string
	DataCentre string
	// Client is the client of the platform's interface.
	Client *platform.Client
	// Random is the random source, which both goroutines use.
	Random *rand.Rand
	// Log receives changes of the role and failed reads.
	Log *log.Logger

	config  *configservice.Service
	members Membership
	scope   tally.Scope
	// reading is set while the node is a reader.
	reading atomic.Bool

	// mu guards Random and budget, which both watches use.
	mu     sync.Mutex
	budget *reader.Budget
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	if s.Client.HTTP == nil {
		s.Client.HTTP = &http.Client{}
	}
	s.budget = reader.NewBudget()
	m, err := kernel.Find[*metrics.Service](dir, service.Metrics)
	if err != nil {
		return err
	}
	s.scope = m.Scope().SubScope("reader")
	if s.config, err = kernel.Find[*configservice.Service](dir, service.Config); err != nil {
		return err
	}
	s.members, err = kernel.Find[Membership](dir, service.Gossip)
	return err
}

// candidates returns the members among which the readers are chosen. A leaving node is
// not alive for this purpose, so that another node takes the role before it is gone.
func (s *Service) candidates() []reader.Member {
	ms := s.members.Members()
	out := make([]reader.Member, 0, len(ms))
	for _, m := range ms {
		// A suspect member is not alive either, so that another node reads before the
		// member is declared dead.
		out = append(out, reader.Member{Name: m.Name, DataCentre: m.DataCentre, Alive: m.State == member.Alive})
	}
	return out
}

// Reading reports whether the node is a reader.
func (s *Service) Reading() bool { return s.reading.Load() }

// VMs returns the newest list of VMs, or nil if there is none yet. In a nil list,
// every VM is live.
func (s *Service) VMs() *configservice.List { return s.config.List() }

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	var watches sync.WaitGroup
	watches.Go(func() { s.watch(ctx, &manifestWatch{s: s}) })
	watches.Go(func() { s.watch(ctx, &listWatch{s: s}) })
	watches.Wait()
	return nil
}

// watchTarget is something that the platform publishes and that can be watched.
type watchTarget interface {
	// read performs one watch and offers the result to the config service.
	read(ctx context.Context) error
	// reset forgets what the platform showed, so that the next watch shows it
	// again.
	reset()
}

// watch reads a target while the node is a reader, until ctx is done.
func (s *Service) watch(ctx context.Context, w watchTarget) {
	if s.config.Held() == nil && !clock.Sleep(ctx, s.randomDelay(maxStartDelay)) {
		return
	}
	failures := 0
	for ctx.Err() == nil {
		if !s.updateRole(time.Now()) {
			w.reset()
			clock.Sleep(ctx, roleInterval)
			continue
		}
		err := w.read(ctx)
		switch {
		case err == nil || errors.Is(err, platform.ErrUnchanged):
			failures = 0
		case ctx.Err() == nil:
			failures++
			s.scope.Counter("failed").Inc(1)
			wait := s.backoff(failures)
			s.Log.Warn("Reading the platform failed.", "failures", failures, "wait", wait, "err", err)
			w.reset()
			clock.Sleep(ctx, wait)
		}
	}
}

// updateRole computes and records whether the node is a reader.
func (s *Service) updateRole(now time.Time) bool {
	is := reader.IsReader(now, s.VM, s.DataCentre, s.candidates())
	if s.reading.Swap(is) != is {
		s.Log.Info("Reader role changed.", "reader", is)
	}
	return is
}

// reserveRead takes a read from the budget, and waits until the budget allows it.
func (s *Service) reserveRead(ctx context.Context) error {
	s.mu.Lock()
	wait := s.budget.Reserve(time.Now())
	s.mu.Unlock()
	s.scope.Counter("reads").Inc(1)
	if wait > 0 && !clock.Sleep(ctx, wait) {
		return ctx.Err()
	}
	return nil
}

// backoff returns the wait after a number of consecutive failures.
func (s *Service) backoff(failures int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return reader.Backoff(s.Random, failures)
}

// randomDelay returns a random delay shorter than longest.
func (s *Service) randomDelay(longest time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.Random.Int64N(int64(longest)))
}

// manifestWatch watches the configuration.
type manifestWatch struct {
	s *Service
	// lastShown is the number of the last revision that the platform showed. The
	// first watch after a reset asks for any revision, so that a platform whose
	// revision is older than the held one is detected.
	lastShown uint64
	// watchedOnce is set after the first successful watch since a reset.
	watchedOnce bool
}

func (m *manifestWatch) reset() { m.lastShown, m.watchedOnce = 0, false }

func (m *manifestWatch) read(ctx context.Context) error {
	after := m.lastShown
	if c := m.s.config.Content(); c != nil && m.watchedOnce {
		after = max(after, c.Revision.Number)
	}
	if err := m.s.reserveRead(ctx); err != nil {
		return err
	}
	watch, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	manifest, err := m.s.Client.WatchRevision(watch, after, watchWait)
	if err != nil {
		return err
	}
	m.watchedOnce = true
	v, err := m.s.config.Evaluate(ctx, config.Revision{Number: manifest.Revision, Digest: manifest.Digest()})
	if err != nil {
		return err
	}
	if v.Outcome != revision.Accepted {
		m.lastShown = manifest.Revision
		return nil
	}
	content, err := m.load(ctx, manifest)
	if err != nil {
		return err
	}
	if _, err := m.s.config.Offer(ctx, content); err != nil {
		return err
	}
	m.lastShown = manifest.Revision
	return nil
}

// load reads the documents of a revision that the node lacks, and returns the content
// of the revision.
func (m *manifestWatch) load(ctx context.Context, manifest *platform.Manifest) (*configservice.Content, error) {
	have := m.s.config.Content()
	documents := make(map[string]config.Document, len(manifest.Documents))
	for _, d := range manifest.Documents {
		if doc, ok := have.Reuse(d); ok {
			documents[d.Name] = doc
			continue
		}
		if err := m.s.reserveRead(ctx); err != nil {
			return nil, err
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		text, err := m.s.Client.Document(call, manifest.Revision, d)
		cancel()
		if err != nil {
			return nil, err
		}
		documents[d.Name] = config.NewDocument(text)
	}
	return configservice.NewContent(manifest, documents)
}

// listWatch watches the list of VMs.
type listWatch struct {
	s         *Service
	lastShown uint64
}

func (l *listWatch) reset() { l.lastShown = 0 }

func (l *listWatch) read(ctx context.Context) error {
	after := l.lastShown
	if have := l.s.config.List(); have != nil {
		after = max(after, have.Number)
	}
	if err := l.s.reserveRead(ctx); err != nil {
		return err
	}
	watch, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	list, err := l.s.Client.WatchVMs(watch, after, watchWait)
	if err != nil {
		return err
	}
	l.lastShown = list.Revision
	return l.s.config.OfferList(ctx, list)
}
