// Package limiter implements the service that keeps the requests of each organisation
// within its limit over all sidecars. See package ratelimit for the decisions.
//
// The service has two sides. As the entry of a request it admits it with a credit from
// its stock, or asks a ledger for credits. As a ledger it answers the questions of
// entries. Both exchange datagrams through the service for notices.
package limiter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/clock"
	"cassiarack.example/lib/decision/ratelimit"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
	"cassiarack.example/platform"
	"cassiarack.example/sidecar/message"
	"cassiarack.example/sidecar/names"
	"cassiarack.example/sidecar/notice"
	"cassiarack.example/sidecar/publication"
)

const (
	commandCapacity = 1024
	// tickInterval is how often the questions without a reply are checked.
	tickInterval = 5 * time.Millisecond
	// busyRetryAfter is the Retry-After time of a request that finds the ring full.
	busyRetryAfter = 300 * time.Millisecond
)

// Publication provides the instances that the platform publishes.
type Publication interface {
	State() *publication.State
	Watch(f func())
}

// Notices exchanges datagrams with other sidecars.
type Notices interface {
	Handle(h notice.Handler)
	Send(n *wire.Notice, to []netip.Addr)
}

// Journal limits the number of log lines about requests.
type Journal interface {
	AllowRequestLine(now time.Time, attempt string, success bool) bool
}

// Service admits the requests of organisations with a limit.
type Service struct {
	// Self is the address of this VM.
	Self netip.Addr
	// Shares says how far limits may be exceeded over all sidecars.
	Shares ratelimit.Shares
	Scope  tally.Scope
	Log    *log.Logger

	publication Publication
	notices     Notices
	journal     Journal

	commands *ring.Ring[func(now time.Time)]
	counters counters
	// listChanged is set when the list of instances may have changed.
	listChanged atomic.Bool

	// Only the goroutine of Run uses the fields below.
	membership *ratelimit.Membership
	entry      ratelimit.Entry[*call]
	ledger     ratelimit.Ledger
}

// call is a request that waits for a decision.
type call struct {
	// decided receives the decision.
	decided chan decision
	// abandoned is set when nobody waits any more. Only the goroutine of Run uses it.
	abandoned bool
}

// decision is the outcome of a call: a permit, or else a refusal.
type decision struct {
	permit  ratelimit.Permit
	refusal *ratelimit.Refusal[*call]
}

// Permit is the right to run a request.
type Permit interface {
	// Return gives the credit of the request back, because the request did not run and
	// will not run.
	Return()
}

// unlimited is the permit of a request without a limit.
type unlimited struct{}

// Return implements Permit.
func (unlimited) Return() {}

// credit is the permit of a request that was admitted with a credit.
type credit struct {
	service      *Service
	organisation string
	permit       ratelimit.Permit
}

// Return implements Permit.
func (c *credit) Return() {
	c.service.enqueue(c.service.counters.droppedReturns, func(now time.Time) { c.service.restore(now, c.organisation, c.permit) })
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.publication, err = kernel.Find[Publication](dir, names.Publication); err != nil {
		return err
	}
	if s.notices, err = kernel.Find[Notices](dir, names.Notices); err != nil {
		return err
	}
	if s.journal, err = kernel.Find[Journal](dir, names.Journal); err != nil {
		return err
	}
	s.commands = ring.New[func(time.Time)](commandCapacity)
	s.counters = newCounters(s.Scope)
	s.membership = ratelimit.NewMembership(s.Self)
	s.entry = ratelimit.Entry[*call]{Self: s.Self, Shares: s.Shares, Membership: s.membership, FirstNonce: rand.Uint64()}
	s.ledger = ratelimit.Ledger{Shares: s.Shares, Membership: s.membership}
	s.listChanged.Store(true)
	s.publication.Watch(func() { s.listChanged.Store(true) })
	s.notices.Handle(s.handleNotice)
	return nil
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	d := ring.Duty[func(time.Time)]{Ring: s.commands, Interval: tickInterval,
		Handle: func(_ time.Time, f func(time.Time)) { s.handle(f) },
		Tick:   func(time.Time) { s.handle(s.tick) },
		Idle:   func() bool { return !s.entry.Waiting() },
	}
	return d.Run(ctx)
}

// handle calls f with the time of the boot clock and the current list of VMs.
func (s *Service) handle(f func(now time.Time)) {
	now := clock.Boot()
	if s.listChanged.Swap(false) {
		s.updateMembership(now)
	}
	f(now)
	if !s.entry.Waiting() {
		s.updateGauges(now)
	}
}

// updateMembership takes over the published VMs. Until there is a configuration, other
// writers' entries cannot be told from instances.
func (s *Service) updateMembership(now time.Time) {
	st := s.publication.State()
	if st.Table == nil {
		return
	}
	vms := make([]netip.Addr, 0, len(st.Instances))
	for _, i := range st.Instances {
		vms = append(vms, i.Address.Addr())
	}
	s.membership.Update(now, vms)
}

// fresh reports whether the list of VMs is recent at the boot time now.
func (s *Service) fresh(now time.Time) bool {
	at := s.publication.State().ReadBoot
	return !at.IsZero() && now.Sub(at) < ratelimit.FreshList
}

