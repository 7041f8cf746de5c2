// Package calls estimates how many requests the runs of an instance send to other
// services. A call that a repeated run makes is a repeat at the service that it calls,
// so the budget for repeats there has to allow it before the run begins.
package calls

import (
	"iter"
	"maps"
	"slices"
	"time"
)

const (
	// minRuns is the number of runs from which the estimate is used.
	minRuns = 3
	// maxRuns is the number of runs at which all counts are halved, so that the estimate
	// follows changes.
	maxRuns = 256
	// minIdle is added to the time without runs. A single request in a short idle time
	// does not indicate a high rate.
	minIdle = time.Second
	// minPerRun is the smallest estimate that is distinguished from variations in the
	// rate of clients' requests.
	minPerRun = 0.2
)

// Estimator estimates the number of requests that a run of an instance sends to each
// other service. Clients on the VM of the instance send requests to the same services
// and cannot be told from the instance. Requests that arrive while nothing runs are
// from clients; their rate is subtracted. Requests that clients send to a service
// without a break in the runs are counted as calls. The zero value is ready to use. An
// Estimator is not safe for concurrent use.
type Estimator struct {
	running int
	// updatedAt is the end of the times idle and busy, without and with runs.
	updatedAt  time.Time
	idle, busy time.Duration
	runs       float64
	services   map[string]*requests
}

// requests counts the requests to a service that arrived without and with runs.
type requests struct{ idle, busy float64 }

// Start records that a run begins.
func (e *Estimator) Start(now time.Time) {
	e.advance(now)
	e.running++
}

// End records that a run ended. Executed is false if the instance refused it.
func (e *Estimator) End(now time.Time, executed bool) {
	e.advance(now)
	e.running--
	if !executed {
		return
	}
	if e.runs++; e.runs >= maxRuns {
		e.halve()
	}
}

// Request records a request to another service, from the instance or from a client.
func (e *Estimator) Request(now time.Time, service string) {
	e.advance(now)
	if e.services == nil {
		e.services = make(map[string]*requests)
	}
	r := e.services[service]
	if r == nil {
		r = &requests{}
		e.services[service] = r
	}
	if e.running > 0 {
		r.busy++
	} else {
		r.idle++
	}
}

// PerRun returns the services that runs call, in order, with the mean number of calls of
// a run. It returns none before minRuns runs.
func (e *Estimator) PerRun(now time.Time) iter.Seq2[string, float64] {
	e.advance(now)
	return func(yield func(string, float64) bool) {
		if e.runs < minRuns {
			return
		}
		for _, service := range slices.Sorted(maps.Keys(e.services)) {
			r := e.services[service]
			clients := r.idle * float64(e.busy) / float64(e.idle+minIdle)
			if n := (r.busy - clients) / e.runs; n >= minPerRun && !yield(service, n) {
				return
			}
		}
	}
}

// advance adds the time since the last event.
func (e *Estimator) advance(now time.Time) {
	if passed := now.Sub(e.updatedAt); !e.updatedAt.IsZero() && passed > 0 {
		if e.running > 0 {
			e.busy += passed
		} else {
			e.idle += passed
		}
	}
	e.updatedAt = now
}

// halve halves all counts, and drops the services with less than one request.
func (e *Estimator) halve() {
	e.runs, e.idle, e.busy = e.runs/2, e.idle/2, e.busy/2
	for service, r := range e.services {
		r.idle, r.busy = r.idle/2, r.busy/2
		if r.idle+r.busy < 1 {
			delete(e.services, service)
		}
	}
}
