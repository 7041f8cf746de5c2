package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"cassiarack.example/sidecar/settings"
)

// settingsInterval is how often the settings file is compared, as it may change
// without a signal.
const settingsInterval = 2 * time.Second

// reloader reads the settings again and applies those that may change.
type reloader struct {
	// Started are the settings at the start of the process.
	Started *settings.Settings
	// Read returns the settings as they are now.
	Read func() (*settings.Settings, error)
	// Apply puts settings in force.
	Apply func(s *settings.Settings, level log.Level)
	Log   *log.Logger

	last *settings.Settings
	// failed is the last error, so that a file that stays faulty is logged once.
	failed string
}

// Run reads the settings after SIGHUP and at intervals. It never stops to take
// the signal, whose default would end the process during its stop.
func (r *reloader) Run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	r.last = r.Started
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.reload(true)
		case <-t.C:
			r.reload(false)
		}
	}
}

// reload takes over changed settings. Faulty ones change nothing.
func (r *reloader) reload(signalled bool) {
	s, err := r.Read()
	var level log.Level
	if err == nil {
		level, err = logLevel(s.LogLevel)
	}
	if err != nil {
		if text := err.Error(); signalled || text != r.failed {
			r.failed = text
			r.Log.Error("The settings could not be read; those in force stay.", "signalled", signalled, "err", err)
		}
		return
	}
	r.failed = ""
	changed := *s != *r.last
	if !changed && !signalled {
		return
	}
	r.Log.Info("The settings were read.", "changed", changed, "signalled", signalled)
	if !changed {
		return
	}
	r.last = s
	r.Apply(s, level)
	if keys := settings.Fixed(r.Started, s); len(keys) > 0 {
		r.Log.Warn("Changed settings take effect at the next start.", "keys", keys)
	}
}
