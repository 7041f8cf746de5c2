// Package gate is the service beside an instance: the only way to its slots.
//
// It queues and refuses requests, runs them at the instance, and keeps the belief
// whether the instance fails. Other sidecars learn that belief from replies and
// from notices.
package gate

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/clock"
	"cassiarack.example/lib/decision/admission"
	"cassiarack.example/lib/decision/belief"
	"cassiarack.example/lib/decision/placement"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/wire"
	"cassiarack.example/sidecar/backend"
	"cassiarack.example/sidecar/journal"
	"cassiarack.example/sidecar/names"
	"cassiarack.example/sidecar/notice"
	"cassiarack.example/sidecar/publication"
)

const (
	// tick is how often waiting requests are checked for their deadlines.
	tick = 20 * time.Millisecond
	// testInterval is the least time between two tests of a doubtful instance.
	testInterval = 350 * time.Millisecond
	// loadNoticeInterval is the least time between two notices about load.
	loadNoticeInterval = 200 * time.Millisecond
	// defaultSlots applies until the instance's entry is known.
	defaultSlots    = 2
	commandCapacity = 1024
	// leaveNoticeCount is how often a stop is announced, as datagrams may be lost.
	leaveNoticeCount = 2
)

// Service is the gate of one instance.
type Service struct {
	// Instance is the address of the instance.
	Instance netip.AddrPort
	Scope    tally.Scope
	Log      *log.Logger

	publication *publication.Service
	notices     *notice.Service
	client      *backend.Client
	journal     *journal.Service

	commands  *ring.Ring[func(now time.Time)]
	executing atomic.Int64

	// The fields below belong to the duty.
	queue             admission.Queue[*job]
	filter            belief.Filter
	lastTestAt        time.Time
	runningTests      int
	lastNestedFailure nestedFailure
	sequence          uint64
	announcedDoubtful bool
	announcedFull     bool
	leaving           bool
	lastNoticeAt      time.Time
	instanceID        string
	instanceStart     time.Time
}

// job is a request at the gate.
type job struct {
	request *wire.RunRequest
	// decision receives the decision once: an empty reason starts the request.
	decision chan admission.Reason
	isTest   bool
	// expectedRunTime is the expected run time, set before the admission; zero if it is
	// not known well.
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
	p, err := kernel.Find[*peers.Service](dir, names.Peers)
	if err != nil {
		return err
	}
	opened := s.Scope.Counter("instance_connections_opened")
	s.client = &backend.Client{Address: s.Instance, OnOpen: func() { opened.Inc(1) }}
	s.commands = ring.New[func(time.Time)](commandCapacity)
	s.filter.Model = belief.DefaultModel
	s.queue.Slots = defaultSlots
	s.publication.Watch(func() {
		// A dropped command is made up for by the next request or change.
		if err := s.commands.Offer(s.applyPublication); err != nil {
			s.Log.Debug("A change was not followed yet.", "err", err)
		}
	})
	return wire.DRPCRegisterRelay(p.Mux(), s)
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	go s.expireIdle(ctx)
	d := ring.Duty[func(time.Time)]{
		Ring:     s.commands,
		Interval: tick,
		Handle:   func(now time.Time, f func(time.Time)) { f(now) },
		Tick:     s.tick,
		Idle:     func() bool { return s.queue.Waiting() == 0 },
	}
	return d.Run(ctx)
}

// expireIdle closes connections to the instance that were idle for too long.
func (s *Service) expireIdle(ctx context.Context) {
	for clock.Sleep(ctx, idleCheckInterval) {
		s.client.Expire(time.Now())
	}
}

// Leave implements kernel.Leaver: other sidecars stop choosing the instance.
func (s *Service) Leave(ctx context.Context) error {
	return s.commands.Put(ctx, func(now time.Time) {
		s.leaving = true
		for range leaveNoticeCount {
			s.notices.Send(&wire.Notice{Condition: s.condition(now)}, s.publication.State().Peers)
		}
	})
}

