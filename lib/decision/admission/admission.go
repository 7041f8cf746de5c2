package admission

import (
	"slices"
	"time"
)

const (
	// initialRunTime is the expected run time of a route without observations.
	initialRunTime = 150 * time.Millisecond
	// learningRate is the weight of a new observation in the moving average of
	// the run times.
	learningRate = 0.1
	// minObservations is the number of observations from which the expected run
	// time counts as learned. By then observations make up about two thirds of
	// it, and initialRunTime the rest.
	minObservations = 10
	// maxOutlierFactor limits an observed run time to this multiple of the
	// expected one, as stragglers run many times longer than other requests.
	maxOutlierFactor = 4
	// minStartShare is the share of the expected run time that must be left
	// before the deadline for a request to start. Run times vary by about their
	// mean, so half of the mean is often still enough.
	minStartShare = 0.4
	// onTimeShare is the share of the expected run time that must be left
	// before the target for a request to count as on time. A queue that starts
	// requests with less time to spare finishes most of them late.
	onTimeShare = 1.0
)

// Reason is the reason for which a request is refused.
type Reason string

// Reasons for refusing a request.
const (
	// ReasonFull means that the request would wait too long.
	ReasonFull Reason = "full"
	// ReasonExpired means that too little time is left before the deadline.
	ReasonExpired Reason = "expired"
	// ReasonDoubtful means that the instance probably fails requests at present.
	ReasonDoubtful Reason = "doubtful"
	// ReasonLeaving means that the instance takes no new requests, as it is about
	// to stop.
	ReasonLeaving Reason = "leaving"
)

// Request holds the properties of a request that the decisions depend on.
type Request struct {
	Route    string
	Priority int
	// An answer after Target is of less use to the caller, and one after
	// Deadline of none.
	Target, Deadline time.Time
	// MaxWait is the longest expected wait with which the request is queued.
	MaxWait time.Duration
	// BodyBytes is the size of the request's body.
	BodyBytes int64
}

// Entry is a waiting request with the value that the caller passed to Offer.
type Entry[T any] struct {
	Request
	Value T
	// ArrivedAt is when the request was offered.
	ArrivedAt time.Time
}

// Queue holds the running and waiting requests of one instance. It is not safe
// for concurrent use.
type Queue[T comparable] struct {
	// Slots is the number of requests that may run concurrently.
	Slots int
	// MaxBodyBytes bounds the bytes of the bodies that the instance has at one time. A
	// request whose body does not fit waits like one without a slot. Zero means no
	// bound.
	MaxBodyBytes int64

	running int
	// bodyBytes is the number of bytes of the running requests that count towards
	// MaxBodyBytes.
	bodyBytes int64
	waiting   []Entry[T]
	runTimes  map[string]time.Duration
	// observations is the number of observed run times of each route.
	observations map[string]int
}

// Running returns the number of running requests.
func (q *Queue[T]) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue[T]) Waiting() int { return len(q.waiting) }

// ExpectedRunTime returns the expected run time of a request of the route.
func (q *Queue[T]) ExpectedRunTime(route string) time.Duration {
	if w, ok := q.runTimes[route]; ok {
		return w
	}
	return initialRunTime
}

// LearnedRunTime returns the expected run time of a request of the route, or
// zero while there are too few observations to tell an unusually long run from
// a usual one.
func (q *Queue[T]) LearnedRunTime(route string) time.Duration {
	if q.observations[route] < minObservations {
		return 0
	}
	return q.runTimes[route]
}

// Offer decides on a new request. The request starts at once if start is true;
// otherwise it waits if reason is empty, and is refused if it is not.
func (q *Queue[T]) Offer(now time.Time, r Request, v T) (start bool, reason Reason) {
	if q.running < q.Slots && q.fits(r) && (len(q.waiting) == 0 || q.passes(now, r)) {
		if !q.canStart(now, r) {
			return false, ReasonExpired
		}
		q.running++
		q.bodyBytes += countedBytes(r.BodyBytes)
		return true, ""
	}
	wait := q.expectedWait(now, r)
	if wait > r.MaxWait || now.Add(wait).Add(q.minRunTime(r)).After(r.Deadline) {
		return false, ReasonFull
	}
	q.waiting = append(q.waiting, Entry[T]{Request: r, Value: v, ArrivedAt: now})
	return false, ""
}

// expectedWait returns how long a new request is expected to wait: the expected
// run times of the requests that run or wait ahead of it, divided by the number
// of slots.
func (q *Queue[T]) expectedWait(now time.Time, r Request) time.Duration {
	var ahead time.Duration
	for _, e := range q.waiting {
		if q.runsBefore(now, e.Request, r) {
			ahead += q.ExpectedRunTime(e.Route)
		}
	}
	// Running requests are half done on average.
	ahead += time.Duration(q.running) * q.MeanRunTime() / 2
	return ahead / time.Duration(max(q.Slots, 1))
}

// MeanRunTime returns the mean of the expected run times of the observed
// routes, or a default without observations.
func (q *Queue[T]) MeanRunTime() time.Duration {
	if len(q.runTimes) == 0 {
		return initialRunTime
	}
	var sum time.Duration
	for _, w := range q.runTimes {
		sum += w
	}
	return sum / time.Duration(len(q.runTimes))
}

// minRunTime returns the time that must be left before the deadline of r for it
// to start.
func (q *Queue[T]) minRunTime(r Request) time.Duration {
	return time.Duration(minStartShare * float64(q.ExpectedRunTime(r.Route)))
}

// canStart reports whether enough time is left to start r.
func (q *Queue[T]) canStart(now time.Time, r Request) bool {
	return now.Add(q.minRunTime(r)).Before(r.Deadline)
}

// runsBefore reports whether a is started before b: requests that are on time
// come first, then those of the more urgent priority, then those with the
// earlier target.
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

// onTime reports whether r, started now, is expected to finish before its target.
func (q *Queue[T]) onTime(now time.Time, r Request) bool {
	return now.Add(time.Duration(onTimeShare * float64(q.ExpectedRunTime(r.Route)))).Before(r.Target)
}

// Next removes and returns as expired the waiting requests that can no longer
// be served before their deadline. If a slot is free, it then starts the first
// of the remaining requests and reports so in started.
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
	best := q.first(now, anyRequest)
	if !q.fits(q.waiting[best].Request) {
		// Only small bodies pass a body that does not fit, so that it gets the room
		// that others leave.
		best = q.first(now, isSmall)
	}
	if best < 0 {
		return next, false, expired
	}
	next = q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)
	q.running++
	q.bodyBytes += countedBytes(next.BodyBytes)
	return next, true, expired
}

// first returns the index of the first of the waiting requests that may start, or -1
// if there is none.
func (q *Queue[T]) first(now time.Time, mayStart func(Request) bool) int {
	best := -1
	for i := range q.waiting {
		if mayStart(q.waiting[i].Request) && (best < 0 || q.runsBefore(now, q.waiting[i].Request, q.waiting[best].Request)) {
			best = i
		}
	}
	return best
}

// Finish frees the slot of a request that ran for the time ran. A time of zero
// or less is not counted as an observation.
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

// Withdraw removes a waiting request and reports whether it was waiting.
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
