package slot

import "time"

// Ramp limits the number of slots of an instance after a cold start. The zero
// value imposes no limit.
type Ramp struct {
	// Start is when the backend server started.
	Start time.Time
	// Length is the duration of the ramp.
	Length time.Duration
}

// Cold reports whether the ramp is in progress.
func (r Ramp) Cold(now time.Time) bool {
	return r.Length > 0 && now.Sub(r.Start) < r.Length
}

// Slots returns how many of n slots may be used: one at first, then a number that
// grows linearly with the time since the start.
func (r Ramp) Slots(now time.Time, n int) int {
	if !r.Cold(now) {
		return n
	}
	part := float64(now.Sub(r.Start)) / float64(r.Length)
	return min(n, max(1, 1+int(part*float64(n-1))))
}
