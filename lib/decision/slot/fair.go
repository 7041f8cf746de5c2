package slot

import (
	"container/list"
	"time"
)

// Fair is a fair queue that divides the slots between organisations by weight.
// The short and the long requests of an organisation are separate flows.
type Fair[T comparable] struct {
	accounts       map[string]*account[T]
	flowsByTag     [2]indexedHeap[*flow[T]] // flows with waiting requests, by class, then start tag
	accountsByLoad indexedHeap[*account[T]] // accounts with waiting requests, largest load first
	byLatestStart  indexedHeap[*Waiter[T]]  // waiting requests by latest start
	queuedWork     [2]time.Duration         // expected run time of the waiting requests
	totalWeight    int                      // sum of the weights of all accounts
	held           int                      // requests that wait or run
	virtualTime    float64                  // virtual time, in seconds
}

// account counts the requests of an organisation at the gate.
type account[T comparable] struct {
	name      string
	weight    int
	held      int // requests that wait or run
	queued    int // requests that wait
	flows     [2]flow[T]
	heapIndex int // in Fair.accountsByLoad, plus one
}

// load returns the number of requests of the organisation divided by its weight.
func (a *account[T]) load() float64 { return float64(a.held) / float64(a.weight) }

// flow holds the waiting requests of one organisation and class, oldest first.
type flow[T comparable] struct {
	account    *account[T]
	items      list.List
	queuedWork time.Duration
	startTag   float64 // virtual start of the next request, in seconds
	heapIndex  int     // in Fair.flowsByTag, plus one
}

// head returns the oldest request of a flow that is not empty.
func (f *flow[T]) head() *Waiter[T] { return f.items.Front().Value.(*Waiter[T]) }

// NewFair returns an empty queue.
func NewFair[T comparable]() *Fair[T] {
	q := &Fair[T]{accounts: make(map[string]*account[T])}
	for i := range q.flowsByTag {
		q.flowsByTag[i] = indexedHeap[*flow[T]]{less: startsBefore[T], index: func(f *flow[T]) *int { return &f.heapIndex }}
	}
	q.accountsByLoad = indexedHeap[*account[T]]{
		less:  func(a, b *account[T]) bool { return a.load() > b.load() },
		index: func(a *account[T]) *int { return &a.heapIndex },
	}
	q.byLatestStart = indexedHeap[*Waiter[T]]{
		less:  func(a, b *Waiter[T]) bool { return a.latestStart.Before(b.latestStart) },
		index: func(w *Waiter[T]) *int { return &w.heapIndex },
	}
	return q
}

// startsBefore reports whether a has the smaller start tag, or at equal tags the
// older request.
func startsBefore[T comparable](a, b *flow[T]) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.head().seq < b.head().seq
}

// class returns the index of the class of w: 0 for short, 1 for long requests.
func class[T comparable](w *Waiter[T]) int {
	if w.Long {
		return 1
	}
	return 0
}

// Len implements Queue.
func (q *Fair[T]) Len() int { return q.byLatestStart.Len() }

// Capacity implements Queue.
func (q *Fair[T]) Capacity(slots int) int { return QueuePerSlot * slots }

// WorkAhead implements Queue. As a flow gets at least the share of its weight, the
// queued work of its own organisation also bounds the wait.
func (q *Fair[T]) WorkAhead(w *Waiter[T]) time.Duration {
	c := class(w)
	all := q.queuedWork[c]
	a, ok := q.accounts[w.Organisation]
	if !ok {
		return 0
	}
	own := a.flows[c].queuedWork * time.Duration(q.totalWeight) / time.Duration(a.weight)
	return min(all, own)
}

// accountFor returns the account of the organisation of w and creates it if it
// does not exist.
func (q *Fair[T]) accountFor(w *Waiter[T]) *account[T] {
	a, ok := q.accounts[w.Organisation]
	if !ok {
		a = &account[T]{name: w.Organisation, weight: w.Weight}
		for i := range a.flows {
			a.flows[i].account = a
		}
		q.accounts[w.Organisation] = a
		q.totalWeight += a.weight
	}
	return a
}

