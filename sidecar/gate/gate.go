// Package gate implements the service that controls access to one instance. All
// requests to the instance pass through its gate, which runs in the sidecar on
// the same VM.
//
// The gate queues or refuses requests, runs them at the instance, and estimates
// the probability that the instance is failing. Replies and notices carry this
// estimate to other sidecars.
package gate

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/clock"
	"cassiarack.example/lib/decision/admission"
	"cassiarack.example/lib/decision/belief"
	"cassiarack.example/lib/decision/placement"
	"cassiarack.example/lib/decision/room"
	"cassiarack.example/lib/decision/spread"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
	"cassiarack.example/sidecar/backend"
	"cassiarack.example/sidecar/journal"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/names"
	"cassiarack.example/sidecar/notice"
	"cassiarack.example/sidecar/publication"
)

const (
	// tick is the interval at which the deadlines of waiting requests are checked.
	tick = 20 * time.Millisecond
	// testInterval is the minimum time between two tests of a doubtful instance.
	testInterval = 350 * time.Millisecond
	// loadNoticeInterval is the minimum time between two notices about load.
	loadNoticeInterval = 200 * time.Millisecond
	// defaultSlots is the number of slots until the instance's entry is published.
	defaultSlots    = 2
	commandCapacity = 1024
	// maxInstanceBodies bounds the bytes of the bodies that the instance has at one
	// time. An instance fails when the requests that it holds exceed its memory.
	maxInstanceBodies = 16 << 20
	// leaveNoticeCount is the number of notices that announce a stop. More than one
	// is sent because datagrams may be lost.
	leaveNoticeCount = 2
)

// Service is the gate of one instance.
type Service struct {
	// Instance is the address of the instance.
	Instance netip.AddrPort
	// Answers is the pool for the bodies of the instance's answers. The holds that
	// callers pass belong to the same account.
	Answers *memory.Pool
	// MinStopTime is the shortest time from the start of a shutdown to the end of
	// the process. The gate admits requests for most of it.
	MinStopTime time.Duration
	// Random is the random source of the goroutine of Run.
	Random *rand.Rand
	Scope  tally.Scope
	Log    *log.Logger

	publication *publication.Service
	notices     *notice.Service
	client      *backend.Client
	journal     *journal.Service

	commands  *ring.Ring[func(now time.Time)]
	executing atomic.Int64
	// calls is nil if nothing accounts for the calls of the instance.
	calls CallBudget
	// stopped is closed when Run has returned and no command is handled any more.
	stopped chan struct{}

	// Only the goroutine of Run uses the fields below.
	queue             admission.Queue[*job]
	filter            belief.Filter
	lastTestAt        time.Time
	runningTests      int
	lastNestedFailure nestedFailure
	sequence          uint64
	announcedDoubtful bool
	announcedFull     bool
	leaving           bool
	// closeAt is when the gate closes during a shutdown. It is zero before one.
	closeAt      time.Time
	lastNoticeAt time.Time
	// refused counts the requests refused or displaced in later rounds of offers since
	// the last call of ReportLoad.
	refused       int
	instanceID    string
	instanceStart time.Time
}

// CallBudget accounts for the requests that the instance sends to other services while
// it runs requests.
type CallBudget interface {
	// Reserve takes the calls of a repeated run from the budgets for repeats of the
	// services that it calls. It reports false if one of them has no room. CallFailed is
	// set if the last run of the request failed together with a call. The function refund
	// returns the calls of a run that did not take place.
	Reserve(ctx context.Context, callFailed bool) (refund func(), ok bool)
	// RunStarted records that a run begins.
	RunStarted()
	// RunEnded records that a run ended. Executed is false if the instance got nothing
	// or refused the request.
	RunEnded(executed bool)
}

// AttachCalls makes b account for the calls of the instance. It may be called only from
// the Bind methods of other services.
func (s *Service) AttachCalls(b CallBudget) { s.calls = b }

