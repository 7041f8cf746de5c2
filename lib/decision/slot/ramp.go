package slot

import "time"

// Ramp limits the slots of a cold instance. The zero value imposes no limit.
type Ramp struct {
	// Start is when the backend server started.
	Start time.Time
	// Length is how long it is cold.
	Length time.Duration
}

// Cold reports whether the ramp is in progress.
func (r Ramp) Cold(now time.Time) bool {
	return r.Length > 0 && now.Sub(r.Start) < r.Length
}

// Slots returns how many of n slots are in force: at first one, then in
// proportion to the time since the start.
func (r Ramp) Slots(now time.Time, n int) int {
	if !r.Cold(now) {
		return n
	}
	part := float64(now.Sub(r.Start)) / float64(r.Length)
	return min(n, max(1, 1+int(part*float64(n-1))))
}
