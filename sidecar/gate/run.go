package gate

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"cassiarack.example/lib/decision/admission"
	"cassiarack.example/lib/decision/belief"
	"cassiarack.example/lib/tracing"
	"cassiarack.example/lib/wire"
	"cassiarack.example/platform"
	"cassiarack.example/sidecar/backend"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/message"
)

const tracerName = "cassiarack/gate"

const (
	// nestedWindow is the time after a failed nested call, one that the instance
	// made itself, during which a failure of the instance is attributed to it.
	nestedWindow = 40 * time.Millisecond
	// nestedWeight is the weight of such a failure as evidence against the
	// instance.
	nestedWeight = 0.15
	// rejectedWeight is the weight of a refusal by the instance itself. A healthy
	// instance refuses only when it is full, which the gate prevents.
	rejectedWeight = 0.6
	// unreachableWeight is the weight of a refused connection. It is below 1
	// because an instance also refuses connections while it restarts.
	unreachableWeight = 0.6
	// idleCheckInterval is the interval of the check for idle connections.
	idleCheckInterval = time.Second
)

// nestedFailure holds the time of the last failure of a call that the instance
// made itself, in Unix nanoseconds.
type nestedFailure struct{ at atomic.Int64 }

// Grant is a slot of the instance that is reserved for one request. Exactly one of its
// methods is called, once.
type Grant interface {
	// Run runs the request with its body and frees the slot. The memory of the
	// answer's body is kept by answer.
	Run(ctx context.Context, body []byte, answer *memory.Hold) *wire.RunReply
	// Withdraw frees the slot. The instance has received nothing of the request.
	Withdraw()
}

// grant implements Grant.
type grant struct {
	service  *Service
	job      *job
	received time.Time
	span     trace.Span
	// refundCalls returns the calls that were reserved for the run.
	refundCalls func()
}

// Offer offers a request with its body to the instance. It returns when the request
// is refused or has run.
func (s *Service) Offer(ctx context.Context, r *wire.RunRequest, answer *memory.Hold) *wire.RunReply {
	g, refusal := s.Admit(ctx, r, int64(len(r.GetBody())))
	if refusal != nil {
		return refusal
	}
	return g.Run(ctx, r.GetBody(), answer)
}

// Admit decides on a request with a body of the given size. It returns when a slot is
// reserved for the request or it is refused.
func (s *Service) Admit(ctx context.Context, r *wire.RunRequest, bodyBytes int64) (Grant, *wire.RunReply) {
	ctx, span := otel.Tracer(tracerName).Start(tracing.WithTraceParent(ctx, r.GetTraceParent()), "gate",
		trace.WithSpanKind(trace.SpanKindServer))
	g := &grant{service: s, received: time.Now(), span: span,
		job: &job{request: r, bodyBytes: bodyBytes, decision: make(chan admission.Reason, 1)}}
	if refusal := s.admit(ctx, g); refusal != nil {
		g.endSpan(refusal)
		return nil, refusal
	}
	g.begin()
	return g, nil
}

// begin counts the request as running.
func (g *grant) begin() {
	g.service.executing.Add(1)
	if g.service.calls != nil {
		g.service.calls.RunStarted()
	}
}

// end counts the request as ended. Unless the instance executed it, the calls reserved for
// it are returned.
func (g *grant) end(executed bool) {
	g.service.executing.Add(-1)
	if g.service.calls != nil {
		g.service.calls.RunEnded(executed)
	}
	if !executed {
		g.refundCalls()
	}
}

// admit reserves the calls of a repeat and a slot. It returns a refusal, or nil if both
// are reserved.
func (s *Service) admit(ctx context.Context, g *grant) *wire.RunReply {
	if !s.reserveCalls(ctx, g) {
		s.Scope.Tagged(map[string]string{"reason": string(admission.ReasonCalls)}).Counter("gate_refusals").Inc(1)
		return &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_REFUSED, Reason: string(admission.ReasonCalls),
			Condition: s.requestCondition(ctx)}
	}
	refusal := s.admitToSlot(ctx, g)
	if refusal != nil {
		g.refundCalls()
	}
	return refusal
}

// reserveCalls reserves the calls that the run of a repeat probably makes, and reports
// whether the budgets allow them.
func (s *Service) reserveCalls(ctx context.Context, g *grant) bool {
	g.refundCalls = func() {}
	r := g.job.request
	if !r.GetRepeat() || s.calls == nil {
		return true
	}
	refund, ok := s.calls.Reserve(ctx, r.GetCallFailed())
	if ok {
		g.refundCalls = refund
	}
	return ok
}

