package slot

import "container/heap"

// indexedHeap is a heap whose elements store their index, so that any element can
// be moved or removed in O(log n) time.
type indexedHeap[E any] struct {
	items []E
	less  func(a, b E) bool
	// index returns the address at which an element stores its index plus one;
	// zero means that it is not in the heap.
	index func(E) *int
}

// Len implements heap.Interface.
func (o *indexedHeap[E]) Len() int { return len(o.items) }

// Less implements heap.Interface.
func (o *indexedHeap[E]) Less(i, j int) bool { return o.less(o.items[i], o.items[j]) }

// Swap implements heap.Interface.
func (o *indexedHeap[E]) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	*o.index(o.items[i]), *o.index(o.items[j]) = i+1, j+1
}

// Push implements heap.Interface.
func (o *indexedHeap[E]) Push(x any) {
	e := x.(E)
	o.items = append(o.items, e)
	*o.index(e) = len(o.items)
}

// Pop implements heap.Interface.
func (o *indexedHeap[E]) Pop() any {
	last := len(o.items) - 1
	e := o.items[last]
	var zero E
	o.items[last] = zero
	o.items = o.items[:last]
	*o.index(e) = 0
	return e
}

// addOrFix adds e, or restores the order of the heap after a change of e.
func (o *indexedHeap[E]) addOrFix(e E) {
	if i := *o.index(e); i > 0 {
		heap.Fix(o, i-1)
		return
	}
	heap.Push(o, e)
}

// remove removes e if it is in the heap.
func (o *indexedHeap[E]) remove(e E) {
	if i := *o.index(e); i > 0 {
		heap.Remove(o, i-1)
	}
}

// first returns the smallest element, or false if the heap is empty.
func (o *indexedHeap[E]) first() (E, bool) {
	if len(o.items) == 0 {
		var zero E
		return zero, false
	}
	return o.items[0], true
}
