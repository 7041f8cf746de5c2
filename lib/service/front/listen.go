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
	// maxStartupWait is the time after the start of the node during which requests
	// wait until it serves. Fetching and confirming a configuration takes less
	// than a second; without the wait, requests in this time would fail at each
	// restart.
	maxStartupWait = 5 * time.Second
	// servingPollInterval is the interval at which a waiting request checks whether
	// the node serves.
	servingPollInterval = 20 * time.Millisecond
	// lingerTime is how long connections without a request stay open after the
	// listener has closed. A caller that sends a request in this time gets an
	// answer with "Connection: close". Closing such connections at once would fail
	// requests that are already on their way.
	lingerTime = 3 * time.Second
)

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		if err := s.server.Close(); err != nil {
			s.Log.Debug("Closing the server failed.", "err", err)
		}
	}()
	err := s.server.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) && !s.draining.Load() {
		return fmt.Errorf("serve callers: %w", err)
	}
	<-stopped
	return nil
}

// awaitServing reports whether the node serves. Until maxStartupWait after the
// start it waits for that, at most until ctx is done.
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

// Accepting reports whether callers can connect. It is false from the start of
// Drain.
func (s *Service) Accepting() bool { return !s.draining.Load() }

// listener is closed by Drain and again by the server. The second call of Close
// returns the result of the first.
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

// Drain implements kernel.Drainer. It closes the listener, and answers ask the
// callers to close their connections. It waits up to lingerTime for open
// connections and returns when all requests are answered or ctx is done.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if err := s.listener.Close(); err != nil {
		s.Log.Debug("Closing the listener failed.", "err", err)
	}
	s.connections.wait(ctx, lingerTime)
	if err := s.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down with %d connections open: %w", s.connections.count(), err)
	}
	return nil
}

// connections counts the open connections of callers.
type connections struct {
	mu        sync.Mutex
	open      int
	allClosed chan struct{}
}

// onStateChange updates the count. The server calls it on each change of a
// connection's state.
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
