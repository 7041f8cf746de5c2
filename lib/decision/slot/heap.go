package slot

import "container/heap"

// order is a heap whose elements know their places, so that they can be moved
// and removed in O(log n).
type order[E any] struct {
	items []E
	less  func(a, b E) bool
	// place returns where the element keeps its index plus one; zero means that
	// it is not in the heap.
	place func(E) *int
}

// Len implements heap.Interface.
func (o *order[E]) Len() int { return len(o.items) }

// Less implements heap.Interface.
func (o *order[E]) Less(i, j int) bool { return o.less(o.items[i], o.items[j]) }

// Swap implements heap.Interface.
func (o *order[E]) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	*o.place(o.items[i]), *o.place(o.items[j]) = i+1, j+1
}

// Push implements heap.Interface.
func (o *order[E]) Push(x any) {
	e := x.(E)
	o.items = append(o.items, e)
	*o.place(e) = len(o.items)
}

// Pop implements heap.Interface.
func (o *order[E]) Pop() any {
	last := len(o.items) - 1
	e := o.items[last]
	var zero E
	o.items[last] = zero
	o.items = o.items[:last]
	*o.place(e) = 0
	return e
}

// set adds e or restores its order after a change.
func (o *order[E]) set(e E) {
	if i := *o.place(e); i > 0 {
		heap.Fix(o, i-1)
		return
	}
	heap.Push(o, e)
}

// remove takes e out if it is in the heap.
func (o *order[E]) remove(e E) {
	if i := *o.place(e); i > 0 {
		heap.Remove(o, i-1)
	}
}

// first returns the least element.
func (o *order[E]) first() (E, bool) {
	if len(o.items) == 0 {
		var zero E
		return zero, false
	}
	return o.items[0], true
}
