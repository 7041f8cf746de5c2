package slot

import (
	"container/list"
	"time"
)

// QueuePerSlot is the largest number of waiting requests for each slot.
const QueuePerSlot = 4

// shortReserveTime is how long one slot stays reserved for short requests after
// the last of them arrived. Without short requests, long ones use all slots.
const shortReserveTime = time.Second

// Refusal is the reason why a request did not get a slot.
type Refusal string

// Reasons for a refusal: the queue is full, the organisation holds more than its
// share, the deadline cannot be met, the wait in the queue is too long, or the
// instance is leaving.
const (
	RefusedFull     Refusal = "full"
	RefusedShare    Refusal = "share"
	RefusedDeadline Refusal = "deadline"
	RefusedWait     Refusal = "queue-wait"
	RefusedLeaving  Refusal = "leaving"
)

// Request asks for a slot.
type Request[T any] struct {
	// Item identifies the request to the caller of the gate.
	Item T
	// Organisation is the customer that the request belongs to.
	Organisation string
	// Weight is the weight of the organisation in fair sharing; values below 1
	// count as 1.
	Weight int
	// Expected is the expected run time.
	Expected time.Duration
	// Deadline is when the client stops waiting for the answer.
	Deadline time.Time
	// QueueDeadline is when the request is refused if it still waits in the queue.
	QueueDeadline time.Time
}

// Decision is the outcome for one request.
type Decision[T any] struct {
	Item T
	// Granted is set when the request got a slot.
	Granted bool
	// Refusal is the reason when the request was refused.
	Refusal Refusal
	// RetryAfter is the suggested delay before a new attempt. It is zero when
	// the instance is leaving or the deadline cannot be met.
	RetryAfter time.Duration
}

// Waiter is a request that waits in the queue or runs in a slot.
type Waiter[T comparable] struct {
	Request[T]
	// Long is set for requests of the long class.
	Long bool

	seq         uint64        // order of arrival
	latestStart time.Time     // latest start that meets Deadline and QueueDeadline
	flow        *flow[T]      // nil in a FIFO queue
	element     *list.Element // in the queue, then in Gate.runningShort
	started     time.Time     // when the slot was granted
	heapIndex   int           // in Fair.byLatestStart, plus one
}

// Queue orders the requests that wait for a slot.
type Queue[T comparable] interface {
	// Len returns the number of waiting requests.
	Len() int
	// Capacity returns the largest number of requests that may wait at an
	// instance with the given number of slots.
	Capacity(slots int) int
	// WorkAhead returns the sum of the expected run times of the requests that
	// would start before w, or a negative time if the queue does not estimate it.
	WorkAhead(w *Waiter[T]) time.Duration
	// Push adds a request.
	Push(w *Waiter[T])
	// Remove removes a waiting request.
	Remove(w *Waiter[T])
	// Next returns the request to start next without removing it, or nil. It
	// skips long requests if shortOnly is set.
	Next(shortOnly bool) *Waiter[T]
	// Expired returns a waiting request that can no longer start in time, or nil.
	Expired(now time.Time) *Waiter[T]
	// Victim returns the waiting request to refuse in favour of w when the queue
	// is full, or nil.
	Victim(w *Waiter[T]) *Waiter[T]
	// OverShare reports whether the organisation of w holds more than its share.
	OverShare(w *Waiter[T]) bool
	// Started records that a waiting request gets a slot. The gate calls it
	// just before Remove.
	Started(w *Waiter[T])
	// Ended records that a request no longer holds its slot.
	Ended(w *Waiter[T])
}

// Gate controls the slots and the queue of an instance.
type Gate[T comparable, Q Queue[T]] struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving makes the gate refuse all new and waiting requests.
	Leaving bool
	// LongBound is the run time from which a request is long; zero means that
	// all requests are short.
	LongBound time.Duration
	// Ramp limits the number of slots after a cold start.
	Ramp Ramp
	// Queue holds the waiting requests.
	Queue Q

	lastSeq          uint64
	waiting          map[T]*Waiter[T]
	running          map[T]*Waiter[T]
	runningShort     list.List     // short requests that have run for less than LongBound, oldest first
	runningShortWork time.Duration // sum of the expected run times of runningShort
	lastShortArrival time.Time
}

