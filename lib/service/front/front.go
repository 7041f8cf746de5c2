package front

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/request"
	"cassiarack.example/lib/service"
	"cassiarack.example/lib/service/gate"
	"cassiarack.example/lib/service/handoff"
)

const (
	tracerName = "cassiarack/front"
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 64 << 10
	// headerTimeout is the maximum time in which a caller must send a header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection may stay open without a request.
	idleTimeout = 2 * time.Minute
)

// Header names of requests and answers.
const (
	HeaderOutcome      = "Cassiarack-Outcome"
	HeaderInstance     = "Cassiarack-Instance"
	HeaderNode         = "Cassiarack-Node"
	HeaderOrganisation = "Cassiarack-Organisation"
	HeaderTimeout      = "Cassiarack-Timeout"
	HeaderKey          = "Idempotency-Key"
)

// Service serves callers over HTTP.
type Service struct {
	// Listener accepts the connections of callers.
	Listener net.Listener
	// VM is the name of the node's VM.
	VM string
	// Timeout is the time allowed for requests that have no HeaderTimeout.
	Timeout time.Duration
	// Log receives errors of the HTTP server at level debug.
	Log *log.Logger

	handoff     *handoff.Service
	config      servingStatus
	server      *http.Server
	connections connections
	listener    *listener
	started     time.Time
	draining    atomic.Bool
}

// servingStatus reports whether the node has a confirmed configuration and may
// serve.
type servingStatus interface {
	Serving() bool
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.handoff, err = kernel.Find[*handoff.Service](dir, service.Handoff); err != nil {
		return err
	}
	if s.config, err = kernel.Find[servingStatus](dir, service.Config); err != nil {
		return err
	}
	s.listener, s.started = &listener{Listener: s.Listener}, time.Now()
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.NewRoute().HandlerFunc(s.serve)
	s.server = &http.Server{
		Handler:           r,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.connections.onStateChange,
		ErrorLog:          s.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	return nil
}

// serve handles one HTTP request.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := otel.Tracer(tracerName).Start(ctx, "request")
	defer span.End()
	span.SetAttributes(attribute.String("method", r.Method), attribute.String("path", r.URL.Path))
	w.Header().Set(HeaderNode, s.VM)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if !s.awaitServing(ctx) {
		writeFailure(w, &request.Failure{Outcome: request.NotRun, Reason: request.ReasonNotServing,
			Detail: "the node waits until another node confirms its configuration"})
		return
	}
	req, failure := s.request(r, time.Now())
	if failure != nil {
		writeFailure(w, failure)
		return
	}
	var up *upload
	if r.Body != nil && r.Body != http.NoBody {
		up = newUpload(w, r)
		defer up.stop()
		req.Body = up.start
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	answer, failure := s.handoff.Do(ctx, req)
	up.fullDuplex(failure != nil)
	if failure != nil {
		writeFailure(w, failure)
		return
	}
	writeAnswer(ctx, w, answer)
}

// request converts the HTTP request. It returns a failure if the request is
// malformed or uses a feature of HTTP that is not supported.
func (s *Service) request(r *http.Request, now time.Time) (*request.Request, *request.Failure) {
	timeout := s.Timeout
	if h := r.Header.Get(HeaderTimeout); h != "" {
		d, err := time.ParseDuration(h)
		if err != nil || d <= 0 {
			return nil, malformed(fmt.Sprintf("%s: found %q; allowed: a positive duration such as 1.5s", HeaderTimeout, h))
		}
		timeout = d
	}
	if r.Header.Get("Upgrade") != "" {
		return nil, malformed("Upgrade is not supported")
	}
	if r.Method == http.MethodConnect {
		return nil, malformed("CONNECT is not supported")
	}
	length := r.ContentLength
	if r.Body == nil || r.Body == http.NoBody {
		length = 0
	}
	var trailers []string
	for n := range r.Trailer {
		trailers = append(trailers, n)
	}
	return &request.Request{
		Head: request.Head{Method: r.Method, Target: r.URL.RequestURI(), Host: r.Host,
			Fields: gate.EndToEnd(r.Header), ContentLength: length, TrailerNames: trailers},
		Path:           r.URL.Path,
		Organisation:   r.Header.Get(HeaderOrganisation),
		IdempotencyKey: r.Header.Get(HeaderKey),
		Deadline:       now.Add(timeout),
	}, nil
}

func malformed(detail string) *request.Failure {
	return &request.Failure{Outcome: request.NotRun, Reason: request.ReasonMalformed, Detail: detail}
}
