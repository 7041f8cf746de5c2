// Package ingress is the service that takes the requests of clients.
//
// It reads HTTP/1.1 with the parser of net/http, but runs requests that a client
// sends without waiting for answers side by side and returns the answers in
// order, which the server of net/http does not.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/clock"
	"cassiarack.example/lib/decision/routing"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/sidecar/message"
	"cassiarack.example/sidecar/names"
	"cassiarack.example/sidecar/publication"
)

const (
	// maxPipelined bounds the unanswered requests of a connection.
	maxPipelined = 16
	// acceptDelay follows a failure to accept a connection, such as a lack of
	// descriptors.
	acceptDelay = 20 * time.Millisecond
	// minDrainTime is the least time between the start of a stop and its end.
	// Clients are led away after two questions, a second apart, that were not
	// answered with 200.
	minDrainTime = 2800 * time.Millisecond
	// drainPoll is how often a stop looks for requests in flight.
	drainPoll = 50 * time.Millisecond
	// abortMargin is kept to the end of a stop for the answers of requests that
	// are still in flight then, and for those that wait behind them.
	abortMargin = 250 * time.Millisecond
	// startLimits apply before the first configuration.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
)

// Publication knows what the platform publishes.
type Publication interface {
	State() *publication.State
}

// Relay returns the answer to a request.
type Relay interface {
	Serve(ctx context.Context, r *message.Request) *message.Answer
}

// Gate is the way to the instance on this VM.
type Gate interface {
	// RecordNestedFailure tells that a request which may be a call of the instance
	// failed.
	RecordNestedFailure(now time.Time)
	// Running returns the number of requests at the instance.
	Running() int
}

// Journal bounds the lines about requests.
type Journal interface {
	AllowRequestLine(now time.Time, attempt string, success bool) bool
}

// Service takes the requests of clients.
type Service struct {
	Listener net.Listener
	// CallerService is the service of the instance on this VM.
	CallerService string
	Scope         tally.Scope
	Log           *log.Logger

	publication Publication
	relay       Relay
	gate        Gate
	journal     Journal

	draining atomic.Bool
	// intakeClosed is set when no further request is taken.
	intakeClosed atomic.Bool
	// aborted is closed when the requests in flight are given up.
	aborted chan struct{}
	// abortAt is when that will be, in Unix nanoseconds; zero before drainTime has
	// passed in a stop.
	abortAt  atomic.Int64
	inflight atomic.Int64

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
	if s.relay, err = kernel.Find[Relay](dir, names.Relay); err != nil {
		return err
	}
	if s.gate, err = kernel.Find[Gate](dir, names.Gate); err != nil {
		return err
	}
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

// Ready reports whether the sidecar takes new work.
func (s *Service) Ready() bool { return !s.draining.Load() && s.publication.State().Table != nil }

// Drain implements kernel.Drainer: clients are led away by the answer to the
// platform's question whether the sidecar is ready, and connections close after
// their next answer. Requests that are still in flight shortly before ctx ends
// are given up, so that complete answers behind them are delivered.
func (s *Service) Drain(ctx context.Context) error {
	end, ok := ctx.Deadline()
	if !ok {
		return errors.New("ingress: drain needs a deadline")
	}
	t := time.AfterFunc(time.Until(end)-abortMargin, s.abort)
	defer t.Stop()
	clock.Sleep(ctx, minDrainTime)
	s.abortAt.Store(end.Add(-abortMargin).UnixNano())
	// The instance needs this sidecar for its calls until its work is done.
	for s.inflight.Load() > 0 || s.gate.Running() > 0 {
		if !clock.Sleep(ctx, drainPoll) {
			return fmt.Errorf("ingress: %d requests in flight at the end of the stop", s.inflight.Load())
		}
	}
	s.intakeClosed.Store(true)
	return nil
}

// admits reports whether a request that may last until deadline can still be
// taken. Late in a stop only calls of work that the instance has begun are taken,
// and only if they end before the stop does: whatever is broken off at the end
// may have run.
func (s *Service) admits(deadline time.Time) bool {
	at := s.abortAt.Load()
	return at == 0 || s.gate.Running() > 0 && deadline.UnixNano() < at
}

// abort takes no more requests and ends those in flight.
func (s *Service) abort() {
	s.intakeClosed.Store(true)
	s.Log.Warn("Requests in flight are given up at the end of the stop.", "requests", s.inflight.Load())
	close(s.aborted)
}

// requestContext returns a context that ends with ctx or when requests are given
// up.
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

// limits returns the limits in force.
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

// chooseService returns the destination of a request of a route.
func (s *Service) chooseService(t *routing.Table, r *routing.Route) string {
	s.splitMu.Lock()
	defer s.splitMu.Unlock()
	if v := t.Configuration.Version; v != s.splitterVersion {
		s.splitter.Reset()
		s.splitterVersion = v
	}
	return s.splitter.Next(r)
}