// Running returns the number of slots in use.
func (g *Gate[T, Q]) Running() int { return len(g.running) }

// Waiting returns the length of the queue.
func (g *Gate[T, Q]) Waiting() int { return len(g.waiting) }

// OpenSlots returns the number of slots that may be used now. It is below Slots
// during the ramp after a cold start.
func (g *Gate[T, Q]) OpenSlots(now time.Time) int { return g.Ramp.Slots(now, g.Slots) }

// Admit grants a slot to a request, queues it or refuses it. The decision about
// a queued request is returned by a later call. The returned decisions may
// concern other requests too.
func (g *Gate[T, Q]) Admit(now time.Time, r Request[T]) []Decision[T] {
	if g.running == nil {
		g.running, g.waiting = make(map[T]*Waiter[T]), make(map[T]*Waiter[T])
	}
	out := g.Tick(now)
	w := g.newWaiter(now, r)
	why := g.refusal(now, w)
	if why == RefusedFull {
		if v := g.Queue.Victim(w); v != nil {
			out, why = append(out, g.refuse(v, RefusedShare)), ""
		}
	}
	if why != "" {
		return append(out, Decision[T]{Item: r.Item, Refusal: g.refusalReason(w, why), RetryAfter: g.retryAfter(why, w)})
	}
	g.waiting[r.Item] = w
	g.Queue.Push(w)
	return append(out, g.grant(now)...)
}

func (g *Gate[T, Q]) newWaiter(now time.Time, r Request[T]) *Waiter[T] {
	g.lastSeq++
	r.Weight = max(r.Weight, 1)
	w := &Waiter[T]{Request: r, Long: g.LongBound > 0 && r.Expected >= g.LongBound, seq: g.lastSeq}
	w.latestStart = r.Deadline.Add(-r.Expected)
	if r.QueueDeadline.Before(w.latestStart) {
		w.latestStart = r.QueueDeadline
	}
	if !w.Long {
		g.lastShortArrival = now
	}
	return w
}

// refusal returns why a request can neither start nor wait, or an empty reason.
// A request that cannot meet its deadline is refused before it takes a slot or a
// place in the queue.
func (g *Gate[T, Q]) refusal(now time.Time, w *Waiter[T]) Refusal {
	wait := g.expectedWait(now, w)
	switch {
	case g.Leaving:
		return RefusedLeaving
	case now.Add(wait + w.Expected).After(w.Deadline):
		return RefusedDeadline
	case wait == 0:
		return ""
	case now.Add(wait).After(w.QueueDeadline):
		return RefusedWait
	case g.Queue.Len() >= g.Queue.Capacity(g.Slots):
		return RefusedFull
	}
	return ""
}

// expectedWait returns the expected time until w starts. It assumes exponentially
// distributed run times, so that the time a running request still needs does not
// depend on how long it has run.
func (g *Gate[T, Q]) expectedWait(now time.Time, w *Waiter[T]) time.Duration {
	open := g.OpenSlots(now)
	// While a slot is free, the queue holds only long requests.
	if len(g.running) < open && g.mayStart(now, w.Long) && (g.Queue.Len() == 0 || !w.Long) {
		return 0
	}
	ahead := g.Queue.WorkAhead(w)
	if ahead < 0 {
		return 0
	}
	usable := open - (len(g.running) - g.runningShort.Len())
	if usable <= 0 || g.runningShort.Len() == 0 {
		// Only long requests hold slots, and their remaining time is unknown.
		return max(g.LongBound, w.Expected)
	}
	next := g.runningShortWork / time.Duration(g.runningShort.Len())
	return (ahead + next) / time.Duration(usable)
}

// refusalReason returns RefusedShare in place of a full queue or a long wait if
// the organisation of w holds more than its share.
func (g *Gate[T, Q]) refusalReason(w *Waiter[T], why Refusal) Refusal {
	if (why == RefusedFull || why == RefusedWait) && g.Queue.OverShare(w) {
		return RefusedShare
	}
	return why
}

