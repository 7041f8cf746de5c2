package ring

import (
	"context"
	"time"
)

// Duty is a loop that handles the commands of a ring and the ticks of a ticker. Its
// functions run on the goroutine of Run, so that their shared state needs no lock.
type Duty[T any] struct {
	// Ring holds the commands.
	Ring *Ring[T]
	// Interval is the time between two ticks; zero means no ticks.
	Interval time.Duration
	// Handle executes one command.
	Handle func(now time.Time, v T)
	// Tick does the periodic work. It may be nil if Interval is zero.
	Tick func(now time.Time)
	// Idle, if set, reports that there is no periodic work before the next
	// command. Ticks then stop until that command: a process that wakes 100 times
	// a second without work takes 0.5 % of a core.
	Idle func() bool
}

// Run handles commands and ticks until ctx is done, or until the ring is closed and
// its remaining commands are handled. It returns nil in both cases.
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

// finish handles the remaining commands of a closed ring.
func (d *Duty[T]) finish() {
	for {
		v, err := d.Ring.takeRest()
		if err != nil {
			return
		}
		d.Handle(time.Now(), v)
	}
}

// pausingTicker is a ticker that can be stopped and started again. With an
// interval of zero it never ticks.
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

// set starts or stops the ticker. It has no effect on the phase of a ticker that is
// in the wanted state already.
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

// ticks returns the channel of the ticks, or nil if there is no ticker.
func (t *pausingTicker) ticks() <-chan time.Time {
	if t.ticker == nil {
		return nil
	}
	return t.ticker.C
}

func (t *pausingTicker) stop() { t.set(false) }
