package publication

import (
	"context"
	"time"

	"cassiarack.example/lib/decision/routing"
	"cassiarack.example/platform"
)

// configState is the newest valid configuration and the watch for the next one.
type configState struct {
	table    *routing.Table
	document []byte
	// revision is the store's revision after which the watch continues; zero
	// means that the configuration is read first.
	revision uint64
	watching bool
	retryAt  time.Time
}

func (c *configState) version() uint64 {
	if c.table == nil {
		return 0
	}
	return c.table.Configuration.Version
}

// watchConfig starts a read or a watch of the configuration unless one runs.
func (s *Service) watchConfig(ctx context.Context, now time.Time) {
	if s.config.watching || now.Before(s.config.retryAt) {
		return
	}
	s.config.watching = true
	after := s.config.revision
	go func() {
		var d platform.Document
		var err error
		if after == 0 {
			call, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			d, err = s.Store.Config(call)
		} else {
			call, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
			defer cancel()
			d, err = s.Store.WatchConfig(call, after, watchWait)
		}
		s.do(ctx, func(done time.Time) { s.watched(ctx, done, d, err) })
	}()
}

// watched takes the result of a read or a watch. After a failure the
// configuration is read anew, as the history may be gone.
func (s *Service) watched(ctx context.Context, now time.Time, d platform.Document, err error) {
	s.config.watching = false
	if err != nil {
		s.config.revision = 0
		s.config.retryAt = now.Add(configInterval/2 + time.Duration(s.Random.Int64N(int64(configInterval/2))))
		if !platform.IsHistoryGone(err) {
			s.Log.Warn("The configuration could not be read.", "version", s.config.version(), "err", err)
			return
		}
		s.config.retryAt = now
		s.watchConfig(ctx, now)
		return
	}
	s.config.revision = d.Revision
	if len(d.Text) > 0 && s.accept(d.Text, "store") {
		s.announce(now)
	}
	if !s.stale(now) {
		s.watchConfig(ctx, now)
	}
}

// accept puts a configuration in force if it is valid and newer, and reports
// whether it did.
func (s *Service) accept(text []byte, source string) bool {
	c, err := platform.DecodeConfig(text)
	if err != nil {
		s.Scope.Counter("configurations_rejected").Inc(1)
		s.Log.Error("A configuration was rejected.", "source", source, "inForce", s.config.version(), "err", err)
		return false
	}
	if c.Version <= s.config.version() {
		return false
	}
	s.config.table, s.config.document = routing.Compile(c), text
	s.Log.Info("A configuration is in force.", "version", c.Version, "routes", len(c.Routes), "source", source)
	s.Scope.Gauge("configuration_version").Update(float64(c.Version))
	s.publish()
	return true
}
