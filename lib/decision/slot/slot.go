package slot

import (
	"time"
)

// QueuePerSlot bounds the queue: at most this many requests wait for a slot.
const QueuePerSlot = 4

// Refusal tells why a request did not get a slot.
type Refusal string

// Refusals.
const (
	RefusedFull     Refusal = "full"
	RefusedDeadline Refusal = "deadline"
	RefusedWait     Refusal = "queue-wait"
	RefusedLeaving  Refusal = "leaving"
)

// Request asks for a slot.
type Request[T any] struct {
	// Item identifies the request for the owner of the gate.
	Item T
	// Organisation is the customer.
	Organisation string
	// Expected is the expected run time.
	Expected time.Duration
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Until is the end of the longest wait in the queue.
	Until time.Time
}

// Decision is the fate of one request.
type Decision[T any] struct {
	Item T
	// Granted is set when the request got a slot.
	Granted bool
	// Refusal is set when it did not.
	Refusal Refusal
	// RetryAfter is when a new attempt makes sense.
	RetryAfter time.Duration
}

// Gate owns the slots and the queue of an instance.
type Gate[T comparable] struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving refuses all new requests.
	Leaving bool

	running int
	queue   []Request[T]
}

// Running returns the number of slots in use.
func (g *Gate[T]) Running() int { return g.running }

// Waiting returns the length of the queue.
func (g *Gate[T]) Waiting() int { return len(g.queue) }

// Admit takes a request. Its decision is returned now, or by a later call if
// the request waits.
func (g *Gate[T]) Admit(now time.Time, r Request[T]) []Decision[T] {
	switch {
	case g.Leaving:
		return refuse(r.Item, RefusedLeaving, 0)
	case now.Add(r.Expected).After(r.Deadline):
		return refuse(r.Item, RefusedDeadline, 0)
	case g.running < g.Slots && len(g.queue) == 0:
		g.running++
		return []Decision[T]{{Item: r.Item, Granted: true}}
	case len(g.queue) >= QueuePerSlot*g.Slots:
		return refuse(r.Item, RefusedFull, r.Expected)
	}
	g.queue = append(g.queue, r)
	return nil
}

func refuse[T any](item T, why Refusal, after time.Duration) []Decision[T] {
	return []Decision[T]{{Item: item, Refusal: why, RetryAfter: after}}
}

// Release returns a slot and decides about waiting requests.
func (g *Gate[T]) Release(now time.Time) []Decision[T] {
	g.running--
	return g.Tick(now)
}

// Withdraw removes a waiting request and reports whether it was waiting.
func (g *Gate[T]) Withdraw(item T) bool {
	for i, r := range g.queue {
		if r.Item == item {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Tick refuses the requests that waited too long and grants free slots.
func (g *Gate[T]) Tick(now time.Time) []Decision[T] {
	var out []Decision[T]
	keep := g.queue[:0]
	for _, r := range g.queue {
		switch {
		case g.Leaving:
			out = append(out, Decision[T]{Item: r.Item, Refusal: RefusedLeaving})
		case now.Add(r.Expected).After(r.Deadline):
			out = append(out, Decision[T]{Item: r.Item, Refusal: RefusedDeadline})
		case g.running < g.Slots:
			g.running++
			out = append(out, Decision[T]{Item: r.Item, Granted: true})
		case !now.Before(r.Until):
			out = append(out, Decision[T]{Item: r.Item, Refusal: RefusedWait, RetryAfter: r.Expected})
		default:
			keep = append(keep, r)
		}
	}
	g.queue = keep
	return out
}
