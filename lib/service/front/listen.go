package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxStartupWait is how long after its start a node lets requests wait until it
	// serves. Fetching and confirming a configuration takes less than a second;
	// without the wait each restart would fail the requests of that time.
	maxStartupWait = 5 * time.Second
	// servingPollInterval is how often a waiting request looks whether the node serves.
	servingPollInterval = 20 * time.Millisecond
	// lingerTime is how long connections without a request stay open after the
	// listener closed. A caller that sends a request in this time gets its answer
	// and the notice that the connection closes; a connection that is closed at
	// the moment when a request is on its way cuts the request off.
	lingerTime = 3 * time.Second
)

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		if err := s.server.Close(); err != nil {
			s.Log.Debug("Server closed.", "err", err)
		}
	}()
	err := s.server.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) && !s.draining.Load() {
		return fmt.Errorf("serve callers: %w", err)
	}
	<-stopped
	return nil
}

// awaitServing reports whether the node serves. Shortly after the start it
// waits for that.
func (s *Service) awaitServing(ctx context.Context) bool {
	if s.config.Serving() {
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, s.started.Add(maxStartupWait))
	defer cancel()
	t := time.NewTicker(servingPollInterval)
	defer t.Stop()
	for !s.config.Serving() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return s.config.Serving()
		}
	}
	return true
}

// Accepting reports whether callers can connect.
func (s *Service) Accepting() bool { return !s.draining.Load() }

// listener is closed by Drain and later by the server; the second close does
// nothing.
type listener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// Drain implements kernel.Drainer. The listener closes, answers tell the
// callers to close their connections, and Drain returns when all requests are
// answered.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if err := s.listener.Close(); err != nil {
		s.Log.Debug("Listener closed.", "err", err)
	}
	s.connections.wait(ctx, lingerTime)
	if err := s.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down with %d connections open: %w", s.connections.count(), err)
	}
	return nil
}

// connections counts the connections of callers.
type connections struct {
	mu        sync.Mutex
	open      int
	allClosed chan struct{}
}

// onStateChange is called by the server on each change of a connection.
func (c *connections) onStateChange(_ net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
	if c.open == 0 && c.allClosed != nil {
		close(c.allClosed)
		c.allClosed = nil
	}
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// wait returns when no connection is open, after d, or when ctx is done.
func (c *connections) wait(ctx context.Context, d time.Duration) {
	c.mu.Lock()
	if c.open == 0 {
		c.mu.Unlock()
		return
	}
	allClosed := make(chan struct{})
	c.allClosed = allClosed
	c.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-allClosed:
	case <-t.C:
	case <-ctx.Done():
	}
}
