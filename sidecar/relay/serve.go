package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"cassiarack.example/lib/answer"
	"cassiarack.example/lib/decision/admission"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/tracing"
	"cassiarack.example/lib/wire"
	"cassiarack.example/platform"
	"cassiarack.example/sidecar/gate"
	"cassiarack.example/sidecar/message"
	"cassiarack.example/sidecar/transfer"
)

const tracerName = "cassiarack/relay"

const (
	// maxOffers is the number of offers with strict conditions: a doubtful instance
	// may run the request only as a test, and the wait in a queue is at most
	// shortWait. Later offers let a doubtful instance run the request and accept a
	// longer wait.
	maxOffers = 4
	// minRetryAfter and maxRetryAfter bound the time after which a refused client
	// may try again. The time is random, so that refused clients do not return at
	// the same moment.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
	// maxRejected is the number of instances that may refuse a request themselves
	// before the relay refuses it. Such instances have not run the request, so they
	// do not count as attempts, but each repeat after such a refusal takes from the
	// budget for repeats.
	maxRejected = 3
	// maxCallsRefused is the number of gates that may refuse a repeat because of the calls
	// of its run. The budgets of the VMs are similar.
	maxCallsRefused = 2
	// shortWait is the longest accepted wait in a queue while other gates may have
	// a free slot.
	shortWait = 60 * time.Millisecond
	// longWaitShare is the fraction of the time until the latency target that a
	// request may wait when all gates are full. The rest is left for the run, which
	// takes longer than usual when the services that it calls are full too.
	longWaitShare = 0.5
	// answerMargin is the time after the deadline in which a gate may still report
	// that it refused a request.
	answerMargin = 30 * time.Millisecond
	// minRepeatTime is the minimum time before the deadline for a repeat at another
	// instance.
	minRepeatTime = 40 * time.Millisecond
)

// errBusy is returned when the ring of commands to the goroutine of Run is full.
var errBusy = errors.New("relay: too many requests in this sidecar")

// progress is the state of a request while it is offered to instances.
type progress struct {
	offers int
	// sent is the number of instances at which the request ran or may have run.
	// rejected is the number of instances that refused it themselves.
	// mayHaveRun is set after an attempt that failed but may have run the request.
	// The client is then not told that the request did not run.
	sent       int
	rejected   int
	mayHaveRun bool
	excluded   map[string]bool
	// refusedBy holds the instances that refused the request themselves. They are
	// never tried again: a faulty instance could write its first refusal once more
	// while it runs the request.
	refusedBy  []string
	lastAnswer *message.Answer
	// reason says why the last offer did not succeed.
	reason string
	// callsRefused is the number of gates that refused the request because of its calls.
	callsRefused int
	// callFailed is set if the last run failed together with a call that it made.
	callFailed bool
	// retryAfter is the time after which a refused client may try again. If it is
	// zero, a random one is chosen.
	retryAfter time.Duration
	// instance is the ID of the instance of the last offer.
	instance string
	failing  float64
	evidence time.Time
}

// Serve forwards a request and returns the answer. It returns at the latest shortly
// after the deadline of the request, or when ctx ends because the client closed
// the connection.
func (s *Service) Serve(ctx context.Context, r *message.Request) *message.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(answerMargin))
	defer cancel()
	if ok, after := s.hasRoom(ctx, r); !ok {
		p := &progress{reason: "no room", retryAfter: after}
		answer := s.refuse(r, p)
		s.record(r, p, answer)
		return answer
	}
	if err := s.runAndWait(ctx, func(now time.Time) { s.recordRequest(now, r) }); err != nil {
		return s.refuse(r, &progress{reason: err.Error()})
	}
	p := &progress{excluded: make(map[string]bool)}
	for s.offerNext(ctx, r, p) {
	}
	answer := s.finalAnswer(r, p)
	s.record(r, p, answer)
	return answer
}

