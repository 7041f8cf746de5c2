package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBoot guards against a boot clock with a monotonic part, which would make
// differences ignore suspended time, and against one that stands still.
func TestBoot(t *testing.T) {
	is := is.New(t)
	first := Boot()
	is.True(!first.IsZero())
	is.Equal(first, first.Round(0))
	time.Sleep(2 * time.Millisecond)
	is.True(Boot().Sub(first) >= 2*time.Millisecond)
	is.True(Uptime(first) > 0)
}
