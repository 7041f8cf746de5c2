package pause

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// listener records the pauses that it was told of.
type listener struct{ notified []time.Time }

func (l *listener) Paused(now time.Time) { l.notified = append(l.notified, now) }

// TestNotice guards against a pause that a service is not told of, or told of
// twice.
func TestNotice(t *testing.T) {
	is := is.New(t)
	a, b := &listener{}, &listener{}
	s := &Service{Log: log.New(io.Discard), scope: tally.NoopScope, listeners: []Paused{a, b}}
	now := time.Now()
	woke := now.Add(3 * time.Second)
	for _, at := range []time.Time{now, now.Add(interval), woke, woke.Add(interval)} {
		s.tick(at)
	}
	is.Equal(a.notified, []time.Time{woke})
	is.Equal(b.notified, []time.Time{woke})
}