// runAndWait runs f in the goroutine of Run and waits until it is done. It returns
// errBusy if the ring is full, or the error of ctx.
func (s *Service) runAndWait(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	if err := s.commands.Offer(func(now time.Time) { f(now); close(done) }); err != nil {
		return errBusy
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// offerNext offers the request to one gate and reports whether another offer should
// follow.
func (s *Service) offerNext(ctx context.Context, r *message.Request, p *progress) bool {
	if time.Until(r.Deadline) <= 0 || ctx.Err() != nil {
		p.reason = "deadline"
		return false
	}
	tests := p.sent == 0 && p.rejected == 0
	var pl chosenInstance
	found := make(chan bool, 1)
	if err := s.runAndWait(ctx, func(now time.Time) {
		var ok bool
		pl, ok = s.place(now, r, p.excluded, tests && p.offers < maxOffers)
		found <- ok
	}); err != nil {
		p.reason = err.Error()
		return false
	}
	if !<-found {
		if p.reason == "" {
			p.reason = "no instance"
		}
		return p.startSecondRound()
	}
	p.offers++
	p.instance, p.failing, p.evidence = pl.ID, pl.failing, pl.evidence
	offered := time.Now()
	reply, err := s.offerWithSpan(ctx, r, pl, p)
	now := time.Now()
	if reply.GetOutcome() == wire.RunOutcome_RUN_OUTCOME_ANSWERED {
		s.rooms.Observe(r.Service, now.Sub(offered))
	}
	// If the client closed the connection or nothing could be sent, a missing reply
	// is no sign that the sidecar is unreachable.
	reached := err == nil || errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, peers.ErrEncode) || transfer.Reached(err)
	s.enqueue(func(now time.Time) { s.completeOffer(now, pl.ID, reply.GetCondition(), reached) })
	if err != nil {
		return s.handleNoReply(ctx, now, r, p, pl, err)
	}
	return s.handleReply(ctx, now, r, p, pl, reply)
}

// startSecondRound prepares a second round of offers to all gates if every gate of
// the first round refused the request, and reports whether it may start. In the
// second round, doubtful instances may run the request and a longer wait is
// accepted.
func (p *progress) startSecondRound() bool {
	if p.offers == 0 || p.offers >= 2*maxOffers || p.sent > 0 {
		return false
	}
	p.offers = max(p.offers, maxOffers)
	clear(p.excluded)
	for _, id := range p.refusedBy {
		p.excluded[id] = true
	}
	return true
}

// enqueue runs f in the goroutine of Run. It waits for room in the ring, but not for
// f.
func (s *Service) enqueue(f func(now time.Time)) {
	if err := s.commands.Put(context.Background(), f); err != nil {
		s.Log.Debug("A command was discarded because the relay has stopped.", "err", err)
	}
}

// offerWithSpan calls offer in a new trace span.
func (s *Service) offerWithSpan(ctx context.Context, r *message.Request, pl chosenInstance, p *progress) (*wire.RunReply, error) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "offer", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	reply, err := s.offer(ctx, r, pl, p)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("instance", pl.ID), attribute.Float64("failing", pl.failing),
			attribute.String("outcome", gate.OutcomeName(reply.GetOutcome())), tracing.String("reason", reply.GetReason()))
		span.RecordError(err)
	}
	return reply, err
}

// offer sends the request to the gate of an instance.
func (s *Service) offer(ctx context.Context, r *message.Request, pl chosenInstance, p *progress) (*wire.RunReply, error) {
	now := time.Now()
	patience := shortWait
	acceptance := wire.Acceptance_ACCEPTANCE_UNSPECIFIED
	if pl.choice.Test {
		acceptance = wire.Acceptance_ACCEPTANCE_TEST
	}
	if p.offers > maxOffers {
		acceptance = wire.Acceptance_ACCEPTANCE_ANY
		patience = max(shortWait, time.Duration(longWaitShare*float64(r.TargetTime.Sub(now))))
	}
	q := &wire.RunRequest{Instance: pl.ID, Attempt: []byte(r.Attempt), Method: []byte(r.Method),
		Target: []byte(r.Target), Host: []byte(r.Host), Body: r.Body, Remaining: int64(r.Deadline.Sub(now)), RemainingTarget: int64(r.TargetTime.Sub(now)),
		Route: r.Route.Name, Priority: int32(r.Route.Priority), Idempotent: r.Route.Idempotent,
		Patience: int64(patience), Acceptance: acceptance, TraceParent: tracing.TraceParent(ctx),
		Repeat: p.sent+p.rejected > 0, CallFailed: p.callFailed, WithoutOrganisation: r.HasOrganisations && r.Organisation == nil}
	if o := r.Organisation; o != nil {
		q.Organisation, q.OrganisationPriority = []byte(o.Name), int32(o.Priority)
	}
	for name, values := range r.Header {
		for _, v := range values {
			q.Headers = append(q.Headers, &wire.HeaderField{Name: []byte(name), Value: []byte(v)})
		}
	}
	return s.gates.Offer(ctx, pl.Address.Addr(), q, r.AnswerMemory)
}