// admitToSlot returns a refusal, or nil if a slot is reserved.
func (s *Service) admitToSlot(ctx context.Context, g *grant) *wire.RunReply {
	j, r := g.job, g.job.request
	if err := s.commands.Offer(func(now time.Time) { s.admitOrQueue(now, j) }); err != nil {
		return &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_REFUSED, Reason: string(admission.ReasonFull)}
	}
	reason := s.awaitDecision(ctx, j)
	if reason == "" {
		return nil
	}
	if now := time.Now(); s.journal.AllowRequestLine(now, string(r.GetAttempt()), false) {
		s.Log.Info("A request was refused.", "request", string(r.GetAttempt()), "instance", r.GetInstance(),
			"organisation", string(r.GetOrganisation()), "reason", reason, "patience", time.Duration(r.GetPatience()), "acceptance", r.GetAcceptance(),
			"waited", now.Sub(g.received), "left", time.Duration(r.GetRemaining())-now.Sub(g.received))
	}
	s.Scope.Tagged(map[string]string{"reason": string(reason)}).Counter("gate_refusals").Inc(1)
	return &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_REFUSED, Reason: string(reason),
		Condition: s.requestCondition(ctx)}
}

// endSpan ends the span of the request with its outcome.
func (g *grant) endSpan(reply *wire.RunReply) {
	if g.span.IsRecording() {
		r := g.job.request
		g.span.SetAttributes(tracing.String("request", string(r.GetAttempt())), attribute.String("instance", r.GetInstance()),
			attribute.String("outcome", OutcomeName(reply.GetOutcome())), tracing.String("reason", reply.GetReason()))
	}
	g.span.End()
}

// Withdraw implements Grant.
func (g *grant) Withdraw() {
	g.end(false)
	g.service.release(g.job, evidence{})
	g.endSpan(nil)
}

// Run implements Grant.
func (g *grant) Run(ctx context.Context, body []byte, answer *memory.Hold) *wire.RunReply {
	reply := g.service.execute(trace.ContextWithSpan(ctx, g.span), g, body, answer)
	g.end(reply.GetOutcome() != wire.RunOutcome_RUN_OUTCOME_REFUSED)
	g.endSpan(reply)
	return reply
}

// awaitDecision waits for the decision on a request. If ctx ends first, the
// request is withdrawn from the queue.
func (s *Service) awaitDecision(ctx context.Context, j *job) admission.Reason {
	select {
	case reason := <-j.decision:
		return reason
	case <-ctx.Done():
	}
	withdrawn := make(chan struct{})
	err := s.commands.Put(context.Background(), func(now time.Time) {
		s.queue.Withdraw(now, j)
		close(withdrawn)
	})
	if err != nil {
		return admission.ReasonLeaving
	}
	select {
	case <-withdrawn:
	case <-s.stopped:
		return admission.ReasonLeaving
	}
	select {
	case reason := <-j.decision:
		return reason
	default:
		return admission.ReasonExpired
	}
}

// requestCondition asks the goroutine of Run for the condition of the instance. It
// returns nil if the ring is full or ctx ends.
func (s *Service) requestCondition(ctx context.Context) *wire.Condition {
	answer := make(chan *wire.Condition, 1)
	if err := s.commands.Offer(func(now time.Time) { answer <- s.condition(now) }); err != nil {
		return nil
	}
	select {
	case c := <-answer:
		return c
	case <-ctx.Done():
		return nil
	}
}

// execute runs an admitted request at the instance. It refuses a request whose
// deadline has passed while its body arrived.
func (s *Service) execute(ctx context.Context, g *grant, body []byte, keep *memory.Hold) *wire.RunReply {
	j, r, received := g.job, g.job.request, g.received
	started := time.Now()
	left := time.Duration(r.GetRemaining()) - started.Sub(received)
	if left <= 0 {
		return &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_REFUSED, Reason: string(admission.ReasonExpired),
			Condition: s.release(j, evidence{})}
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	header := make(http.Header, len(r.GetHeaders())+2)
	for _, f := range r.GetHeaders() {
		header.Add(string(f.GetName()), string(f.GetValue()))
	}
	platform.SetTargetHeaders(header, r.GetInstance(), left)
	defer s.watchRunTime(j)()
	answer, err := s.run(ctx, &backend.Request{Method: string(r.GetMethod()), Target: string(r.GetTarget()),
		Host: string(r.GetHost()), Attempt: string(r.GetAttempt()), Header: header, Body: body, Idempotent: r.GetIdempotent()})
	ended := time.Now()
	if answer != nil {
		keep.Keep(answer.Body)
	}
	reply := replyFor(answer, err)
	e := s.evaluate(ctx, ended, answer, err)
	if e.weight > 0 && !e.failed {
		e.runTime = ended.Sub(started)
	}
	reply.CallFailed = e.callFailed
	reply.Condition = s.release(j, e)
	success := reply.GetOutcome() == wire.RunOutcome_RUN_OUTCOME_ANSWERED && reply.GetStatus() < http.StatusInternalServerError
	if s.journal.AllowRequestLine(ended, string(r.GetAttempt()), success) {
		s.Log.Info("A request ended at the instance.", "request", string(r.GetAttempt()), "instance", r.GetInstance(),
			"outcome", OutcomeName(reply.GetOutcome()), "status", reply.GetStatus(), "reason", reply.GetReason(),
			"failing", float64(reply.GetCondition().GetFailingPermille())/1000, "weight", e.weight, "test", j.isTest,
			"waited", started.Sub(received), "ran", ended.Sub(started))
	}
	return reply
}

