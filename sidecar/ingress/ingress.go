// Package ingress is the service that accepts requests from clients.
//
// It reads HTTP/1.1 with the parser of net/http. Unlike the server of net/http,
// it runs pipelined requests of a connection concurrently, and returns their
// responses in order.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/clock"
	"cassiarack.example/lib/decision/organisation"
	"cassiarack.example/lib/decision/routing"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/sidecar/limiter"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/message"
	"cassiarack.example/sidecar/names"
	"cassiarack.example/sidecar/publication"
)

const (
	// maxPipelined bounds the number of unanswered requests of a connection.
	maxPipelined = 16
	// acceptDelay is the pause after a connection could not be accepted, for
	// example for lack of file descriptors.
	acceptDelay = 20 * time.Millisecond
	// MinDrainTime is the minimum duration of a shutdown. The platform stops
	// sending clients here after two readiness checks, one second apart, that
	// did not return 200.
	MinDrainTime = 2800 * time.Millisecond
	// drainPoll is how often a shutdown checks for requests in flight.
	drainPoll = 50 * time.Millisecond
	// maxAbortMargin and abortMarginPart bound how long before the end of a shutdown
	// the requests in flight are cancelled, the second as a part of the shutdown.
	// The margin leaves time to send their responses and those queued behind them.
	maxAbortMargin  = 250 * time.Millisecond
	abortMarginPart = 1.0 / 21
	// The default limits apply until there is a configuration, and to limits
	// that it does not set.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
)

// Publication provides the configuration and the list of instances that the
// platform publishes.
type Publication interface {
	State() *publication.State
}

// Relay forwards requests to instances.
type Relay interface {
	Serve(ctx context.Context, r *message.Request) *message.Answer
}

// Authentication finds the organisations of requests.
type Authentication interface {
	// Authenticate returns the organisation of a request, or nil if it has none, or the
	// response to a request that is refused.
	Authenticate(ctx context.Context, header http.Header, route *routing.Route, table *routing.Table,
		received time.Time) (*organisation.Organisation, *message.Answer)
}

// Limiter admits the requests of organisations.
type Limiter interface {
	Admit(ctx context.Context, r *message.Request) (limiter.Permit, *message.Answer)
}

// Gate is the access to the instance on this VM.
type Gate interface {
	// RecordNestedFailure records that a request failed which may be a call by
	// the instance.
	RecordNestedFailure(now time.Time)
	// Running returns the number of requests that the instance is running.
	Running() int
}

// Journal limits the number of log lines about requests.
type Journal interface {
	AllowRequestLine(now time.Time, attempt string, success bool) bool
}

// Service accepts requests from clients, and returns the responses of the
// relay.
type Service struct {
	Listener net.Listener
	// CallerService is the name of the service of the instance on this VM.
	CallerService string
	// Bodies is the pool for the bodies of requests.
	Bodies *memory.Pool
	Scope  tally.Scope
	Log    *log.Logger

	publication    Publication
	authentication Authentication
	relay          Relay
	limiter        Limiter
	gate           Gate
	journal        Journal

	draining atomic.Bool
	// intakeClosed is set when no further requests are accepted.
	intakeClosed atomic.Bool
	// aborted is closed when the requests in flight are cancelled.
	aborted chan struct{}
	// abortAt is when the requests in flight will be cancelled. It is nil until a
	// shutdown.
	abortAt atomic.Pointer[time.Time]
	// late is set once a shutdown has lasted for MinDrainTime.
	late     atomic.Bool
	inflight atomic.Int64

	// splitMu guards the two fields below.
	splitMu         sync.Mutex
	splitter        routing.Splitter
	splitterVersion uint64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.publication, err = kernel.Find[Publication](dir, names.Publication); err != nil {
		return err
	}
	if s.authentication, err = kernel.Find[Authentication](dir, names.Authentication); err != nil {
		return err
	}
	if s.relay, err = kernel.Find[Relay](dir, names.Relay); err != nil {
		return err
	}
	if s.limiter, err = kernel.Find[Limiter](dir, names.Limiter); err != nil {
		return err
	}
	if s.gate, err = kernel.Find[Gate](dir, names.Gate); err != nil {
		return err
	}
	s.splitter.Seed = rand.Uint64()
	s.conns = make(map[*conn]struct{})
	s.aborted = make(chan struct{})
	s.journal, err = kernel.Find[Journal](dir, names.Journal)
	return err
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		s.Listener.Close()
		s.closeAll()
	})
	defer stop()
	for {
		raw, err := s.Listener.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("ingress: accept: %w", err)
		case err != nil:
			s.Log.Warn("A connection could not be accepted.", "err", err)
			clock.Sleep(ctx, acceptDelay)
			continue
		}
		c := newConn(s, raw)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.serve(ctx)
	}
}