// job is a request that waits or runs at the gate.
type job struct {
	request *wire.RunRequest
	// bodyBytes is the size of the request's body.
	bodyBytes int64
	// decision receives exactly one value: the reason of a refusal, or an empty
	// reason if the request is admitted.
	decision chan admission.Reason
	isTest   bool
	// expectedRunTime is set before the request is admitted. It is zero while too
	// few runs of the route were observed.
	expectedRunTime time.Duration
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.publication, err = kernel.Find[*publication.Service](dir, names.Publication); err != nil {
		return err
	}
	if s.notices, err = kernel.Find[*notice.Service](dir, names.Notices); err != nil {
		return err
	}
	if s.journal, err = kernel.Find[*journal.Service](dir, names.Journal); err != nil {
		return err
	}
	opened := s.Scope.Counter("instance_connections_opened")
	s.client = &backend.Client{Address: s.Instance, OnOpen: func() { opened.Inc(1) }, Memory: s.Answers}
	s.commands, s.stopped = ring.New[func(time.Time)](commandCapacity), make(chan struct{})
	s.filter.Model = belief.DefaultModel
	s.queue.Slots, s.queue.MaxBodyBytes = defaultSlots, maxInstanceBodies
	s.publication.Watch(func() {
		// If the ring is full, the next request or published change applies the
		// publication instead.
		if err := s.commands.Offer(s.applyPublication); err != nil {
			s.Log.Debug("A published change has not been applied yet.", "err", err)
		}
	})
	return nil
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	defer close(s.stopped)
	go s.expireIdle(ctx)
	d := ring.Duty[func(time.Time)]{
		Ring:     s.commands,
		Interval: tick,
		Handle:   func(now time.Time, f func(time.Time)) { f(now) },
		Tick:     s.tick,
		Idle:     func() bool { return s.queue.Waiting() == 0 && (s.closeAt.IsZero() || s.leaving) },
	}
	return d.Run(ctx)
}

// expireIdle closes connections to the instance that have been idle for too long.
func (s *Service) expireIdle(ctx context.Context) {
	for clock.Sleep(ctx, idleCheckInterval) {
		s.client.Expire(time.Now())
	}
}

// Leave implements kernel.Leaver. The gate closes somewhat later, as the instance
// goes on and no other process can reach it while this one is away.
func (s *Service) Leave(ctx context.Context) error {
	return s.commands.Put(ctx, func(now time.Time) {
		s.closeAt = admission.CloseTime(now, now.Add(s.MinStopTime), s.queue.MeanRunTime())
		s.Log.Info("The gate will close.", "instance", s.instanceID, "in", s.closeAt.Sub(now), "running", s.queue.Running(),
			"waiting", s.queue.Waiting())
	})
}

// closeIfDue closes the gate during a shutdown and announces it, so that other
// sidecars no longer choose the instance.
func (s *Service) closeIfDue(now time.Time) {
	if s.leaving || s.closeAt.IsZero() || now.Before(s.closeAt) {
		return
	}
	s.leaving = true
	s.Log.Info("The gate is closed.", "instance", s.instanceID, "running", s.queue.Running(), "waiting", s.queue.Waiting())
	for range leaveNoticeCount {
		s.notifyAll(now)
	}
}

// Running returns the number of requests that run at the instance.
func (s *Service) Running() int { return int(s.executing.Load()) }

// tick closes the gate when that is due, starts waiting requests and refuses those
// that can no longer be served in time.
func (s *Service) tick(now time.Time) {
	s.closeIfDue(now)
	s.startWaiting(now)
}

// applyPublication applies the published entry of the instance. A new incarnation
// of the instance resets the failure estimate.
func (s *Service) applyPublication(now time.Time) {
	for id, i := range s.publication.State().Instances {
		if i.Address != s.Instance {
			continue
		}
		s.queue.Slots = i.Slots
		if id == s.instanceID && i.StartedAt.Equal(s.instanceStart) {
			return
		}
		s.instanceID, s.instanceStart = id, i.StartedAt
		s.filter = belief.Filter{Model: belief.DefaultModel}
		s.Log.Info("The instance is known.", "instance", id, "slots", i.Slots, "draining", i.Draining)
		s.notifyAll(now)
		return
	}
}

