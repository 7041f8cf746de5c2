package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started as a time after the Unix epoch. It
// includes the time in which the machine was suspended, and steps of the time of day
// have no effect on it. Only differences of such times are meaningful.
func Boot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only if the kernel lacks the clock, which is older than the
		// oldest kernel that Go supports.
		panic("clock: boot time: " + err.Error())
	}
	return time.Unix(t.Unix())
}