// Leave implements kernel.Leaver.
func (s *Service) Leave(context.Context) error {
	s.draining.Store(true)
	return nil
}

// Ready reports whether the sidecar accepts new work: it has a configuration
// and is not shutting down.
func (s *Service) Ready() bool { return !s.draining.Load() && s.publication.State().Table != nil }

// Drain implements kernel.Drainer. The negative response to the platform's
// readiness check keeps new clients away, and connections close after their
// next response. Requests that are still in flight shortly before ctx ends are
// cancelled, so that complete responses queued behind them are delivered.
func (s *Service) Drain(ctx context.Context) error {
	end, ok := ctx.Deadline()
	if !ok {
		return errors.New("ingress: drain needs a deadline")
	}
	now := time.Now()
	abortAt := end.Add(-AbortMargin(end.Sub(now)))
	s.abortAt.Store(&abortAt)
	t := time.AfterFunc(abortAt.Sub(now), s.abort)
	defer t.Stop()
	clock.Sleep(ctx, MinDrainTime)
	s.late.Store(true)
	// The instance makes its calls through this sidecar until its requests are
	// done.
	for s.inflight.Load() > 0 || s.gate.Running() > 0 {
		if !clock.Sleep(ctx, drainPoll) {
			return fmt.Errorf("ingress: %d requests in flight at the end of the stop", s.inflight.Load())
		}
	}
	s.intakeClosed.Store(true)
	return nil
}

// AbortMargin returns how long before the end of a shutdown of the given length the
// requests in flight are cancelled.
func AbortMargin(length time.Duration) time.Duration {
	return min(maxAbortMargin, time.Duration(abortMarginPart*float64(length)))
}

// admits reports whether a request with the given deadline is still accepted.
// Late in a shutdown, requests are accepted only while the instance is running
// requests, since they may be calls that it makes for these, and only if the
// deadline is before the end: a request that is cut off at the end may already
// have run.
func (s *Service) admits(deadline time.Time) bool {
	return !s.late.Load() || s.gate.Running() > 0 && deadline.Before(*s.abortAt.Load())
}

// deadlineInStop returns the deadline of a request that arrives now. In a shutdown it
// is at the latest when the requests in flight are cancelled, so that a gate
// refuses a request that would be broken off then.
func (s *Service) deadlineInStop(deadline time.Time) time.Time {
	if at := s.abortAt.Load(); at != nil && at.Before(deadline) {
		return *at
	}
	return deadline
}

// abort stops the intake of requests and cancels those in flight.
func (s *Service) abort() {
	s.intakeClosed.Store(true)
	s.Log.Warn("Requests in flight are given up at the end of the stop.", "requests", s.inflight.Load())
	close(s.aborted)
}

// requestContext returns a context that ends with ctx or when the requests in
// flight are cancelled.
func (s *Service) requestContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-s.aborted:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (s *Service) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.net.Close()
	}
}

func (s *Service) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// limits returns the configured limits, with the defaults for those that are
// not set.
func (s *Service) limits() routing.Limits {
	l := routing.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	t := s.publication.State().Table
	if t == nil {
		return l
	}
	p := t.Configuration.Limits
	if p.HeaderBytes > 0 {
		l.HeaderBytes = p.HeaderBytes
	}
	if p.HeaderTimeout > 0 {
		l.HeaderTimeout = p.HeaderTimeout
	}
	if p.IdleTimeout > 0 {
		l.IdleTimeout = p.IdleTimeout
	}
	l.BodyBytes = p.BodyBytes
	return l
}

// chooseService returns the service that handles the next request of a route,
// according to the weights of its destinations.
func (s *Service) chooseService(t *routing.Table, r *routing.Route) string {
	s.splitMu.Lock()
	defer s.splitMu.Unlock()
	if v := t.Configuration.Version; v != s.splitterVersion {
		s.splitter.Reset()
		s.splitterVersion = v
	}
	return s.splitter.Next(r)
}
