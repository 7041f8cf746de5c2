package main

import (
	"context"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"cassiarack.example/lib/kernel"
	"cassiarack.example/sidecar/names"
	"cassiarack.example/sidecar/settings"
)

// settingsInterval is how often the settings file is read and compared, as it
// may change without a signal.
const settingsInterval = 2 * time.Second

// reloader is the service that rereads the settings file and applies the
// settings that can change while the process runs.
type reloader struct {
	// Started are the settings with which the process started.
	Started *settings.Settings
	// Read reads and decodes the settings file.
	Read func() (*settings.Settings, error)
	// Hangups delivers SIGHUP.
	Hangups <-chan os.Signal
	Log     *log.Logger

	journal  levelSetter
	relay    repeatBudgetSetter
	transfer bodyMemorySetter

	current *settings.Settings
	// lastError is the text of the last error. The same error of a file that
	// stays faulty is logged only once, unless a signal asks for the reload.
	lastError string
}

// levelSetter changes the log level.
type levelSetter interface{ SetLevel(level log.Level) }

// repeatBudgetSetter changes the budget for repeated requests.
type repeatBudgetSetter interface {
	SetRepeatBudget(ratio, slack float64, window time.Duration)
}

// bodyMemorySetter changes the memory for the bodies in flight, in bytes.
type bodyMemorySetter interface{ SetBodyMemory(limit int64) }

// Bind implements kernel.Service.
func (r *reloader) Bind(dir *kernel.Directory) error {
	r.current = r.Started
	var err error
	if r.journal, err = kernel.Find[levelSetter](dir, names.Journal); err != nil {
		return err
	}
	if r.relay, err = kernel.Find[repeatBudgetSetter](dir, names.Relay); err != nil {
		return err
	}
	r.transfer, err = kernel.Find[bodyMemorySetter](dir, names.Transfer)
	return err
}

// Run implements kernel.Service.
func (r *reloader) Run(ctx context.Context) error {
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.Hangups:
			r.reload(true)
		case <-t.C:
			r.reload(false)
		}
	}
}

// reload reads the settings and applies those that changed. If they are
// invalid, the current ones stay. The argument signalled reports whether SIGHUP
// was received; the result is then always logged.
func (r *reloader) reload(signalled bool) {
	s, err := r.Read()
	var level log.Level
	if err == nil {
		level, err = logLevel(s.LogLevel)
	}
	if err != nil {
		if text := err.Error(); signalled || text != r.lastError {
			r.lastError = text
			r.Log.Error("The settings could not be read; those in force stay.", "signalled", signalled, "err", err)
		}
		return
	}
	r.lastError = ""
	changed := *s != *r.current
	if !changed && !signalled {
		return
	}
	r.Log.Info("The settings were read.", "changed", changed, "signalled", signalled)
	if !changed {
		return
	}
	r.current = s
	setMemoryLimit(s)
	r.transfer.SetBodyMemory(bodyMemoryLimit(s))
	r.journal.SetLevel(level)
	r.relay.SetRepeatBudget(s.RepeatRatio, s.RepeatSlack, s.RepeatWindow)
	if keys := settings.RestartRequired(r.Started, s); len(keys) > 0 {
		r.Log.Warn("Changed settings take effect at the next start.", "keys", keys)
	}
}
