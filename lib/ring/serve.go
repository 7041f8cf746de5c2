package ring

import (
	"context"
	"time"
)

// Duty is a loop over one ring and one ticker. Its functions run on one
// goroutine, so that the state they share needs no lock.
type Duty[T any] struct {
	// Ring holds the commands of the duty.
	Ring *Ring[T]
	// Interval is the time between two ticks; zero means no ticks.
	Interval time.Duration
	// Handle performs one command.
	Handle func(now time.Time, v T)
	// Tick performs the periodic work; it may be nil if Interval is zero.
	Tick func(now time.Time)
}

// Run performs commands and ticks until ctx is done or the ring is closed and
// empty. It returns nil in both cases.
func (d *Duty[T]) Run(ctx context.Context) error {
	ticks, stop := ticker(d.Interval)
	defer stop()
	for {
		select {
		case it := <-d.Ring.items:
			d.Handle(time.Now(), d.Ring.received(it))
		case <-ticks:
			d.Tick(time.Now())
		case <-ctx.Done():
			return nil
		case <-d.Ring.closed:
			d.finish()
			return nil
		}
	}
}

// finish performs the commands left in a closed ring.
func (d *Duty[T]) finish() {
	for {
		v, err := d.Ring.takeRest()
		if err != nil {
			return
		}
		d.Handle(time.Now(), v)
	}
}

func ticker(interval time.Duration) (<-chan time.Time, func()) {
	if interval <= 0 {
		return nil, func() {}
	}
	t := time.NewTicker(interval)
	return t.C, t.Stop
}
