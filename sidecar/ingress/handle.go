package ingress

import (
	"context"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"cassiarack.example/lib/decision/organisation"
	"cassiarack.example/lib/decision/routing"
	"cassiarack.example/lib/tracing"
	"cassiarack.example/platform"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/message"
)

// handle returns the response to one request and records a trace span for it.
func (s *Service) handle(ctx context.Context, head *http.Request, body []byte, answerMemory *memory.Hold,
	received time.Time) *message.Answer {
	attempt := platform.AttemptID(head.Header)
	ctx, span := otel.Tracer(tracerName).Start(tracing.WithTraceParent(ctx, head.Header.Get(tracing.Header)), "request",
		trace.WithTimestamp(received), trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	a := s.answer(ctx, attempt, head, body, answerMemory, received)
	if span.IsRecording() {
		span.SetAttributes(tracing.String("request", attempt), tracing.String("host", head.Host),
			attribute.Int("status", a.Status), attribute.Bool("own", a.FromFleet))
	}
	return a
}

// answer finds the route and the organisation of a request and returns the response
// of the relay. Requests without a configuration, a route or a required key, and those
// that arrive too late in a shutdown, are refused.
func (s *Service) answer(ctx context.Context, attempt string, head *http.Request, body []byte,
	answerMemory *memory.Hold, received time.Time) *message.Answer {
	table := s.publication.State().Table
	if table == nil {
		if s.journal.AllowRequestLine(received, attempt, false) {
			s.Log.Warn("A request was refused.", "request", attempt, "reason", "no configuration")
		}
		return &message.Answer{Status: http.StatusServiceUnavailable, FromFleet: true,
			Header: platform.RefusalHeader(attempt, retryAfter), Body: []byte("not run: no configuration\n")}
	}
	target := head.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = head.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	route := table.Find(head.Host, path)
	if route == nil {
		if s.journal.AllowRequestLine(received, attempt, false) {
			s.Log.Warn("A request has no route.", "request", attempt, "host", head.Host, "path", path,
				"configVersion", table.Configuration.Version)
		}
		return &message.Answer{Status: http.StatusNotFound, FromFleet: true, Header: platform.RefusalHeader(attempt, 0),
			Body: []byte("no route\n")}
	}
	deadline := received.Add(route.Timeout)
	if d, ok := platform.Deadline(head.Header); ok && d < route.Timeout {
		deadline = received.Add(d)
	}
	caller, refused := s.authenticate(ctx, head.Header, route, table, received, deadline)
	if refused != nil {
		return refused
	}
	if !s.admits(deadline) {
		if s.journal.AllowRequestLine(received, attempt, false) {
			s.Log.Info("A request was refused.", "request", attempt, "reason", "the sidecar stops", "route", route.Name)
		}
		return &message.Answer{Status: http.StatusServiceUnavailable, FromFleet: true,
			Header: platform.RefusalHeader(attempt, retryAfter), Body: []byte("not run: the sidecar stops\n")}
	}
	a := s.serveWithinLimit(ctx, &message.Request{
		Attempt: attempt, Method: head.Method, Target: target, Host: head.Host,
		Header: platform.RequestHeader(head.Header, s.sender(table, caller)), Body: body, AnswerMemory: answerMemory,
		Organisation: caller, HasOrganisations: table.Register != nil, Route: route, ConfigVersion: table.Configuration.Version, Service: s.chooseService(table, route),
		Received: received, Deadline: s.deadlineInStop(deadline), TargetTime: received.Add(route.TargetLatency),
	})
	if a.Status >= http.StatusInternalServerError {
		s.gate.RecordNestedFailure(time.Now())
	}
	return a
}

// authenticate returns the organisation of a request, or the response to a request that
// is refused. It waits for that at most until the deadline of the request.
func (s *Service) authenticate(ctx context.Context, header http.Header, route *routing.Route, table *routing.Table,
	received, deadline time.Time) (*organisation.Organisation, *message.Answer) {
	if table.Register != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	return s.authentication.Authenticate(ctx, header, route, table, received)
}

// sender returns what an instance is told about the sender of a request.
func (s *Service) sender(table *routing.Table, caller *organisation.Organisation) platform.Sender {
	from := platform.Sender{Service: s.CallerService, Keyed: table.Register != nil}
	if caller != nil {
		from.Organisation = caller.Name
	}
	return from
}

// serveWithinLimit passes a request to the relay if it is within the limit of its
// organisation.
func (s *Service) serveWithinLimit(ctx context.Context, r *message.Request) *message.Answer {
	if r.Organisation == nil {
		return s.relay.Serve(ctx, r)
	}
	permit, refusal := s.limiter.Admit(ctx, r)
	if refusal != nil {
		return refusal
	}
	a := s.relay.Serve(ctx, r)
	if a.FromFleet && platform.PromisesNotExecuted(a.Status) {
		permit.Return()
	}
	return a
}

// refuseBody returns the response to a request whose body was refused.
func (s *Service) refuseBody(received time.Time, attempt string, r *refusal) *message.Answer {
	if s.journal.AllowRequestLine(received, attempt, false) {
		s.Log.Info("A request was refused.", "request", attempt, "reason", r.Error())
	}
	a := plainTextAnswer(r.status, r.Error())
	if r.status == http.StatusServiceUnavailable {
		a.Header = platform.RefusalHeader(attempt, retryAfter)
	}
	return a
}

const tracerName = "cassiarack/ingress"

// retryAfter is the Retry-After time of a refusal, after which a sidecar that
// has just started has read the configuration.
const retryAfter = 200 * time.Millisecond
