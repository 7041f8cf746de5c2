// Package relay implements the service that forwards the requests of clients. It
// chooses an instance, offers the request to the gate of that instance, and
// repeats the request at another instance if its route and the budget for repeats
// allow it.
package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/belief"
	"cassiarack.example/lib/decision/calls"
	"cassiarack.example/lib/decision/placement"
	"cassiarack.example/lib/decision/retry"
	"cassiarack.example/lib/decision/room"
	"cassiarack.example/lib/decision/roster"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
	"cassiarack.example/sidecar/gate"
	"cassiarack.example/sidecar/journal"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/message"
	"cassiarack.example/sidecar/names"
	"cassiarack.example/sidecar/notice"
	"cassiarack.example/sidecar/publication"
)

const (
	commandCapacity = 1024
	// loadValidity is how long a load reported by a gate is used.
	loadValidity = 400 * time.Millisecond
	// unreachableBackoff is how long a sidecar is avoided after it did not answer.
	unreachableBackoff = 1500 * time.Millisecond
	// leavingBackoff is how long a sidecar is avoided after its gate closed for a
	// stop. It restarts about a second later, and its first notice ends the backoff
	// early; a longer backoff would leave out its instance after a lost notice.
	leavingBackoff = 3 * time.Second
	// repeatBudgetShare is the fraction of the shared budget for repeats that the
	// relay uses. The rest covers the calls that repeated requests make, which
	// count as repeats too.
	repeatBudgetShare = 0.85
	// testReserve is the number of repeats that the budget must still allow before
	// a request may test a doubtful instance, because a test is likely to be
	// followed by a repeat.
	testReserve = 2.0
)

// Publication provides the configuration and the instances that the platform
// publishes.
type Publication interface {
	State() *publication.State
}

// Gates offers requests to the gates of instances.
type Gates interface {
	// Offer offers a request to the gate on a VM and returns the gate's reply. The
	// memory of the answer is kept by answer. An error means that no reply arrived;
	// transfer.NotSent reports whether the request did not run and never will.
	Offer(ctx context.Context, vm netip.Addr, r *wire.RunRequest, answer *memory.Hold) (*wire.RunReply, error)
}

// OwnGate is the gate of the instance on this VM.
type OwnGate interface {
	// AttachCalls makes b account for the calls of the instance.
	AttachCalls(b gate.CallBudget)
}

// Rooms knows whether services have room.
type Rooms interface {
	// Admit reports whether a request for a service is admitted. If not, it returns
	// the time after which the caller may try again.
	Admit(ctx context.Context, service string, r room.Request) (admitted bool, retryAfter time.Duration)
	// Observe records that an answered offer took the time stay.
	Observe(service string, stay time.Duration)
}

// Service forwards requests to instances.
type Service struct {
	// DataCentre is the data centre of this VM.
	DataCentre string
	// OwnService is the service of the instance on this VM.
	OwnService string
	// RepeatRatio, RepeatSlack and RepeatWindow define the budget for repeats that
	// all sidecars share: in any window, repeats are limited to the ratio times the
	// number of requests, plus the slack.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
	Random       *rand.Rand
	Scope        tally.Scope
	Log          *log.Logger

	publication Publication
	gates       Gates
	ownGate     OwnGate
	rooms       Rooms
	journal     *journal.Service

	commands         *ring.Ring[func(now time.Time)]
	requestDurations tally.Histogram
	// started is when the process started.
	started time.Time

	// Only the goroutine of Run uses the fields below.
	instances map[string]*instanceState
	budgets   map[string]*retry.WindowBudget
	calls     calls.Estimator
}

