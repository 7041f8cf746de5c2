package slot

import (
	"container/list"
	"time"
)

// FIFO is an unbounded queue in order of arrival, without classes or shares. It
// starts requests until their deadlines pass. It is a baseline for comparisons.
type FIFO[T comparable] struct {
	items list.List
}

// Len implements Queue.
func (q *FIFO[T]) Len() int { return q.items.Len() }

// Capacity implements Queue.
func (q *FIFO[T]) Capacity(int) int { return q.items.Len() + 1 }

// WorkAhead implements Queue. It returns a negative time: there is no estimate.
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

// Expired implements Queue. It checks only the oldest request.
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
