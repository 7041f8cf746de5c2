package pause

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// listener records the times at which it was notified of a pause.
type listener struct{ notified []time.Time }

func (l *listener) Paused(now time.Time) { l.notified = append(l.notified, now) }

// TestNotice guards against a service that is not notified of a pause, or that
// is notified of it twice.
func TestNotice(t *testing.T) {
	is := is.New(t)
	a, b := &listener{}, &listener{}
	s := &Service{Log: log.New(io.Discard), scope: tally.NoopScope, listeners: []Paused{a, b}}
	now := time.Now()
	resumed := now.Add(3 * time.Second)
	for _, at := range []time.Time{now, now.Add(interval), resumed, resumed.Add(interval)} {
		s.tick(at)
	}
	is.Equal(a.notified, []time.Time{resumed})
	is.Equal(b.notified, []time.Time{resumed})
}
