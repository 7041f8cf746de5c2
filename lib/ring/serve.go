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
	// Idle, if set, reports that there is no periodic work before the next
	// command. Ticks then stop, as a process that wakes a hundred times a second
	// for nothing takes half a percent of a core.
	Idle func() bool
}

// Run performs commands and ticks until ctx is done or the ring is closed and
// empty. It returns nil in both cases.
func (d *Duty[T]) Run(ctx context.Context) error {
	t := newTicker(d.Interval)
	defer t.stop()
	for {
		t.set(d.Idle == nil || !d.Idle())
		select {
		case it := <-d.Ring.items:
			d.Handle(time.Now(), d.Ring.received(it))
		case <-t.ticks():
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

// pausingTicker is a ticker that can be stopped and started again.
type pausingTicker struct {
	interval time.Duration
	ticker   *time.Ticker
	running  bool
}

func newTicker(interval time.Duration) *pausingTicker {
	t := &pausingTicker{interval: interval}
	if interval > 0 {
		t.ticker, t.running = time.NewTicker(interval), true
	}
	return t
}

// set starts or stops the ticker. A running ticker is not disturbed.
func (t *pausingTicker) set(running bool) {
	if t.ticker == nil || t.running == running {
		return
	}
	t.running = running
	if running {
		t.ticker.Reset(t.interval)
	} else {
		t.ticker.Stop()
	}
}

func (t *pausingTicker) ticks() <-chan time.Time {
	if t.ticker == nil {
		return nil
	}
	return t.ticker.C
}

func (t *pausingTicker) stop() { t.set(false) }
