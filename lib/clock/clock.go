// Package clock waits for times.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d and reports true, or false if ctx is done before.
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