// Running returns the number of requests at the instance.
func (s *Service) Running() int { return int(s.executing.Load()) }

// tick refuses waiting requests that can no longer be served.
func (s *Service) tick(now time.Time) { s.startWaiting(now) }

// applyPublication takes over what is published of the instance.
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
		s.notices.Send(&wire.Notice{Condition: s.condition(now)}, s.publication.State().Peers)
		return
	}
}

// admitOrQueue decides on a new request.
func (s *Service) admitOrQueue(now time.Time, j *job) {
	s.applyPublication(now)
	r := j.request
	if reason := s.refusalReason(now, j); reason != "" {
		j.decision <- reason
		return
	}
	start, reason := s.queue.Offer(now, admission.Request{
		Route: r.GetRoute(), Priority: int(r.GetPriority()),
		Target: now.Add(time.Duration(r.GetRemainingTarget())), Deadline: now.Add(time.Duration(r.GetRemaining())),
		MaxWait: time.Duration(r.GetPatience()),
	}, j)
	if reason != "" {
		j.decision <- reason
	} else if start {
		s.start(now, j)
	}
	s.notifyPeers(now)
}

// refusalReason returns why the instance should not get the request at all.
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

// draining reports whether the instance that a request names must get no more.
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

// startWaiting starts waiting requests and refuses those that expired.
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
			s.queue.Finish(next.Route, 0)
			next.Value.decision <- admission.ReasonLeaving
			continue
		}
		s.start(now, next.Value)
	}
}

// evidence is what the end of a request says about the instance.
type evidence struct {
	failed bool
	// weight is 0 if the request says nothing.
	weight  float64
	runTime time.Duration
}

// finish returns the slot of a request.
func (s *Service) finish(now time.Time, j *job, e evidence) {
	s.queue.Finish(j.request.GetRoute(), e.runTime)
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

// recordOverdue notes that a request has been running for so long that the instance
// may hang. Without it a hang would show only in the load, as the end by the
// deadline says nothing.
func (s *Service) recordOverdue(now time.Time, j *job) {
	s.filter.Observe(now, true, belief.HangWeight)
	s.Scope.Counter("overdue_runs").Inc(1)
	if s.journal.AllowRequestLine(now, j.request.GetAttempt(), false) {
		s.Log.Info("A run is overdue.", "request", j.request.GetAttempt(), "instance", j.request.GetInstance(),
			"expected", j.expectedRunTime, "failing", s.filter.FailingProbability(now))
	}
	s.notifyPeers(now)
}

// notifyPeers sends a notice if the belief or the load changed so that others would
// choose differently. Other data centres get no notices about load, which would
// be most of the bytes between data centres at a crest; they learn it from
// replies.
func (s *Service) notifyPeers(now time.Time) {
	state := s.publication.State()
	doubtful := s.filter.FailingProbability(now) >= placement.DoubtfulThreshold && !s.filter.EvidenceAt().IsZero()
	full := s.queue.Running() >= s.queue.Slots && s.queue.Waiting() > 0
	switch {
	case doubtful != s.announcedDoubtful:
		s.Log.Info("The belief about the instance changed.", "instance", s.instanceID, "doubtful", doubtful,
			"failing", s.filter.FailingProbability(now), "running", s.queue.Running(), "waiting", s.queue.Waiting())
		s.notices.Send(&wire.Notice{Condition: s.condition(now)}, state.Peers)
	case full != s.announcedFull && now.Sub(s.lastNoticeAt) >= loadNoticeInterval:
		s.notices.Send(&wire.Notice{Condition: s.condition(now)}, state.DataCentrePeers)
	default:
		return
	}
	s.announcedDoubtful, s.announcedFull, s.lastNoticeAt = doubtful, full, now
}

// condition returns what the gate knows of the instance.
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