// Admit decides whether a request is within the limit of its organisation. It returns a
// permit, or the answer with which the request is refused.
func (s *Service) Admit(ctx context.Context, r *message.Request) (Permit, *message.Answer) {
	o := r.Organisation
	if o == nil || !o.Limited() {
		return unlimited{}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	limit := ratelimit.Limit{Rate: o.Rate, Burst: o.Burst, Version: r.ConfigVersion}
	c := &call{decided: make(chan decision, 1)}
	if err := s.commands.Offer(func(now time.Time) { s.arrive(now, o.Name, limit, c) }); err != nil {
		s.counters.busy.Inc(1)
		return nil, s.refuse(r, http.StatusServiceUnavailable, "the limiter is busy", busyRetryAfter, 0)
	}
	select {
	case d := <-c.decided:
		if d.refusal == nil {
			s.counters.admitted.Inc(1)
			return &credit{service: s, organisation: o.Name, permit: d.permit}, nil
		}
		if d.refusal.NoLedger {
			s.counters.noLedger.Inc(1)
			return nil, s.refuse(r, http.StatusServiceUnavailable, "no reply about the limit", d.refusal.RetryAfter, d.refusal.Asked)
		}
		s.counters.refused.Inc(1)
		return nil, s.refuse(r, http.StatusTooManyRequests, "the limit is exceeded", d.refusal.RetryAfter, d.refusal.Asked)
	case <-ctx.Done():
		s.enqueue(s.counters.droppedReturns, func(now time.Time) { s.abandon(now, o.Name, c) })
		s.counters.busy.Inc(1)
		return nil, s.refuse(r, http.StatusServiceUnavailable, "the wait for the limit ended", busyRetryAfter, 0)
	}
}

// refuse returns the answer to a request that is not run.
func (s *Service) refuse(r *message.Request, status int, reason string, retryAfter time.Duration, asked int) *message.Answer {
	if s.journal.AllowRequestLine(time.Now(), r.Attempt, false) {
		s.Log.Info("A request was refused.", "request", r.Attempt, "reason", reason, "organisation", r.Organisation.Name,
			"rate", r.Organisation.Rate, "burst", r.Organisation.Burst, "configVersion", r.ConfigVersion, "retryAfter", retryAfter,
			"asked", asked)
	}
	return &message.Answer{Status: status, FromFleet: true, Header: platform.RefusalHeader(r.Attempt, retryAfter),
		Body: []byte("not run: " + reason + "\n")}
}

// enqueue runs f in the goroutine of Run, if there is room in the ring, and else counts
// it as dropped. Without room, a credit is lost, which only makes the limit stricter for
// a moment.
func (s *Service) enqueue(dropped tally.Counter, f func(now time.Time)) {
	if err := s.commands.Offer(f); err != nil {
		dropped.Inc(1)
		s.Log.Debug("A command was discarded.", "err", err)
	}
}

// arrive begins the decision on a request.
func (s *Service) arrive(now time.Time, organisation string, limit ratelimit.Limit, c *call) {
	out, ok := s.entry.Arrive(now, s.fresh(now), organisation, limit, c)
	if !ok {
		c.decided <- decision{refusal: &ratelimit.Refusal[*call]{NoLedger: true, RetryAfter: busyRetryAfter}}
		return
	}
	s.apply(now, organisation, out)
}

// abandon takes back the credit of a call that nobody waits for any more.
func (s *Service) abandon(now time.Time, organisation string, c *call) {
	select {
	case d := <-c.decided:
		if d.refusal == nil {
			s.restore(now, organisation, d.permit)
		}
	default:
		c.abandoned = true
	}
}

func (s *Service) restore(now time.Time, organisation string, p ratelimit.Permit) {
	if s.entry.Return(now, organisation, p) {
		s.counters.returned.Inc(1)
	}
}

// apply reports the decisions in out and sends the question, if there is one. A question
// to this sidecar is answered at once.
func (s *Service) apply(now time.Time, organisation string, out ratelimit.Outcome[*call]) {
	for {
		s.counters.expired.Inc(int64(out.Expired))
		for _, a := range out.Admitted {
			if a.Request.abandoned {
				s.restore(now, organisation, a.Permit)
				continue
			}
			a.Request.decided <- decision{permit: a.Permit}
		}
		for _, r := range out.Refused {
			r.Request.decided <- decision{refusal: &r}
		}
		q := out.Question
		if q == nil {
			return
		}
		s.counters.asked.Inc(int64(q.Wanted))
		if q.Ledger != s.Self {
			s.notices.Send(&wire.Notice{CreditRequest: encodeQuestion(q)}, []netip.Addr{q.Ledger})
			return
		}
		g := s.ledger.Ask(now, s.Self, organisation, q.Limit, q.Wanted)
		s.counters.granted.Inc(int64(g.Credits))
		_, out = s.entry.Reply(now, s.fresh(now), s.Self, q.Nonce, g)
	}
}

// tick handles the questions without a reply.
func (s *Service) tick(now time.Time) {
	for organisation, out := range s.entry.Tick(now, s.fresh(now)) {
		s.apply(now, organisation, out)
	}
	s.updateGauges(now)
}

// handleNotice handles the credit messages of a received notice.
func (s *Service) handleNotice(_ time.Time, from netip.Addr, n *wire.Notice) {
	if m := n.GetCreditRequest(); m != nil {
		if q, ok := decodeQuestion(m); ok {
			s.enqueue(s.counters.droppedQuestions, func(now time.Time) { s.answer(now, from, q) })
		} else {
			s.Log.Warn("An invalid question for credits was ignored.", "from", from)
		}
	}
	if m := n.GetCreditReply(); m != nil {
		s.enqueue(s.counters.droppedReplies, func(now time.Time) {
			organisation, out := s.entry.Reply(now, s.fresh(now), from, m.GetNonce(), decodeGrant(m))
			s.apply(now, organisation, out)
		})
	}
}

// answer answers the question of another sidecar.
func (s *Service) answer(now time.Time, from netip.Addr, q ratelimit.Question) {
	g := s.ledger.Ask(now, from, q.Organisation, q.Limit, q.Wanted)
	s.counters.granted.Inc(int64(g.Credits))
	s.notices.Send(&wire.Notice{CreditReply: encodeGrant(q.Nonce, g)}, []netip.Addr{from})
}
