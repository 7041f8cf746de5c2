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

// watchSettings reads the settings again after SIGHUP and at intervals. It never
// stops to take the signal, whose default would end the process during its stop.
func watchSettings(ctx context.Context, read func() (*settings.Settings, error), log *log.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	last, _ := read()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-t.C:
		}
		s, err := read()
		if err != nil {
			log.Error("The settings could not be read; those in force stay.", "err", err)
			continue
		}
		if changed := last == nil || *s != *last; changed || signalled {
			log.Info("The settings were read.", "changed", changed, "signalled", signalled)
		}
		last = s
	}
}
