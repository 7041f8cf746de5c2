package handoff

import (
	"time"

	"cassiarack.example/lib/service/router"
)

// pacing is what an attempt knows about times.
type pacing struct {
	// expected is the expected run time of the route, zero if unknown.
	expected time.Duration
	// patience is the longest wait in the gate's queue.
	patience time.Duration

	// begun is closed when the gate gave the attempt a slot and the sending of
	// the body began.
	begun   chan struct{}
	granted time.Time
	// ran is the time for which the work held its slot, as the gate told.
	ran time.Duration
	// whole is set when the answer came to its end.
	whole bool
}

// start notes that the gate gave the attempt a slot. It follows sendBody, so
// that the hedge sees the sender.
func (a *attempt) start() {
	a.granted = time.Now()
	close(a.begun)
}

// report tells the router about the attempt. Work that did not end by itself
// gives only a lower bound of its run time.
func (a *attempt) report() router.Report {
	r := router.Report{Instance: a.inst.Name, Load: a.load, Route: a.route.Name(a.req.Method), Ran: a.ran,
		Cut: !a.whole}
	if r.Ran == 0 && !a.granted.IsZero() {
		r.Ran = time.Since(a.granted)
	}
	return r
}
