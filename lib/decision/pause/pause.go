// Package pause decides whether the process did not run for a time, as when its
// VM is suspended or it gets no processor.
//
// Two clocks are compared. The monotonic clock stands still while a VM is
// suspended; the wall clock may be set. A gap in either counts, as a pause that
// is reported wrongly costs little and a pause that is missed lets the node act
// on old facts.
package pause

import "time"

// MaxGap is the longest gap between two ticks that is not a pause. It is five
// times the interval of the ticks, so that a busy machine seldom exceeds it.
const MaxGap = 500 * time.Millisecond

// Pause is a time in which the process did not run.
type Pause struct {
	// DetectedAt is when it was noticed, on the wall clock.
	DetectedAt time.Time
	// Length is the longer of the gaps of both clocks.
	Length time.Duration
}

// Detector notices pauses. The zero value is ready for use. It is used by one
// goroutine.
type Detector struct {
	monotonic, wall time.Time
}

// Tick takes the present time on both clocks and reports a pause since the last
// call. A wall clock that was set back is not a pause.
func (w *Detector) Tick(monotonic, wall time.Time) (Pause, bool) {
	length := max(monotonic.Sub(w.monotonic), wall.Sub(w.wall))
	first := w.monotonic.IsZero()
	w.monotonic, w.wall = monotonic, wall
	if first || length <= MaxGap {
		return Pause{}, false
	}
	return Pause{DetectedAt: wall, Length: length}, true
}
