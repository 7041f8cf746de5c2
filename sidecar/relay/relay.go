// Package relay is the service that places the requests of clients: it chooses
// instances, offers the request to their gates, and repeats what may be repeated.
package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/belief"
	"cassiarack.example/lib/decision/placement"
	"cassiarack.example/lib/decision/retry"
	"cassiarack.example/lib/decision/roster"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/wire"
	"cassiarack.example/sidecar/gate"
	"cassiarack.example/sidecar/journal"
	"cassiarack.example/sidecar/message"
	"cassiarack.example/sidecar/names"
	"cassiarack.example/sidecar/notice"
	"cassiarack.example/sidecar/publication"
)

const (
	commands = 1024
	// loadMemory is how long the load that a gate told is of use.
	loadMemory = 400 * time.Millisecond
	// unreachableTime is how long a sidecar that did not answer is avoided.
	unreachableTime = 1500 * time.Millisecond
	// leavingTime is how long a sidecar that announced its stop is avoided. A
	// sidecar is back a few seconds after its stop, and then says so with its
	// first reply.
	leavingTime = 8 * time.Second
	// repeatShare is the part of the shared budget for repeats that is used, as
	// calls made by repeated work count as repeats too.
	repeatShare = 0.85
	// testReserve is what the budget must hold for a test, as a test is likely to
	// be followed by a repeat.
	testReserve = 2.0
)

// Publication knows what the platform publishes.
type Publication interface {
	State() *publication.State
}

// Gates offers requests to the gates of instances.
type Gates interface {
	// Offer returns the reply of the gate on a VM. An error means that there was
	// none; see peers.NotConnected.
	Offer(ctx context.Context, vm netip.Addr, r *wire.RunRequest) (*wire.RunReply, error)
}

// network reaches the gate of this VM directly and those of others over
// connections between sidecars.
type network struct {
	self  netip.Addr
	port  uint16
	own   *gate.Service
	peers *peers.Service
}

// Offer implements Gates.
func (n *network) Offer(ctx context.Context, vm netip.Addr, r *wire.RunRequest) (*wire.RunReply, error) {
	if vm == n.self {
		return n.own.Offer(ctx, r)
	}
	return wire.NewDRPCRelayClient(n.peers.Conn(ctx, netip.AddrPortFrom(vm, n.port))).Offer(ctx, r)
}

// Service places requests.
type Service struct {
	// DataCentre is where this VM stands.
	DataCentre string
	// Self is the address of this VM.
	Self netip.Addr
	// Port is where other sidecars take calls.
	Port uint16
	// RepeatRatio, RepeatSlack and RepeatWindow are the budget of all sidecars.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
	Random       *rand.Rand
	Scope        tally.Scope
	Log          *log.Logger

	publication Publication
	gates       Gates
	journal     *journal.Service

	commands *ring.Ring[func(now time.Time)]
	times    tally.Histogram

	// The fields below belong to the duty.
	instances map[string]*instance
	budgets   map[string]*retry.WindowBudget
}

// instance is what the sidecar believes about an instance.
type instance struct {
	id string
	// born tells incarnations with the same ID apart.
	born             time.Time
	filter           belief.Filter
	load             int
	loadAt           time.Time
	own              int
	unreachableUntil time.Time
	leavingUntil     time.Time
	sender           uint64
	sequence         uint64
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.publication, err = kernel.Find[Publication](dir, names.Publication); err != nil {
		return err
	}
	gates := &network{self: s.Self, port: s.Port}
	if gates.peers, err = kernel.Find[*peers.Service](dir, names.Peers); err != nil {
		return err
	}
	if gates.own, err = kernel.Find[*gate.Service](dir, names.Gate); err != nil {
		return err
	}
	s.gates = gates
	if s.journal, err = kernel.Find[*journal.Service](dir, names.Journal); err != nil {
		return err
	}
	n, err := kernel.Find[*notice.Service](dir, names.Notices)
	if err != nil {
		return err
	}
	n.Handle(s.noticed)
	s.commands = ring.New[func(time.Time)](commands)
	// From 1 ms to 16 s, the longest deadlines of clients.
	s.times = s.Scope.Histogram("request_duration", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15))
	s.instances = make(map[string]*instance)
	s.budgets = make(map[string]*retry.WindowBudget)
	return nil
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	d := ring.Duty[func(time.Time)]{Ring: s.commands, Handle: func(now time.Time, f func(time.Time)) { f(now) }}
	return d.Run(ctx)
}

// noticed takes the condition of an instance from a datagram.
func (s *Service) noticed(received time.Time, from netip.Addr, n *wire.Notice) {
	c := n.GetCondition()
	if c == nil {
		return
	}
	if err := s.commands.Offer(func(now time.Time) { s.learn(received, n.GetIncarnation(), c) }); err != nil {
		s.Log.Warn("A notice was dropped.", "from", from, "err", err)
	}
}

