package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/sidecar/ingress"
)

// TestStopMargins guards against a sidecar that breaks requests off earlier than in
// the last sixth of the time until SIGKILL, or whose drain leaves no time to end.
func TestStopMargins(t *testing.T) {
	is := is.New(t)
	for _, stopTimeout := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		drain := drainTimeout(stopTimeout)
		abort := drain - ingress.AbortMargin(drain)
		t.Logf("%v: requests are broken off after %v, the drain ends after %v", stopTimeout, abort, drain)
		is.True(abort >= stopTimeout*5/6)
		is.True(stopTimeout-drain >= stopTimeout/10 || stopTimeout-drain == maxStopMargin)
	}
	is.Equal(drainTimeout(6*time.Second), 5300*time.Millisecond)
}