// instanceState is the state of an instance as far as this sidecar knows it.
type instanceState struct {
	id string
	// startedAt distinguishes incarnations with the same ID.
	startedAt        time.Time
	filter           belief.Filter
	load             int
	loadAt           time.Time
	outstanding      int
	unreachableUntil time.Time
	leavingUntil     time.Time
	gateIncarnation  uint64
	sequence         uint64
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.publication, err = kernel.Find[Publication](dir, names.Publication); err != nil {
		return err
	}
	if s.gates, err = kernel.Find[Gates](dir, names.Transfer); err != nil {
		return err
	}
	if s.ownGate, err = kernel.Find[OwnGate](dir, names.Gate); err != nil {
		return err
	}
	s.ownGate.AttachCalls(callBudget{s})
	if s.rooms, err = kernel.Find[Rooms](dir, names.Room); err != nil {
		return err
	}
	if s.journal, err = kernel.Find[*journal.Service](dir, names.Journal); err != nil {
		return err
	}
	n, err := kernel.Find[*notice.Service](dir, names.Notices)
	if err != nil {
		return err
	}
	n.Handle(s.handleNotice)
	s.commands, s.started = ring.New[func(time.Time)](commandCapacity), time.Now()
	// The buckets reach from 1 ms to 16 s, the longest deadline of clients.
	s.requestDurations = s.Scope.Histogram("request_duration", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15))
	s.instances = make(map[string]*instanceState)
	s.budgets = make(map[string]*retry.WindowBudget)
	return nil
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	d := ring.Duty[func(time.Time)]{Ring: s.commands, Handle: func(now time.Time, f func(time.Time)) { f(now) }}
	return d.Run(ctx)
}

// handleNotice applies the condition of an instance from a received notice.
func (s *Service) handleNotice(received time.Time, from netip.Addr, n *wire.Notice) {
	c := n.GetCondition()
	if c == nil {
		return
	}
	if err := s.commands.Offer(func(now time.Time) { s.applyCondition(received, n.GetIncarnation(), c) }); err != nil {
		s.Log.Warn("A notice was dropped.", "from", from, "err", err)
	}
}

// applyCondition updates the state of an instance with the condition that its gate
// reported. Sender is the incarnation of the gate's process, or zero if it is
// unknown. A condition with an old sequence number is ignored unless the last load
// is older than loadValidity.
func (s *Service) applyCondition(now time.Time, sender uint64, c *wire.Condition) {
	published := s.publication.State()
	entry, ok := published.Instances[c.GetInstance()]
	if !ok {
		return
	}
	i := s.stateOf(published, entry)
	if sender != 0 && sender != i.gateIncarnation {
		i.gateIncarnation, i.sequence = sender, 0
	}
	if c.GetSequence() <= i.sequence && now.Sub(i.loadAt) < loadValidity {
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
		i.leavingUntil = now.Add(leavingBackoff)
	}
}

// chosenInstance is an instance that was chosen for a request.
type chosenInstance struct {
	roster.Instance
	choice placement.Choice
	// failing is the estimated probability of failing at the time of the choice.
	failing  float64
	evidence time.Time
}

// place chooses an instance and counts the request as outstanding there. It reports
// false if no instance is available.
func (s *Service) place(now time.Time, r *message.Request, excluded map[string]bool, tests bool) (chosenInstance, bool) {
	// The state is read once: a removal in between must not affect this placement.
	published := s.publication.State()
	list := published.Services[r.Service]
	known := make([]roster.Instance, 0, len(list))
	candidates := make([]placement.Candidate, 0, len(list))
	for _, entry := range list {
		i := s.stateOf(published, entry)
		if entry.Draining || now.Before(i.leavingUntil) {
			continue
		}
		load := i.outstanding
		if now.Sub(i.loadAt) < loadValidity {
			load = max(load, i.load)
		}
		known = append(known, entry)
		candidates = append(candidates, placement.Candidate{
			FailingProbability: i.filter.FailingProbability(now), EvidenceAt: i.filter.EvidenceAt(), Load: load, Slots: entry.Slots,
			Remote: entry.DataCentre != s.DataCentre, Cold: entry.Cold,
			Unreachable: now.Before(i.unreachableUntil), Excluded: excluded[entry.ID],
		})
	}
	tests = tests && s.mayTest(now, r)
	c := placement.Choose(now, s.Random, placement.Request{MayTest: tests}, candidates)
	if c.Index < 0 {
		return chosenInstance{}, false
	}
	chosen := known[c.Index]
	s.instances[chosen.ID].outstanding++
	return chosenInstance{Instance: chosen, choice: c, failing: candidates[c.Index].FailingProbability,
		evidence: candidates[c.Index].EvidenceAt}, true
}