// admitOrQueue starts a new request, queues it, or refuses it.
func (s *Service) admitOrQueue(now time.Time, j *job) {
	s.applyPublication(now)
	r := j.request
	if reason := s.refusalReason(now, j); reason != "" {
		j.decision <- reason
		return
	}
	start, reason := s.queue.Offer(now, admissionRequest(now, j), j)
	switch {
	case reason != "":
		if reason == admission.ReasonFull && r.GetAcceptance() == wire.Acceptance_ACCEPTANCE_ANY {
			s.refused++
		}
		j.decision <- reason
	case start:
		s.start(now, j)
	default:
		s.displace(now)
	}
	s.notifyPeers(now)
}

// admissionRequest returns the properties of a request offered at now that decide
// when it runs.
func admissionRequest(now time.Time, j *job) admission.Request {
	r := j.request
	return admission.Request{
		Route: r.GetRoute(), Priority: int(r.GetPriority()),
		Target: now.Add(time.Duration(r.GetRemainingTarget())), Deadline: now.Add(time.Duration(r.GetRemaining())),
		MaxWait: time.Duration(r.GetPatience()), BodyBytes: j.bodyBytes, Organisation: string(r.GetOrganisation()),
		OrganisationPriority: int(r.GetOrganisationPriority()),
		Nested:               r.GetWithoutOrganisation() && len(r.GetOrganisation()) == 0,
		Again:                r.GetAcceptance() == wire.Acceptance_ACCEPTANCE_ANY,
	}
}

// displace refuses the waiting request that would wait too long because requests of
// other organisations overtook it.
func (s *Service) displace(now time.Time) {
	e, ok := s.queue.Displaced(now)
	if !ok {
		return
	}
	e.Value.decision <- admission.ReasonDisplaced
	s.refused++
	attempt := string(e.Value.request.GetAttempt())
	if s.journal.AllowRequestLine(now, attempt, false) {
		use, part := s.queue.RecentUse(now, e.Request)
		s.Log.Info("A waiting request was displaced.", "request", attempt, "route", e.Route, "organisation", e.Organisation,
			"organisationPriority", e.OrganisationPriority, "priority", e.Priority, "recentUse", use, "partOfUse", part,
			"waited", now.Sub(e.ArrivedAt), "running", s.queue.Running(), "waiting", s.queue.Waiting())
	}
}

// refusalReason returns why the request must be refused regardless of the load, or
// an empty reason. It marks the request as a test if it tests a doubtful
// instance.
func (s *Service) refusalReason(now time.Time, j *job) admission.Reason {
	if s.leaving || s.draining(j.request.GetInstance()) {
		return admission.ReasonLeaving
	}
	if s.filter.FailingProbability(now) < placement.DoubtfulThreshold {
		return ""
	}
	switch j.request.GetAcceptance() {
	case wire.Acceptance_ACCEPTANCE_ANY:
		return ""
	case wire.Acceptance_ACCEPTANCE_TEST:
		if s.runningTests == 0 && now.Sub(s.lastTestAt) >= testInterval {
			j.isTest = true
			return ""
		}
	case wire.Acceptance_ACCEPTANCE_UNSPECIFIED:
	}
	return admission.ReasonDoubtful
}

// draining reports whether the instance with the ID id must get no more requests,
// because it is draining or no longer published.
func (s *Service) draining(id string) bool {
	i, ok := s.publication.State().Instances[id]
	return !ok || i.Draining
}

func (s *Service) start(now time.Time, j *job) {
	if j.isTest {
		s.runningTests++
		s.lastTestAt = now
	}
	j.expectedRunTime = s.queue.LearnedRunTime(j.request.GetRoute())
	j.decision <- ""
}

// startWaiting starts waiting requests while slots are free and refuses those that
// expired.
func (s *Service) startWaiting(now time.Time) {
	for {
		next, started, expired := s.queue.Next(now)
		for _, e := range expired {
			e.Value.decision <- admission.ReasonExpired
		}
		if !started {
			return
		}
		if s.leaving || s.draining(next.Value.request.GetInstance()) {
			s.queue.Finish(now, next.Value, 0)
			next.Value.decision <- admission.ReasonLeaving
			continue
		}
		s.start(now, next.Value)
	}
}

// evidence is the information that the outcome of a request gives about the health
// of the instance.
type evidence struct {
	failed bool
	// weight is between 0 and 1; it is 0 if the outcome gives no information.
	weight  float64
	runTime time.Duration
	// callFailed is set if the failure is attributed to a call of the instance.
	callFailed bool
}