// handleNoReply updates p after an offer without a reply and reports whether
// another offer should follow. Unless the connection failed, the request may have
// run.
func (s *Service) handleNoReply(ctx context.Context, now time.Time, r *message.Request, p *progress, pl chosenInstance, err error) bool {
	p.excluded[pl.ID] = true
	p.reason = "no reply of the sidecar: " + err.Error()
	if errors.Is(ctx.Err(), context.Canceled) {
		p.reason = "the client left"
	}
	if transfer.NotSent(err) {
		return true
	}
	return s.continueAfterRun(ctx, now, r, p)
}

// handleReply updates p with the reply of a gate and reports whether another offer
// should follow.
func (s *Service) handleReply(ctx context.Context, now time.Time, r *message.Request, p *progress, pl chosenInstance,
	reply *wire.RunReply) bool {
	p.excluded[pl.ID] = true
	p.reason, p.callFailed = reply.GetReason(), p.callFailed || reply.GetCallFailed()
	switch reply.GetOutcome() {
	case wire.RunOutcome_RUN_OUTCOME_ANSWERED:
		p.sent++
		a, err := answerFromReply(reply)
		if err == nil {
			p.lastAnswer = a
			if a.Status < http.StatusInternalServerError {
				return false
			}
		} else {
			p.reason = err.Error()
		}
		p.mayHaveRun = true
		return s.tryRepeat(ctx, now, r, p)
	case wire.RunOutcome_RUN_OUTCOME_REFUSED:
		if reply.GetReason() != gate.ReasonInstance {
			return p.mayOfferAfter(admission.Reason(reply.GetReason()))
		}
		// Sidecars of earlier versions take any status for a refusal that states so.
		if !platform.IsRefusalStatus(int(reply.GetStatus())) {
			return s.continueAfterRun(ctx, now, r, p)
		}
		p.rejected++
		p.refusedBy = append(p.refusedBy, pl.ID)
		return p.rejected < maxRejected && s.requestRepeat(ctx, r)
	default:
		return s.continueAfterRun(ctx, now, r, p)
	}
}

// mayOfferAfter reports whether another offer may follow after a gate refused the request
// for the given reason.
func (p *progress) mayOfferAfter(reason admission.Reason) bool {
	if reason == admission.ReasonCalls {
		p.callsRefused++
	}
	return reason != admission.ReasonExpired && p.callsRefused < maxCallsRefused
}

// continueAfterRun records that an instance may have run the request and reports whether
// another offer should follow.
func (s *Service) continueAfterRun(ctx context.Context, now time.Time, r *message.Request, p *progress) bool {
	p.sent++
	p.mayHaveRun = true
	return s.tryRepeat(ctx, now, r, p)
}

// tryRepeat reports whether a request that may have run is sent once more. If so, it
// takes the repeat from the budget.
func (s *Service) tryRepeat(ctx context.Context, now time.Time, r *message.Request, p *progress) bool {
	if !r.Route.Idempotent || p.sent >= r.Route.Attempts || r.Deadline.Sub(now) < minRepeatTime {
		return false
	}
	return s.requestRepeat(ctx, r)
}

