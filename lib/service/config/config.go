// Package config is the service that owns the configuration in force.
package config

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
)

// ringSize bounds the configurations that wait to be put in force.
const ringSize = 16

// Service owns the configuration in force.
type Service struct {
	// Log receives changes and refusals.
	Log *log.Logger

	offers  *ring.Ring[*config.Configuration]
	current atomic.Pointer[config.Configuration]
}

// Bind implements kernel.Service.
func (s *Service) Bind(*kernel.Directory) error {
	s.offers = ring.New[*config.Configuration](ringSize)
	return nil
}

// Current returns the configuration in force, or nil before the first.
func (s *Service) Current() *config.Configuration { return s.current.Load() }

// Offer proposes a configuration. It is put in force only if it is newer.
func (s *Service) Offer(ctx context.Context, c *config.Configuration) error {
	return s.offers.Put(ctx, c)
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	d := ring.Duty[*config.Configuration]{Ring: s.offers, Handle: s.adopt}
	return d.Run(ctx)
}

func (s *Service) adopt(_ time.Time, c *config.Configuration) {
	cur := s.current.Load()
	if cur != nil && c.Revision.Number <= cur.Revision.Number {
		return
	}
	s.current.Store(c)
	s.Log.Info("Configuration in force.", "revision", c.Revision.Number)
}
