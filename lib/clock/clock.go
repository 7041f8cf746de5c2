// Package clock provides a sleep that a context can interrupt and the boot clock.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Sleep waits for the duration d. It returns true, or false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Boot returns the time since the start of the VM, counted from the Unix epoch. Unlike
// the monotonic clock it goes on while the VM is suspended, and unlike the time of day
// it does not step. It is comparable only with other results of Boot on the same VM.
//
// Boot returns the zero time if the system refuses to read the clock. There is no
// other clock with both properties to fall back to.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Time{}
	}
	return time.Unix(ts.Unix())
}

// Uptime returns the time since the start of the VM that a result of Boot stands for.
func Uptime(boot time.Time) time.Duration { return boot.Sub(time.Unix(0, 0)) }