// addHeld adds n to the number of requests of an account that wait or run. It
// deletes an account without requests, so that the memory is bounded by the
// number of requests at the gate.
func (q *Fair[T]) addHeld(a *account[T], n int) {
	a.held += n
	q.held += n
	if a.queued > 0 {
		q.accountsByLoad.addOrFix(a)
	} else {
		q.accountsByLoad.remove(a)
	}
	if a.held == 0 {
		delete(q.accounts, a.name)
		q.totalWeight -= a.weight
	}
}

// Push implements Queue.
func (q *Fair[T]) Push(w *Waiter[T]) {
	a := q.accountFor(w)
	f := &a.flows[class(w)]
	w.flow = f
	if f.items.Len() == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	w.element = f.items.PushBack(w)
	f.queuedWork += w.Expected
	q.queuedWork[class(w)] += w.Expected
	q.flowsByTag[class(w)].addOrFix(f)
	q.byLatestStart.addOrFix(w)
	a.queued++
	q.addHeld(a, 1)
}

// Remove implements Queue.
func (q *Fair[T]) Remove(w *Waiter[T]) {
	f := w.flow
	f.items.Remove(w.element)
	w.element = nil
	f.queuedWork -= w.Expected
	q.queuedWork[class(w)] -= w.Expected
	if f.items.Len() == 0 {
		q.flowsByTag[class(w)].remove(f)
	} else {
		q.flowsByTag[class(w)].addOrFix(f)
	}
	q.byLatestStart.remove(w)
	f.account.queued--
	q.addHeld(f.account, -1)
}

// Next implements Queue.
func (q *Fair[T]) Next(shortOnly bool) *Waiter[T] {
	shortFlow, haveShort := q.flowsByTag[0].first()
	longFlow, haveLong := q.flowsByTag[1].first()
	switch {
	case haveShort && (shortOnly || !haveLong || startsBefore(shortFlow, longFlow)):
		return shortFlow.head()
	case haveLong && !shortOnly:
		return longFlow.head()
	}
	return nil
}

// Started implements Queue.
func (q *Fair[T]) Started(w *Waiter[T]) {
	f := w.flow
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag = q.virtualTime + w.Expected.Seconds()/float64(f.account.weight)
	q.addHeld(f.account, 1)
}

// Ended implements Queue.
func (q *Fair[T]) Ended(w *Waiter[T]) { q.addHeld(w.flow.account, -1) }

// Expired implements Queue.
func (q *Fair[T]) Expired(now time.Time) *Waiter[T] {
	if w, ok := q.byLatestStart.first(); ok && !now.Before(w.latestStart) {
		return w
	}
	return nil
}

// Victim implements Queue. It returns the newest waiting request of the
// organisation with the largest load, if that load exceeds the load of the
// organisation of w with w added.
func (q *Fair[T]) Victim(w *Waiter[T]) *Waiter[T] {
	a, ok := q.accountsByLoad.first()
	if !ok || a.name == w.Organisation || a.load() <= q.loadWith(w) {
		return nil
	}
	var v *Waiter[T]
	for i := range a.flows {
		if e := a.flows[i].items.Back(); e != nil {
			if x := e.Value.(*Waiter[T]); v == nil || x.seq > v.seq {
				v = x
			}
		}
	}
	return v
}

// loadWith returns the load of the organisation of w with w added.
func (q *Fair[T]) loadWith(w *Waiter[T]) float64 {
	held := 0
	if a, ok := q.accounts[w.Organisation]; ok {
		held = a.held
	}
	return float64(held+1) / float64(w.Weight)
}

// OverShare implements Queue. A sole organisation is never over its share.
func (q *Fair[T]) OverShare(w *Waiter[T]) bool {
	a, ok := q.accounts[w.Organisation]
	if !ok || len(q.accounts) < 2 {
		return false
	}
	return a.load() > float64(q.held)/float64(q.totalWeight)
}
