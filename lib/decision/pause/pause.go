// Package pause detects that the process did not run for some time, for example
// because its VM was suspended or it got no CPU time.
//
// It checks two clocks, as the monotonic clock stops while a VM is suspended and
// the wall clock may be set. A gap in either counts as a pause: a pause that is
// reported wrongly costs little, but a node that misses one acts on outdated
// information.
package pause

import "time"

// MaxGap is the longest gap between two ticks that is not a pause. It is five times
// the tick interval, so that a busy machine rarely exceeds it.
const MaxGap = 500 * time.Millisecond

// Pause describes a period in which the process did not run.
type Pause struct {
	// DetectedAt is when the pause was detected, on the wall clock.
	DetectedAt time.Time
	// Length is the longer of the gaps of the two clocks.
	Length time.Duration
}

// Detector detects pauses. The zero value is ready for use. A Detector must be used
// by one goroutine only.
type Detector struct {
	monotonic, wall time.Time
}

// Tick takes the current time on both clocks and reports whether there was a
// pause since the last call. A wall clock that was set back is not a pause.
func (w *Detector) Tick(monotonic, wall time.Time) (Pause, bool) {
	length := max(monotonic.Sub(w.monotonic), wall.Sub(w.wall))
	first := w.monotonic.IsZero()
	w.monotonic, w.wall = monotonic, wall
	if first || length <= MaxGap {
		return Pause{}, false
	}
	return Pause{DetectedAt: wall, Length: length}, true
}