// finish releases the slot of a request and records the evidence from its outcome.
func (s *Service) finish(now time.Time, j *job, e evidence) {
	s.queue.Finish(now, j, e.runTime)
	if j.isTest {
		s.runningTests--
	}
	if e.weight > 0 {
		s.filter.Observe(now, e.failed, e.weight)
	}
	s.startWaiting(now)
	s.notifyPeers(now)
	s.Scope.Gauge("gate_running").Update(float64(s.queue.Running()))
	s.Scope.Gauge("gate_waiting").Update(float64(s.queue.Waiting()))
	s.Scope.Gauge("instance_failing").Update(s.filter.FailingProbability(now))
}

// recordOverdue records that a request has been running for so long that the
// instance may hang. Without this evidence a hang would show only in the load,
// because a request that ends at its deadline does not count as a failure.
func (s *Service) recordOverdue(now time.Time, j *job) {
	s.filter.Observe(now, true, belief.HangWeight)
	s.Scope.Counter("overdue_runs").Inc(1)
	if s.journal.AllowRequestLine(now, string(j.request.GetAttempt()), false) {
		s.Log.Info("A run is overdue.", "request", string(j.request.GetAttempt()), "instance", j.request.GetInstance(),
			"expected", j.expectedRunTime, "failing", s.filter.FailingProbability(now))
	}
	s.notifyPeers(now)
}

// notifyPeers sends a notice if the failure estimate or the load changed so much
// that other sidecars would choose differently. Notices about load are not sent to
// other data centres, because they would be most of the traffic between data
// centres during peaks of demand; sidecars there learn the load from replies.
func (s *Service) notifyPeers(now time.Time) {
	state := s.publication.State()
	doubtful := s.filter.FailingProbability(now) >= placement.DoubtfulThreshold && !s.filter.EvidenceAt().IsZero()
	full := s.queue.Running() >= s.queue.Slots && s.queue.Waiting() > 0
	switch {
	case doubtful != s.announcedDoubtful:
		s.Log.Info("The belief about the instance changed.", "instance", s.instanceID, "doubtful", doubtful,
			"failing", s.filter.FailingProbability(now), "running", s.queue.Running(), "waiting", s.queue.Waiting())
		s.notifyAll(now)
	case full != s.announcedFull && now.Sub(s.lastNoticeAt) >= loadNoticeInterval:
		s.notices.Send(&wire.Notice{Condition: s.condition(now)}, state.DataCentrePeers)
	default:
		return
	}
	s.announcedDoubtful, s.announcedFull, s.lastNoticeAt = doubtful, full, now
}

// notifyAll sends the condition of the instance to all sidecars.
func (s *Service) notifyAll(now time.Time) {
	state := s.publication.State()
	s.notices.Spread(&wire.Notice{Condition: s.condition(now)}, state.DataCentrePeers,
		spread.Forwarders(s.Random, state.RemotePeers))
}

// ReportLoad passes the load of the gate and the number of refusals since the last
// call to f, in the goroutine of Run. A closed gate has no slots.
func (s *Service) ReportLoad(f func(l room.Load, refused int)) {
	err := s.commands.Offer(func(time.Time) {
		l := room.Load{Instances: 1, Slots: s.queue.Slots, Running: s.queue.Running(), Waiting: s.queue.Waiting()}
		if s.leaving {
			l.Slots = 0
		}
		refused := s.refused
		s.refused = 0
		f(l, refused)
	})
	if err != nil {
		s.Log.Debug("The load was not reported.", "err", err)
	}
}

// condition returns the load and the failure estimate of the instance, under the
// next sequence number.
func (s *Service) condition(now time.Time) *wire.Condition {
	s.sequence++
	c := &wire.Condition{Instance: s.instanceID, FailingPermille: uint32(1000 * s.filter.FailingProbability(now)),
		Running: uint32(s.queue.Running()), Waiting: uint32(s.queue.Waiting()), Slots: uint32(s.queue.Slots),
		Leaving: s.leaving, Sequence: s.sequence, EvidenceAge: -1}
	if e := s.filter.EvidenceAt(); !e.IsZero() {
		c.EvidenceAge = int64(now.Sub(e))
	}
	return c
}
