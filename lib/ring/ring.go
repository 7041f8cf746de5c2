package ring

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Ring is a bounded first-in, first-out queue, safe for concurrent use. New
// creates it; the zero value is not usable.
type Ring[T any] struct {
	items  chan item[T]
	closed chan struct{}
	once   sync.Once

	taken   atomic.Uint64
	refused atomic.Uint64
	// waited is in nanoseconds.
	waited atomic.Int64
}

// item is a value with the time since which it is in the ring.
type item[T any] struct {
	value T
	since time.Time
}

// Stats holds the statistics of a ring. Its counters start at the creation of the
// ring.
type Stats struct {
	// Depth is the number of items in the ring.
	Depth int
	// Capacity is the maximum number of items in the ring.
	Capacity int
	// Taken counts the items that consumers received.
	Taken uint64
	// Refused counts the calls of Offer and Put that returned an error.
	Refused uint64
	// Waited is the total time that the taken items spent in the ring.
	Waited time.Duration
}

// New returns a ring that holds up to capacity items. It panics if capacity is
// less than one.
func New[T any](capacity int) *Ring[T] {
	if capacity < 1 {
		panic("ring: capacity below one")
	}
	return &Ring[T]{
		items:  make(chan item[T], capacity),
		closed: make(chan struct{}),
	}
}

// Put appends v, and waits for room if the ring is full. It returns an error of
// kind KindClosed if the ring is closed, or KindContext if ctx is done first.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	if r.isClosed() {
		return r.refuse("put", KindClosed, nil)
	}
	select {
	case r.items <- item[T]{v, time.Now()}:
		return nil
	case <-r.closed:
		return r.refuse("put", KindClosed, nil)
	case <-ctx.Done():
		return r.refuse("put", KindContext, ctx.Err())
	}
}

// Offer appends v if there is room. It never blocks, and returns an error of kind
// KindFull or KindClosed if v was not appended.
func (r *Ring[T]) Offer(v T) error {
	if r.isClosed() {
		return r.refuse("offer", KindClosed, nil)
	}
	select {
	case r.items <- item[T]{v, time.Now()}:
		return nil
	default:
		return r.refuse("offer", KindFull, nil)
	}
}

// Take removes and returns the oldest item, and waits for one if the ring is empty.
// It returns an error of kind KindClosed if the ring is closed and empty, or
// KindContext if ctx is done first.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case it := <-r.items:
		return r.received(it), nil
	default:
	}
	select {
	case it := <-r.items:
		return r.received(it), nil
	case <-r.closed:
		return r.takeRest()
	case <-ctx.Done():
		var zero T
		return zero, &Error{Op: "take", Kind: KindContext, Err: ctx.Err()}
	}
}

// takeRest removes the oldest item without waiting. It returns an error of kind
// KindClosed if none is left. It is for closed rings.
func (r *Ring[T]) takeRest() (T, error) {
	select {
	case it := <-r.items:
		return r.received(it), nil
	default:
		var zero T
		return zero, &Error{Op: "take", Kind: KindClosed}
	}
}

// Close closes the ring to further items. Consumers still receive the items that it
// holds. Close may be called more than once.
func (r *Ring[T]) Close() {
	r.once.Do(func() { close(r.closed) })
}

// Stats returns the current statistics of the ring.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Depth:    len(r.items),
		Capacity: cap(r.items),
		Taken:    r.taken.Load(),
		Refused:  r.refused.Load(),
		Waited:   time.Duration(r.waited.Load()),
	}
}

func (r *Ring[T]) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}

// received counts a taken item and returns its value.
func (r *Ring[T]) received(it item[T]) T {
	r.taken.Add(1)
	r.waited.Add(int64(time.Since(it.since)))
	return it.value
}

// refuse counts a refused item and returns the error for it.
func (r *Ring[T]) refuse(op string, kind Kind, err error) error {
	r.refused.Add(1)
	return &Error{Op: op, Kind: kind, Err: err}
}
