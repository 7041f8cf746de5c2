// Package reader is the service that reads the platform.
package reader

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/platform"
	"cassiarack.example/lib/service"
	configservice "cassiarack.example/lib/service/config"
)

const (
	// watchWait is how long the platform holds a watch.
	watchWait = 10 * time.Second
	// retryDelay is the wait after a failed read.
	retryDelay = time.Second
)

// Service reads the platform.
type Service struct {
	// Client reads the platform.
	Client *platform.Client
	// Log receives refused revisions.
	Log *log.Logger

	config *configservice.Service
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	if s.Client.HTTP == nil {
		s.Client.HTTP = &http.Client{}
	}
	var err error
	s.config, err = kernel.Find[*configservice.Service](dir, service.Config)
	return err
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		m, err := s.Client.Watch(ctx, after, watchWait)
		switch {
		case errors.Is(err, platform.ErrUnchanged):
			continue
		case err != nil:
			s.fail(ctx, err)
			continue
		}
		after = m.Revision
		if err := s.load(ctx, m); err != nil {
			s.fail(ctx, err)
		}
	}
	return nil
}

func (s *Service) fail(ctx context.Context, err error) {
	s.Log.Warn("Read failed.", "err", err)
	t := time.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// load reads the documents of a revision and offers its configuration.
func (s *Service) load(ctx context.Context, m *platform.Manifest) error {
	documents := make(map[string][]byte, len(m.Documents))
	for _, d := range m.Documents {
		content, err := s.Client.Document(ctx, m.Revision, d)
		if err != nil {
			return err
		}
		documents[d.Name] = content
	}
	c, err := config.Decode(config.Revision{Number: m.Revision, Digest: m.Digest()}, documents)
	if err != nil {
		return err
	}
	return s.config.Offer(ctx, c)
}
