package handoff

import (
	"time"

	"cassiarack.example/lib/service/router"
)

// timing is what an attempt knows about times.
type timing struct {
	// expected is the expected run time of the route, zero if unknown.
	expected time.Duration
	// maxWait is the longest wait in the gate's queue.
	maxWait time.Duration

	// started is closed when the gate gave the attempt a slot and the sending of
	// the body began.
	started   chan struct{}
	grantedAt time.Time
	// runTime is the time for which the work held its slot, as the gate told.
	runTime time.Duration
	// complete is set when the answer came to its end.
	complete bool
}

// markStarted notes that the gate gave the attempt a slot. It follows sendBody, so
// that the hedge sees the sender.
func (a *attempt) markStarted() {
	a.grantedAt = time.Now()
	close(a.started)
}

// report tells the router about the attempt. Work that did not end by itself
// gives only a lower bound of its run time.
func (a *attempt) report() router.Report {
	r := router.Report{Instance: a.inst.Name, Load: a.load, Route: a.route.Name(a.req.Method), RunTime: a.runTime,
		EndedEarly: !a.complete}
	if r.RunTime == 0 && !a.grantedAt.IsZero() {
		r.RunTime = time.Since(a.grantedAt)
	}
	return r
}