// stateOf returns the state of an instance of the published state. A new incarnation
// gets a new state.
func (s *Service) stateOf(published *publication.State, entry roster.Instance) *instanceState {
	i := s.instances[entry.ID]
	if i == nil || !i.startedAt.Equal(entry.StartedAt) {
		i = &instanceState{id: entry.ID, startedAt: entry.StartedAt, filter: belief.Filter{Model: belief.DefaultModel}}
		s.instances[entry.ID] = i
		s.removeUnpublished(published)
	}
	return i
}

// removeUnpublished removes the state of instances that are not published.
func (s *Service) removeUnpublished(published *publication.State) {
	for id := range s.instances {
		if _, ok := published.Instances[id]; !ok {
			delete(s.instances, id)
		}
	}
}

// completeOffer updates the state of an instance after an offer to it ended.
// Reached is false if the gate did not answer.
func (s *Service) completeOffer(now time.Time, id string, c *wire.Condition, reached bool) {
	i := s.instances[id]
	if i == nil {
		return
	}
	i.outstanding = max(0, i.outstanding-1)
	if !reached {
		i.unreachableUntil = now.Add(unreachableBackoff)
		return
	}
	if c != nil && c.GetInstance() == id {
		s.applyCondition(now, 0, c)
	}
}

// budget returns the budget for repeats of requests to a service.
func (s *Service) budget(service string) *retry.WindowBudget {
	b := s.budgets[service]
	if b == nil {
		b = &retry.WindowBudget{Started: s.started}
		s.budgets[service] = b
	}
	b.Length, b.Ratio = s.RepeatWindow, s.RepeatRatio*repeatBudgetShare
	return b
}

// recordRequest counts a request for the budget of its service. It may be a call of the
// instance on this VM.
func (s *Service) recordRequest(now time.Time, r *message.Request) {
	s.budget(r.Service).RecordRequest(now)
	// Instances call other services than their own.
	if r.Service != s.OwnService {
		s.calls.Request(now, r.Service)
	}
}

// SetRepeatBudget changes the budget for repeats that all sidecars share. It may be
// called while the service runs.
func (s *Service) SetRepeatBudget(ratio, slack float64, window time.Duration) {
	s.enqueue(func(time.Time) { s.RepeatRatio, s.RepeatSlack, s.RepeatWindow = ratio, slack, window })
}

// slack returns this sidecar's part of RepeatSlack, the constant part of the budget.
func (s *Service) slack() float64 {
	nodes := len(s.publication.State().Peers) + 1
	return s.RepeatSlack * repeatBudgetShare / float64(nodes)
}

// takeRepeat takes one repeat from the budget of the service of r and reports whether
// the budget allowed it. If the configuration has organisations, they share the
// budget; requests that belong to none count as one further organisation.
func (s *Service) takeRepeat(now time.Time, r *message.Request) bool {
	b := s.budget(r.Service)
	if !s.hasOrganisations() {
		return b.Allow(now, s.slack(), 0)
	}
	if b.AllowShare(now, s.slack(), organisationName(r)) {
		return true
	}
	s.Scope.Counter("repeats_denied").Inc(1)
	return false
}

// hasOrganisations reports whether the configuration has organisations.
func (s *Service) hasOrganisations() bool {
	t := s.publication.State().Table
	return t != nil && t.Register != nil
}

// hasRoom reports whether the service of r has room for it. If not, it returns the time
// after which the caller may try again.
func (s *Service) hasRoom(ctx context.Context, r *message.Request) (admitted bool, retryAfter time.Duration) {
	q := room.Request{Organisation: organisationName(r), Priority: r.Route.Priority}
	if r.Organisation != nil {
		q.OrganisationPriority = r.Organisation.Priority
	} else {
		q.Nested = s.hasOrganisations()
	}
	return s.rooms.Admit(ctx, r.Service, q)
}

// organisationName returns the name of the organisation of r, or an empty name.
func organisationName(r *message.Request) string {
	if r.Organisation == nil {
		return ""
	}
	return r.Organisation.Name
}

// mayTest reports whether a request may test a doubtful instance: its route must
// allow tests, and the budget must still allow testReserve repeats. Charges for calls
// of repeated runs do not count here: without tests, instances that have recovered get
// no requests.
func (s *Service) mayTest(now time.Time, r *message.Request) bool {
	t := s.publication.State().Table
	return t != nil && t.MayTest(r.Route, r.Service) && s.budget(r.Service).Uncharged(now, s.slack()) >= testReserve
}
