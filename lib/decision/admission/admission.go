package admission

import (
	"slices"
	"time"
)

const (
	// initialRunTime is the expected run time of a route without observations.
	initialRunTime = 150 * time.Millisecond
	// learningRate is the weight of a new observation of a run time.
	learningRate = 0.1
	// minObservations is the number of observations after which two thirds of an
	// expectation come from them.
	minObservations = 10
	// maxOutlierFactor bounds an observation relative to the expectation, as stragglers
	// run many times longer than the rest.
	maxOutlierFactor = 4
	// minStartShare of the expected run time must be left for a request to start.
	// Run times vary by about their mean, so half of it still often suffices.
	minStartShare = 0.4
	// onTimeShare of the expected run time must be left before the target for a
	// request to count as on time. A queue that starts requests with less time to
	// spare finishes most of them late.
	onTimeShare = 1.0
)

// Reason says why a request is refused.
type Reason string

// Reasons of refusals.
const (
	ReasonFull     Reason = "full"
	ReasonExpired  Reason = "expired"
	ReasonDoubtful Reason = "doubtful"
	ReasonLeaving  Reason = "leaving"
)

// Request is what the decisions need to know of a request.
type Request struct {
	Route    string
	Priority int
	// Target is when an answer loses a part of its use, Deadline when it is
	// useless.
	Target, Deadline time.Time
	// MaxWait bounds the expected wait.
	MaxWait time.Duration
}

// Entry is a request that waits, with the value that the caller gave.
type Entry[T any] struct {
	Request
	Value T
	// ArrivedAt is when the request arrived.
	ArrivedAt time.Time
}

// Queue holds the requests of one instance. It is used by one goroutine.
type Queue[T comparable] struct {
	// Slots is the number of requests that may run.
	Slots int

	running  int
	waiting  []Entry[T]
	runTimes map[string]time.Duration
	// observations counts the observed run times of each route.
	observations map[string]int
}

// Running and Waiting return the number of requests in each state.
func (q *Queue[T]) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue[T]) Waiting() int { return len(q.waiting) }

// ExpectedRunTime returns the expected run time of a route.
func (q *Queue[T]) ExpectedRunTime(route string) time.Duration {
	if w, ok := q.runTimes[route]; ok {
		return w
	}
	return initialRunTime
}

// LearnedRunTime returns the expected run time of a route, or zero while too few runs
// were observed to tell a long one from a usual one.
func (q *Queue[T]) LearnedRunTime(route string) time.Duration {
	if q.observations[route] < minObservations {
		return 0
	}
	return q.runTimes[route]
}

// Offer decides on a new request: it runs at once (start), waits, or is refused
// with a reason.
func (q *Queue[T]) Offer(now time.Time, r Request, v T) (start bool, reason Reason) {
	if q.running < q.Slots && len(q.waiting) == 0 {
		if !q.canStart(now, r) {
			return false, ReasonExpired
		}
		q.running++
		return true, ""
	}
	wait := q.expectedWait(now, r)
	if wait > r.MaxWait || now.Add(wait).Add(q.minRunTime(r)).After(r.Deadline) {
		return false, ReasonFull
	}
	q.waiting = append(q.waiting, Entry[T]{Request: r, Value: v, ArrivedAt: now})
	return false, ""
}

// expectedWait returns the expected wait of a request: the work that runs and waits
// before it, shared by the slots.
func (q *Queue[T]) expectedWait(now time.Time, r Request) time.Duration {
	var ahead time.Duration
	for _, e := range q.waiting {
		if q.runsBefore(now, e.Request, r) {
			ahead += q.ExpectedRunTime(e.Route)
		}
	}
	// Running requests are half done on average.
	ahead += time.Duration(q.running) * q.meanRunTime() / 2
	return ahead / time.Duration(max(q.Slots, 1))
}

// meanRunTime returns the mean expected run time of the known routes.
func (q *Queue[T]) meanRunTime() time.Duration {
	if len(q.runTimes) == 0 {
		return initialRunTime
	}
	var sum time.Duration
	for _, w := range q.runTimes {
		sum += w
	}
	return sum / time.Duration(len(q.runTimes))
}

func (q *Queue[T]) minRunTime(r Request) time.Duration {
	return time.Duration(minStartShare * float64(q.ExpectedRunTime(r.Route)))
}

func (q *Queue[T]) canStart(now time.Time, r Request) bool {
	return now.Add(q.minRunTime(r)).Before(r.Deadline)
}

// runsBefore reports whether a runs before b.
func (q *Queue[T]) runsBefore(now time.Time, a, b Request) bool {
	onTimeA, onTimeB := q.onTime(now, a), q.onTime(now, b)
	if onTimeA != onTimeB {
		return onTimeA
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Target.Before(b.Target)
}

func (q *Queue[T]) onTime(now time.Time, r Request) bool {
	return now.Add(time.Duration(onTimeShare * float64(q.ExpectedRunTime(r.Route)))).Before(r.Target)
}

// Next starts the waiting request that comes first, if a slot is free, and
// returns those that can no longer be served.
func (q *Queue[T]) Next(now time.Time) (next Entry[T], started bool, expired []Entry[T]) {
	q.waiting = slices.DeleteFunc(q.waiting, func(e Entry[T]) bool {
		late := !q.canStart(now, e.Request)
		if late {
			expired = append(expired, e)
		}
		return late
	})
	if q.running >= q.Slots || len(q.waiting) == 0 {
		return next, false, expired
	}
	best := 0
	for i := range q.waiting {
		if q.runsBefore(now, q.waiting[i].Request, q.waiting[best].Request) {
			best = i
		}
	}
	next = q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)
	q.running++
	return next, true, expired
}

// Finish returns the slot of a request. A run time of zero is no observation.
func (q *Queue[T]) Finish(route string, ran time.Duration) {
	q.running--
	if ran <= 0 {
		return
	}
	old := q.ExpectedRunTime(route)
	ran = min(ran, maxOutlierFactor*old)
	if q.runTimes == nil {
		q.runTimes, q.observations = make(map[string]time.Duration), make(map[string]int)
	}
	q.observations[route]++
	q.runTimes[route] = old + time.Duration(learningRate*float64(ran-old))
}

// Withdraw removes a waiting request and reports whether it waited.
func (q *Queue[T]) Withdraw(v T) bool {
	for i := range q.waiting {
		if q.waiting[i].Value == v {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			return true
		}
	}
	return false
}

// Clear removes and returns all waiting requests.
func (q *Queue[T]) Clear() []Entry[T] {
	all := q.waiting
	q.waiting = nil
	return all
}
