package handoff

import (
	"time"

	"cassiarack.example/lib/service/router"
)

// timing holds the expected and the measured times of an attempt.
type timing struct {
	// expected is the expected run time of the route, zero if unknown.
	expected time.Duration
	// maxWait is the longest allowed wait in the gate's queue.
	maxWait time.Duration

	// started is closed when the gate has granted a slot and the sending of the
	// body has begun.
	started   chan struct{}
	grantedAt time.Time
	// runTime is the time for which the work held its slot, as the gate reported.
	runTime time.Duration
	// complete is set when the whole answer has arrived.
	complete bool
}

// markStarted records that the gate granted a slot. It must be called after
// sendBody, because the hedge reads senderDone as soon as started is closed.
func (a *attempt) markStarted() {
	a.grantedAt = time.Now()
	close(a.started)
}

// report returns the report of the attempt to the router. If the answer is not
// complete, the run time is only a lower bound.
func (a *attempt) report() router.Report {
	r := router.Report{Instance: a.inst.Name, Load: a.load, Route: a.route.Name(a.req.Method), RunTime: a.runTime,
		EndedEarly: !a.complete}
	if r.RunTime == 0 && !a.grantedAt.IsZero() {
		r.RunTime = time.Since(a.grantedAt)
	}
	return r
}
