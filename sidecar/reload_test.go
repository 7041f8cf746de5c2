package main

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"cassiarack.example/lib/golden"
	"cassiarack.example/sidecar/settings"
)

// recorder records the settings that are applied.
type recorder struct{ out *bytes.Buffer }

func (r *recorder) SetLevel(level log.Level) { fmt.Fprintf(r.out, "level %s\n", level) }

func (r *recorder) SetRepeatBudget(ratio, slack float64, window time.Duration) {
	fmt.Fprintf(r.out, "repeats %g, %g, %v\n", ratio, slack, window)
}

func (r *recorder) SetBodyMemory(limit int64) { fmt.Fprintf(r.out, "body memory %d\n", limit) }

// TestReload guards against changed settings that are logged but not applied,
// invalid settings that are applied or end the process, and changes of
// addresses that are ignored without a warning.
func TestReload(t *testing.T) {
	started := &settings.Settings{Name: "a", RepeatSlack: 10}
	var out bytes.Buffer
	var next *settings.Settings
	var fault error
	applied := &recorder{out: &out}
	r := &reloader{Started: started, current: started, journal: applied, relay: applied, transfer: applied,
		Log:  log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter}),
		Read: func() (*settings.Settings, error) { return next, fault }}
	step := func(name string, s settings.Settings, err error, signalled bool) {
		out.WriteString("-- " + name + "\n")
		next, fault = &s, err
		r.reload(signalled)
	}
	step("unchanged", *started, nil, false)
	step("unchanged, signal", *started, nil, true)
	step("faulty", settings.Settings{}, errors.New("settings: line 3"), false)
	step("still faulty", settings.Settings{}, errors.New("settings: line 3"), false)
	step("unknown level", settings.Settings{Name: "a", LogLevel: "loud"}, nil, false)
	step("budget and level", settings.Settings{Name: "a", RepeatSlack: 20, LogLevel: "debug"}, nil, false)
	step("memory", settings.Settings{Name: "a", RepeatSlack: 20, LogLevel: "debug", MemoryMegabytes: 1 << 20}, nil, false)
	step("address", settings.Settings{Name: "b", RepeatSlack: 20, LogLevel: "debug"}, nil, true)
	golden.Check(t, "reload", out.String())
}
