package gate

import (
	"net/http"
	"time"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/request"
	"cassiarack.example/lib/wire"
)

// callObservation reports one call of a backend server to the observer. The
// observation ends with the head of the answer, so that a caller who reads slowly
// does not count against the server.
type callObservation struct {
	s       *Service
	inst    *config.Instance
	route   string
	id      uint64
	started time.Time
	done    bool
}

// startObservation starts the observation of a call to an instance.
func (x *exchange) startObservation(inst *config.Instance, id uint64) *callObservation {
	o := &callObservation{s: x.s, inst: inst, route: x.reserve.GetRoute(), id: id, started: time.Now()}
	o.observe(o.started, health.Started)
	return o
}

func (o *callObservation) observe(now time.Time, k health.Kind) {
	o.s.observer.Observe(now, health.Observation{Service: o.inst.Service.Name, Instance: o.inst.Name, VM: o.inst.VM.Name,
		Route: o.route, Source: health.SourceGate, Kind: k, ID: o.id, Time: now.Sub(o.started)})
}

// answered ends the observation with the status of an answer. A status of 500 or
// more counts as a failure.
func (o *callObservation) answered(status int) {
	if o.done {
		return
	}
	o.done = true
	k := health.Answered
	if status >= http.StatusInternalServerError {
		k = health.Failed
	}
	o.observe(time.Now(), k)
}

// ended ends the observation of a call that got no answer. The call counts as
// failed if the backend server was lost or unreachable, and otherwise as aborted.
// ended does nothing after answered.
func (o *callObservation) ended(last *wire.Down) {
	if o.done {
		return
	}
	o.done = true
	k := health.Aborted
	if f := last.GetFailed(); f != nil {
		switch wire.FromReason(f.GetReason()) {
		case request.ReasonBackendLost, request.ReasonBackendConnect:
			k = health.Failed
		}
	}
	o.observe(time.Now(), k)
}
