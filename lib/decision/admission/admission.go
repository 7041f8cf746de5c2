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
	// ReasonDisplaced means that requests which came later go before this one, so that
	// it would wait too long. Another instance may have room.
	ReasonDisplaced Reason = "displaced"
	// ReasonCalls means that the run would be a repeat, and that the budget for repeats of
	// a service that it calls has no room for its calls.
	ReasonCalls Reason = "calls"
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
	// Organisation is the organisation that the request belongs to, and
	// OrganisationPriority its rank.
	Organisation         string
	OrganisationPriority int
	// Nested is set for requests that belong to no organisation although others do.
	// Most are calls of instances, part of a run that has begun. They share the slots
	// as one further organisation.
	Nested bool
	// Again is set if other instances refused the request in a first round of offers,
	// in which it was counted as demand.
	Again bool

	// BodyBytes is the size of the request's body.
	BodyBytes int64

	// promoted is set if far fewer requests of this organisation or kind were admitted
	// recently than of all. light is set if the organisation used little of the slots.
	promoted, light bool
}

// Entry is a waiting request with the value that the caller passed to Offer.
type Entry[T any] struct {
	Request
	Value T
	// ArrivedAt is when the request was offered.
	ArrivedAt time.Time

	// overtaken is set once a later request of another organisation went before.
	overtaken bool
}

// run is a running request.
type run struct {
	Request
	startedAt time.Time
	expected  time.Duration
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

	running map[T]run
	// bodyBytes is the number of bytes of the running requests that count towards
	// MaxBodyBytes.
	bodyBytes int64
	waiting   []Entry[T]
	shares    shares
	runTimes  map[string]time.Duration
	// observations is the number of observed run times of each route.
	observations map[string]int
}

// Running returns the number of running requests.
func (q *Queue[T]) Running() int { return len(q.running) }

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
	q.shares.request(now, &r)
	if len(q.running) < q.Slots && q.fits(r) && (len(q.waiting) == 0 || q.passes(now, r)) {
		if !q.canStart(now, r) {
			return false, ReasonExpired
		}
		q.shares.admit(now, r)
		q.start(now, r, v)
		return true, ""
	}
	if q.waitsTooLong(now, r) {
		return false, ReasonFull
	}
	q.shares.admit(now, r)
	q.markOvertaken(now, r)
	q.waiting = append(q.waiting, Entry[T]{Request: r, Value: v, ArrivedAt: now})
	return false, ""
}

// start gives a slot to a request.
func (q *Queue[T]) start(now time.Time, r Request, v T) {
	if q.running == nil {
		q.running = make(map[T]run)
	}
	expected := q.ExpectedRunTime(r.Route)
	q.running[v] = run{Request: r, startedAt: now, expected: expected}
	q.bodyBytes += countedBytes(r.BodyBytes)
	q.shares.begin(now, r, expected)
}

// waitsTooLong reports whether the expected wait of r exceeds MaxWait or leaves too
// little time before the deadline. The expected wait is the run times of the requests
// that run or wait ahead of it, divided by the number of slots.
func (q *Queue[T]) waitsTooLong(now time.Time, r Request) bool {
	slots := time.Duration(max(q.Slots, 1))
	allowed := min(r.MaxWait, r.Deadline.Sub(now)-q.minRunTime(r))
	// Running requests are half done on average.
	ahead := time.Duration(len(q.running)) * q.MeanRunTime() / 2
	if ahead/slots > allowed {
		return true
	}
	p := q.position(now, r)
	for i := range q.waiting {
		if e := &q.waiting[i]; q.position(now, e.Request).before(p) {
			ahead += q.ExpectedRunTime(e.Route)
		}
	}
	return ahead/slots > allowed
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

// position is the place of a request in the order of starts at one time.
type position struct {
	onTime, nested, promoted bool
	organisationPriority     int
	priority                 int
	recentUse                time.Duration
	target                   time.Time
}

// position returns the place of r in the order of starts.
func (q *Queue[T]) position(now time.Time, r Request) position {
	return position{onTime: q.onTime(now, r), nested: r.Nested, promoted: r.promoted,
		organisationPriority: r.OrganisationPriority, priority: r.Priority, recentUse: q.shares.recent(now, r), target: r.Target}
}

// before reports whether a request at a is started before one at b: requests that are
// on time come first, then promoted ones, nested ones, those of the more urgent
// organisation, of the more urgent route, of the organisation that used less of the
// slots, and last those with the earlier target.
func (a position) before(b position) bool {
	switch {
	case a.onTime != b.onTime:
		return a.onTime
	case a.promoted != b.promoted:
		return a.promoted
	case a.nested != b.nested:
		return a.nested
	case a.organisationPriority != b.organisationPriority:
		return a.organisationPriority < b.organisationPriority
	case a.priority != b.priority:
		return a.priority < b.priority
	case a.recentUse != b.recentUse:
		return a.recentUse < b.recentUse
	}
	return a.target.Before(b.target)
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
			q.shares.remove(now, e.Request)
		}
		return late
	})
	if len(q.running) >= q.Slots || len(q.waiting) == 0 {
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
	q.start(now, next.Request, next.Value)
	return next, true, expired
}

// first returns the index of the first of the waiting requests that may start, or -1
// if there is none.
func (q *Queue[T]) first(now time.Time, mayStart func(Request) bool) int {
	best := -1
	var first position
	for i := range q.waiting {
		if !mayStart(q.waiting[i].Request) {
			continue
		}
		if p := q.position(now, q.waiting[i].Request); best < 0 || p.before(first) {
			best, first = i, p
		}
	}
	return best
}

// Finish frees the slot of a request whose answer took the time ran. A time of
// zero or less is not counted as an observation.
func (q *Queue[T]) Finish(now time.Time, v T, ran time.Duration) {
	r, ok := q.running[v]
	if !ok {
		return
	}
	delete(q.running, v)
	q.bodyBytes -= countedBytes(r.BodyBytes)
	q.shares.end(now, r)
	if ran <= 0 {
		return
	}
	old := q.ExpectedRunTime(r.Route)
	ran = min(ran, maxOutlierFactor*old)
	if q.runTimes == nil {
		q.runTimes, q.observations = make(map[string]time.Duration), make(map[string]int)
	}
	q.observations[r.Route]++
	q.runTimes[r.Route] = old + time.Duration(learningRate*float64(ran-old))
}

// Withdraw removes a waiting request and reports whether it was waiting.
func (q *Queue[T]) Withdraw(now time.Time, v T) bool {
	for i := range q.waiting {
		if q.waiting[i].Value == v {
			q.shares.remove(now, q.waiting[i].Request)
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