// requestRepeat takes one repeat from the budget in the goroutine of Run. It reports
// false if the budget does not allow it or that goroutine does not reply.
func (s *Service) requestRepeat(ctx context.Context, r *message.Request) bool {
	allowed := make(chan bool, 1)
	if err := s.runAndWait(ctx, func(now time.Time) { allowed <- s.takeRepeat(now, r) }); err != nil {
		return false
	}
	return <-allowed
}

// answerFromReply returns the answer in a reply, or an error if HTTP does not allow its
// status or a field name, or if its head may be that of several answers. Sidecars of
// earlier versions pass such answers on.
func answerFromReply(reply *wire.RunReply) (*message.Answer, error) {
	if err := answer.CheckStatus(int(reply.GetStatus())); err != nil {
		return nil, err
	}
	a := &message.Answer{Status: int(reply.GetStatus()), Header: make(http.Header), Body: reply.GetBody()}
	for _, f := range reply.GetHeaders() {
		if err := answer.CheckName(string(f.GetName())); err != nil {
			return nil, err
		}
		a.Header.Add(string(f.GetName()), string(f.GetValue()))
	}
	if err := platform.CheckIdentity(a.Header); err != nil {
		return nil, err
	}
	return a, nil
}

// finalAnswer returns the last answer of an instance, or an answer of the sidecar if
// no instance answered.
func (s *Service) finalAnswer(r *message.Request, p *progress) *message.Answer {
	switch {
	case p.lastAnswer != nil:
		return p.lastAnswer
	case !p.mayHaveRun:
		return s.refuse(r, p)
	case !time.Now().Before(r.Deadline):
		return fleetAnswer(http.StatusGatewayTimeout, r, 0, "the deadline passed; the request may have run")
	}
	return fleetAnswer(http.StatusBadGateway, r, 0, "the instance gave no usable answer; the request may have run")
}

// refuse returns the answer to a request that did not run and will not be run.
func (s *Service) refuse(r *message.Request, p *progress) *message.Answer {
	after := p.retryAfter
	if after == 0 {
		after = minRetryAfter + time.Duration(rand.Int64N(int64(maxRetryAfter-minRetryAfter)))
	}
	return fleetAnswer(http.StatusServiceUnavailable, r, after, "not run: "+p.reason)
}

func fleetAnswer(status int, r *message.Request, after time.Duration, text string) *message.Answer {
	return &message.Answer{Status: status, Header: platform.RefusalHeader(r.Attempt, after), Body: []byte(text + "\n"),
		FromFleet: true}
}

// record updates the metrics and logs the outcome of a request.
func (s *Service) record(r *message.Request, p *progress, a *message.Answer) {
	now := time.Now()
	success := a.Status < http.StatusInternalServerError
	kind := "once"
	if r.Route.Idempotent {
		kind = "repeatable"
	}
	s.Scope.Tagged(map[string]string{"outcome": outcomeName(a), "kind": kind}).Counter("requests").Inc(1)
	if p.sent+p.rejected > 1 {
		s.Scope.Counter("repeats").Inc(int64(p.sent + p.rejected - 1))
	}
	s.requestDurations.RecordDuration(now.Sub(r.Received))
	if !s.journal.AllowRequestLine(now, r.Attempt, success) {
		return
	}
	s.Log.Info("A request ended.", "request", r.Attempt, "route", r.Route.Name, "service", r.Service, "organisation", organisationName(r),
		"configVersion", r.ConfigVersion, "status", a.Status, "own", a.FromFleet, "reason", p.reason, "offers", p.offers,
		"sent", p.sent, "rejected", p.rejected, "instance", p.instance, "failing", p.failing,
		"evidenceAge", age(now, p.evidence), "stateAge", age(now, s.publication.State().ReadAt),
		"took", now.Sub(r.Received), "left", r.Deadline.Sub(now))
}

// age returns the time since t, or -1 ns if t is zero.
func age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t)
}

func outcomeName(a *message.Answer) string {
	switch {
	case a.Status < http.StatusBadRequest:
		return "success"
	case !a.FromFleet:
		return "failed"
	case a.Status == http.StatusServiceUnavailable:
		return "refused"
	}
	return "unknown"
}
