package slot

import (
	"container/list"
	"time"
)

// FIFO is a queue without bound, classes and shares, which starts each request
// that its caller still waits for. It is a baseline.
type FIFO[T comparable] struct {
	items list.List
}

// Len implements Queue.
func (q *FIFO[T]) Len() int { return q.items.Len() }

// Room implements Queue.
func (q *FIFO[T]) Room(int) int { return q.items.Len() + 1 }

// Ahead implements Queue. A negative time means that it is not estimated.
func (q *FIFO[T]) Ahead(*Waiter[T]) time.Duration { return -1 }

// Push implements Queue.
func (q *FIFO[T]) Push(w *Waiter[T]) { w.place = q.items.PushBack(w) }

// Remove implements Queue.
func (q *FIFO[T]) Remove(w *Waiter[T]) {
	q.items.Remove(w.place)
	w.place = nil
}

// Next implements Queue.
func (q *FIFO[T]) Next(bool) *Waiter[T] {
	if e := q.items.Front(); e != nil {
		return e.Value.(*Waiter[T])
	}
	return nil
}

// Due implements Queue. Only the oldest request is looked at.
func (q *FIFO[T]) Due(now time.Time) *Waiter[T] {
	if w := q.Next(false); w != nil && !now.Before(w.Deadline) {
		return w
	}
	return nil
}

// Victim implements Queue.
func (q *FIFO[T]) Victim(*Waiter[T]) *Waiter[T] { return nil }

// Heavy implements Queue.
func (q *FIFO[T]) Heavy(*Waiter[T]) bool { return false }

// Started implements Queue.
func (q *FIFO[T]) Started(*Waiter[T]) {}

// Ended implements Queue.
func (q *FIFO[T]) Ended(*Waiter[T]) {}
