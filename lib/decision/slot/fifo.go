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

// Capacity implements Queue.
func (q *FIFO[T]) Capacity(int) int { return q.items.Len() + 1 }

// WorkAhead implements Queue. A negative time means that it is not estimated.
func (q *FIFO[T]) WorkAhead(*Waiter[T]) time.Duration { return -1 }

// Push implements Queue.
func (q *FIFO[T]) Push(w *Waiter[T]) { w.element = q.items.PushBack(w) }

// Remove implements Queue.
func (q *FIFO[T]) Remove(w *Waiter[T]) {
	q.items.Remove(w.element)
	w.element = nil
}

// Next implements Queue.
func (q *FIFO[T]) Next(bool) *Waiter[T] {
	if e := q.items.Front(); e != nil {
		return e.Value.(*Waiter[T])
	}
	return nil
}

// Expired implements Queue. Only the oldest request is looked at.
func (q *FIFO[T]) Expired(now time.Time) *Waiter[T] {
	if w := q.Next(false); w != nil && !now.Before(w.Deadline) {
		return w
	}
	return nil
}

// Victim implements Queue.
func (q *FIFO[T]) Victim(*Waiter[T]) *Waiter[T] { return nil }

// OverShare implements Queue.
func (q *FIFO[T]) OverShare(*Waiter[T]) bool { return false }

// Started implements Queue.
func (q *FIFO[T]) Started(*Waiter[T]) {}

// Ended implements Queue.
func (q *FIFO[T]) Ended(*Waiter[T]) {}