// learn takes over what a gate tells of its instance. Sender is the incarnation
// of the gate's process, or zero if it is not known.
func (s *Service) learn(now time.Time, sender uint64, c *wire.Condition) {
	entry, ok := s.publication.State().Instances[c.GetInstance()]
	if !ok {
		return
	}
	i := s.instance(entry)
	if sender != 0 && sender != i.sender {
		i.sender, i.sequence = sender, 0
	}
	if c.GetSequence() <= i.sequence && now.Sub(i.loadAt) < loadMemory {
		return
	}
	i.sequence = c.GetSequence()
	i.load, i.loadAt = int(c.GetRunning()+c.GetWaiting()), now
	if c.GetEvidenceAge() >= 0 {
		i.filter.Set(float64(c.GetFailingPermille())/1000, now.Add(-time.Duration(c.GetEvidenceAge())), now)
	}
	i.unreachableUntil = time.Time{}
	i.leavingUntil = time.Time{}
	if c.GetLeaving() {
		i.leavingUntil = now.Add(leavingTime)
	}
}

// placed is an instance that was chosen for a request.
type placed struct {
	roster.Instance
	choice placement.Choice
	// failing is the belief at the time of the choice.
	failing  float64
	evidence time.Time
}

// place chooses an instance and counts the request there. It reports false if
// there is none.
func (s *Service) place(now time.Time, r *message.Request, excluded map[string]bool, tests bool) (placed, bool) {
	list := s.publication.State().Services[r.Service]
	known := make([]roster.Instance, 0, len(list))
	candidates := make([]placement.Candidate, 0, len(list))
	for _, entry := range list {
		i := s.instance(entry)
		if entry.Draining || now.Before(i.leavingUntil) {
			continue
		}
		load := i.own
		if now.Sub(i.loadAt) < loadMemory {
			load = max(load, i.load)
		}
		known = append(known, entry)
		candidates = append(candidates, placement.Candidate{
			Failing: i.filter.Failing(now), Evidence: i.filter.Evidence(), Load: load, Slots: entry.Slots,
			Remote: entry.DataCentre != s.DataCentre, Cold: entry.Cold,
			Unreachable: now.Before(i.unreachableUntil), Excluded: excluded[entry.ID],
		})
	}
	tests = tests && s.mayTest(now, r)
	c := placement.Choose(now, s.Random, placement.Request{Tests: tests}, candidates)
	if c.Index < 0 {
		return placed{}, false
	}
	chosen := known[c.Index]
	s.instances[chosen.ID].own++
	return placed{Instance: chosen, choice: c, failing: candidates[c.Index].Failing,
		evidence: candidates[c.Index].Evidence}, true
}

// instance returns the belief about an entry, a new one for a new incarnation.
func (s *Service) instance(entry roster.Instance) *instance {
	i := s.instances[entry.ID]
	if i == nil || !i.born.Equal(entry.Born) {
		i = &instance{id: entry.ID, born: entry.Born, filter: belief.Filter{Model: belief.DefaultModel}}
		s.instances[entry.ID] = i
		s.forget()
	}
	return i
}

// forget drops the beliefs about instances that are gone.
func (s *Service) forget() {
	published := s.publication.State().Instances
	for id := range s.instances {
		if _, ok := published[id]; !ok {
			delete(s.instances, id)
		}
	}
}

// returned takes the end of an offer. Reached tells whether the gate answered.
func (s *Service) returned(now time.Time, id string, c *wire.Condition, reached bool) {
	i := s.instances[id]
	if i == nil {
		return
	}
	i.own = max(0, i.own-1)
	if !reached {
		i.unreachableUntil = now.Add(unreachableTime)
		return
	}
	if c != nil && c.GetInstance() == id {
		s.learn(now, 0, c)
	}
}

// budget returns the budget for repeats to a service.
func (s *Service) budget(service string) *retry.WindowBudget {
	b := s.budgets[service]
	if b == nil {
		b = &retry.WindowBudget{}
		s.budgets[service] = b
	}
	b.Length, b.Ratio = s.RepeatWindow, s.RepeatRatio*repeatShare
	return b
}

// SetRepeats changes the budget of all sidecars while the service runs.
func (s *Service) SetRepeats(ratio, slack float64, window time.Duration) {
	s.tellDuty(func(time.Time) { s.RepeatRatio, s.RepeatSlack, s.RepeatWindow = ratio, slack, window })
}

// slack is this sidecar's part of the constant share of the budget.
func (s *Service) slack() float64 {
	nodes := len(s.publication.State().Peers) + 1
	return s.RepeatSlack * repeatShare / float64(nodes)
}

// mayRepeat takes a repeat from the budget.
func (s *Service) mayRepeat(now time.Time, service string) bool {
	return s.budget(service).Allow(now, s.slack(), 0)
}

// mayTest reports whether a request may test a doubtful instance.
func (s *Service) mayTest(now time.Time, r *message.Request) bool {
	t := s.publication.State().Table
	return t != nil && t.Tests(r.Route, r.Service) && s.budget(r.Service).Remaining(now, s.slack()) >= testReserve
}
