package slot

import (
	"container/list"
	"time"
)

// Fair shares the slots between organisations by weight. Short and long
// requests of an organisation are separate flows.
type Fair[T comparable] struct {
	accounts map[string]*account[T]
	next     [2]order[*flow[T]] // flows with waiting requests, by class and start tag
	heavy    order[*account[T]] // accounts with waiting requests, heaviest first
	due      order[*Waiter[T]]  // waiting requests by latest start
	work     [2]time.Duration   // expected run time of the waiting requests
	weights  int                // sum of the weights of all accounts
	held     int                // requests that wait or run
	clock    float64            // virtual time, in seconds
}

// account is what an organisation holds at the gate.
type account[T comparable] struct {
	name   string
	weight int
	held   int // requests that wait or run
	queued int // requests that wait
	flows  [2]flow[T]
	heavy  int
}

// load is the weighted number of requests of the organisation.
func (a *account[T]) load() float64 { return float64(a.held) / float64(a.weight) }

// flow holds the waiting requests of one organisation and class, oldest first.
type flow[T comparable] struct {
	account *account[T]
	items   list.List
	work    time.Duration
	tag     float64 // virtual start of the next request
	next    int
}

// head returns the oldest request of a flow that is not empty.
func (f *flow[T]) head() *Waiter[T] { return f.items.Front().Value.(*Waiter[T]) }

// NewFair returns an empty queue.
func NewFair[T comparable]() *Fair[T] {
	q := &Fair[T]{accounts: make(map[string]*account[T])}
	for i := range q.next {
		q.next[i] = order[*flow[T]]{less: earlier[T], place: func(f *flow[T]) *int { return &f.next }}
	}
	q.heavy = order[*account[T]]{
		less:  func(a, b *account[T]) bool { return a.load() > b.load() },
		place: func(a *account[T]) *int { return &a.heavy },
	}
	q.due = order[*Waiter[T]]{
		less:  func(a, b *Waiter[T]) bool { return a.latest.Before(b.latest) },
		place: func(w *Waiter[T]) *int { return &w.due },
	}
	return q
}

func earlier[T comparable](a, b *flow[T]) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.head().number < b.head().number
}

func class[T comparable](w *Waiter[T]) int {
	if w.Long {
		return 1
	}
	return 0
}

// Len implements Queue.
func (q *Fair[T]) Len() int { return q.due.Len() }

// Room implements Queue.
func (q *Fair[T]) Room(slots int) int { return QueuePerSlot * slots }

// Ahead implements Queue. A flow gets at least the share of its weight, so
// that the wait is bounded by the work of its own organisation, too.
func (q *Fair[T]) Ahead(w *Waiter[T]) time.Duration {
	c := class(w)
	all := q.work[c]
	a, ok := q.accounts[w.Organisation]
	if !ok {
		return 0
	}
	own := a.flows[c].work * time.Duration(q.weights) / time.Duration(a.weight)
	return min(all, own)
}

// account returns the account of the organisation of w, and opens it.
func (q *Fair[T]) account(w *Waiter[T]) *account[T] {
	a, ok := q.accounts[w.Organisation]
	if !ok {
		a = &account[T]{name: w.Organisation, weight: w.Weight}
		for i := range a.flows {
			a.flows[i].account = a
		}
		q.accounts[w.Organisation] = a
		q.weights += a.weight
	}
	return a
}

// hold changes the number of requests of an account by n, which wait or run.
// An account without requests is closed, so that memory is bounded by the
// requests at the gate.
func (q *Fair[T]) hold(a *account[T], n int) {
	a.held += n
	q.held += n
	if a.queued > 0 {
		q.heavy.set(a)
	} else {
		q.heavy.remove(a)
	}
	if a.held == 0 {
		delete(q.accounts, a.name)
		q.weights -= a.weight
	}
}

// Push implements Queue.
func (q *Fair[T]) Push(w *Waiter[T]) {
	a := q.account(w)
	f := &a.flows[class(w)]
	w.flow = f
	if f.items.Len() == 0 {
		f.tag = max(f.tag, q.clock)
	}
	w.place = f.items.PushBack(w)
	f.work += w.Expected
	q.work[class(w)] += w.Expected
	q.next[class(w)].set(f)
	q.due.set(w)
	a.queued++
	q.hold(a, 1)
}

// Remove implements Queue.
func (q *Fair[T]) Remove(w *Waiter[T]) {
	f := w.flow
	f.items.Remove(w.place)
	w.place = nil
	f.work -= w.Expected
	q.work[class(w)] -= w.Expected
	if f.items.Len() == 0 {
		q.next[class(w)].remove(f)
	} else {
		q.next[class(w)].set(f)
	}
	q.due.remove(w)
	f.account.queued--
	q.hold(f.account, -1)
}

// Next implements Queue.
func (q *Fair[T]) Next(short bool) *Waiter[T] {
	s, haveShort := q.next[0].first()
	l, haveLong := q.next[1].first()
	switch {
	case haveShort && (short || !haveLong || earlier(s, l)):
		return s.head()
	case haveLong && !short:
		return l.head()
	}
	return nil
}

// Started implements Queue.
func (q *Fair[T]) Started(w *Waiter[T]) {
	f := w.flow
	q.clock = max(q.clock, f.tag)
	f.tag = q.clock + w.Expected.Seconds()/float64(f.account.weight)
	q.hold(f.account, 1)
}

// Ended implements Queue.
func (q *Fair[T]) Ended(w *Waiter[T]) { q.hold(w.flow.account, -1) }

// Due implements Queue.
func (q *Fair[T]) Due(now time.Time) *Waiter[T] {
	if w, ok := q.due.first(); ok && !now.Before(w.latest) {
		return w
	}
	return nil
}

// Victim implements Queue. The newest request of the heaviest organisation
// gives way if that organisation stays heavier than the newcomer's.
func (q *Fair[T]) Victim(w *Waiter[T]) *Waiter[T] {
	a, ok := q.heavy.first()
	if !ok || a.name == w.Organisation || a.load() <= q.loadWith(w) {
		return nil
	}
	var v *Waiter[T]
	for i := range a.flows {
		if e := a.flows[i].items.Back(); e != nil {
			if x := e.Value.(*Waiter[T]); v == nil || x.number > v.number {
				v = x
			}
		}
	}
	return v
}

// loadWith returns the load of an organisation after w is added.
func (q *Fair[T]) loadWith(w *Waiter[T]) float64 {
	held := 0
	if a, ok := q.accounts[w.Organisation]; ok {
		held = a.held
	}
	return float64(held+1) / float64(w.Weight)
}

// Heavy implements Queue.
func (q *Fair[T]) Heavy(w *Waiter[T]) bool {
	a, ok := q.accounts[w.Organisation]
	if !ok || len(q.accounts) < 2 {
		return false
	}
	return a.load() > float64(q.held)/float64(q.weights)
}