func (g *Gate[T, Q]) retryAfter(why Refusal, w *Waiter[T]) time.Duration {
	if why == RefusedLeaving || why == RefusedDeadline {
		return 0
	}
	return w.Expected
}

// mayStart reports whether a free slot may go to a request of the given class.
// While short requests arrive, one slot is reserved for them: requests that have
// run for LongBound or longer, or are expected to, hold at most all other slots.
func (g *Gate[T, Q]) mayStart(now time.Time, long bool) bool {
	open := g.OpenSlots(now)
	if !long || open < 2 || now.Sub(g.lastShortArrival) >= shortReserveTime {
		return true
	}
	return len(g.running)-g.runningShort.Len() < open-1
}

// Release frees the slot of a request and decides about waiting requests. It does
// nothing for an item that holds no slot.
func (g *Gate[T, Q]) Release(now time.Time, item T) []Decision[T] {
	w, ok := g.running[item]
	if !ok {
		return nil
	}
	delete(g.running, item)
	g.removeRunningShort(w)
	g.Queue.Ended(w)
	return g.Tick(now)
}

// Withdraw removes a request from the queue and reports whether it was waiting.
func (g *Gate[T, Q]) Withdraw(item T) bool {
	w, ok := g.waiting[item]
	if ok {
		delete(g.waiting, item)
		g.Queue.Remove(w)
	}
	return ok
}

// Tick refuses the requests that waited too long, or all waiting requests if the
// instance is leaving, and grants free slots.
func (g *Gate[T, Q]) Tick(now time.Time) []Decision[T] {
	for e := g.runningShort.Front(); e != nil && g.LongBound > 0; e = g.runningShort.Front() {
		w := e.Value.(*Waiter[T])
		if now.Sub(w.started) < g.LongBound {
			break
		}
		g.removeRunningShort(w)
	}
	var out []Decision[T]
	for w := g.Queue.Expired(now); w != nil; w = g.Queue.Expired(now) {
		why := RefusedWait
		if now.Before(w.QueueDeadline) {
			why = RefusedDeadline
		}
		out = append(out, g.refuse(w, why))
	}
	for w := g.Queue.Next(false); g.Leaving && w != nil; w = g.Queue.Next(false) {
		out = append(out, g.refuse(w, RefusedLeaving))
	}
	return append(out, g.grant(now)...)
}

// refuse removes a request from the queue and returns its refusal.
func (g *Gate[T, Q]) refuse(w *Waiter[T], why Refusal) Decision[T] {
	delete(g.waiting, w.Item)
	g.Queue.Remove(w)
	return Decision[T]{Item: w.Item, Refusal: g.refusalReason(w, why), RetryAfter: g.retryAfter(why, w)}
}

// grant assigns the free slots to waiting requests.
func (g *Gate[T, Q]) grant(now time.Time) []Decision[T] {
	var out []Decision[T]
	for len(g.running) < g.OpenSlots(now) {
		w := g.Queue.Next(!g.mayStart(now, true))
		if w == nil {
			break
		}
		delete(g.waiting, w.Item)
		g.Queue.Started(w)
		g.Queue.Remove(w)
		g.running[w.Item] = w
		w.started = now
		if !w.Long {
			w.element = g.runningShort.PushBack(w)
			g.runningShortWork += w.Expected
		}
		out = append(out, Decision[T]{Item: w.Item, Granted: true})
	}
	return out
}

// removeRunningShort removes w from runningShort, if it is listed there.
func (g *Gate[T, Q]) removeRunningShort(w *Waiter[T]) {
	if w.element != nil {
		g.runningShort.Remove(w.element)
		w.element = nil
		g.runningShortWork -= w.Expected
	}
}

// longFactor is the run time of a long request in multiples of the usual run
// time. Of exponentially distributed run times, 3 in 10,000 exceed it.
const longFactor = 8

// LongBound returns the run time from which a request counts as long, for a given
// usual run time.
func LongBound(usual time.Duration) time.Duration { return longFactor * usual }