// release frees the slot of a request that has run, and returns the condition of
// the instance, or nil if the service has stopped. It waits for room in the ring,
// because the slot must be released even when the ring is full.
func (s *Service) release(j *job, e evidence) *wire.Condition {
	condition := make(chan *wire.Condition, 1)
	err := s.commands.Put(context.Background(), func(now time.Time) {
		s.finish(now, j, e)
		condition <- s.condition(now)
	})
	if err != nil {
		return nil
	}
	select {
	case c := <-condition:
		return c
	case <-s.stopped:
		return nil
	}
}

// watchRunTime records the request as overdue if it runs for much longer than
// expected. It returns a function that ends the watch.
func (s *Service) watchRunTime(j *job) func() bool {
	if j.expectedRunTime == 0 {
		return func() bool { return false }
	}
	return time.AfterFunc(belief.HangAfter(j.expectedRunTime), func() {
		// If the ring is full, only this evidence is lost and the failure estimate
		// changes later.
		if err := s.commands.Offer(func(now time.Time) { s.recordOverdue(now, j) }); err != nil {
			s.Log.Debug("An overdue run was not noted.", "err", err)
		}
	}).Stop
}

// run sends a request to the instance in a new span and passes the span on in the
// request's header.
func (s *Service) run(ctx context.Context, r *backend.Request) (*message.Answer, error) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "run", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	if span.IsRecording() {
		r.Header.Set(tracing.Header, tracing.TraceParent(ctx))
	}
	answer, err := s.client.Do(ctx, r)
	if span.IsRecording() {
		if answer != nil {
			span.SetAttributes(attribute.Int("status", answer.Status))
		}
		span.RecordError(err)
	}
	return answer, err
}

// OutcomeName returns the name of an outcome in log lines and spans.
func OutcomeName(o wire.RunOutcome) string { return outcomeNames[o] }

var outcomeNames = map[wire.RunOutcome]string{
	wire.RunOutcome_RUN_OUTCOME_ANSWERED: "answered",
	wire.RunOutcome_RUN_OUTCOME_REFUSED:  "refused",
	wire.RunOutcome_RUN_OUTCOME_UNKNOWN:  "unknown",
}

// replyFor returns the reply for the result of an exchange with the instance.
func replyFor(answer *message.Answer, err error) *wire.RunReply {
	switch {
	case backend.NotSent(err):
		return &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_REFUSED, Reason: errorReason(err)}
	case err != nil:
		return &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_UNKNOWN, Reason: errorReason(err)}
	case platform.NotExecuted(answer.Status, answer.Header):
		return &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_REFUSED, Reason: ReasonInstance,
			Status: int32(answer.Status)}
	case platform.PromisesNotExecuted(answer.Status):
		// A client would read this status as a promise that the request did not run,
		// which the instance did not state. The status is therefore not passed on as
		// an answer.
		return &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_UNKNOWN, Reason: "refusal without statement",
			Status: int32(answer.Status)}
	}
	reply := &wire.RunReply{Outcome: wire.RunOutcome_RUN_OUTCOME_ANSWERED, Status: int32(answer.Status),
		Body: answer.Body}
	for name, values := range platform.AnswerHeader(answer.Header) {
		for _, v := range values {
			reply.Headers = append(reply.Headers, &wire.HeaderField{Name: []byte(name), Value: []byte(v)})
		}
	}
	return reply
}

// maxReason bounds the text of a reason in bytes.
const maxReason = 200

// errorReason returns the text of err as the reason of a reply. Errors of the
// exchange may contain what the instance sent, which may be long or no UTF-8.
func errorReason(err error) string {
	text := err.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxReason)], "\uFFFD")
}

// ReasonInstance is the reason of refusals by the instance itself. Such requests
// count as sent, unlike those that the gate refuses.
const ReasonInstance = "instance"

// evaluate returns the evidence that the result of an exchange gives about the
// instance.
func (s *Service) evaluate(ctx context.Context, now time.Time, answer *message.Answer, err error) evidence {
	switch {
	case ctx.Err() != nil:
		// The caller cancelled the request or the deadline passed. A long run by
		// itself is not a failure.
		return evidence{}
	case memory.IsKind(err, memory.KindExhausted):
		// This process had no memory for the answer.
		return evidence{}
	case backend.NotSent(err):
		return evidence{failed: true, weight: unreachableWeight}
	case err != nil:
		return evidence{failed: true, weight: 1}
	case platform.NotExecuted(answer.Status, answer.Header):
		return evidence{failed: true, weight: rejectedWeight}
	case answer.Status == http.StatusGatewayTimeout:
		return evidence{}
	case answer.Status >= http.StatusInternalServerError:
		if now.UnixNano()-s.lastNestedFailure.at.Load() < int64(nestedWindow) {
			return evidence{failed: true, weight: nestedWeight, callFailed: true}
		}
		return evidence{failed: true, weight: 1}
	}
	return evidence{weight: 1}
}

// RecordNestedFailure records that a call which the instance made through this
// sidecar failed at now.
func (s *Service) RecordNestedFailure(now time.Time) { s.lastNestedFailure.at.Store(now.UnixNano()) }
