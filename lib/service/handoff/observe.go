package handoff

import (
	"encoding/binary"
	"net/http"
	"time"

	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/request"
	"cassiarack.example/lib/wire"
)

// observe passes an observation about the instance to the observer.
func (a *attempt) observe(now time.Time, k health.Kind) {
	a.s.observer.Observe(now, health.Observation{Service: a.inst.Service.Name, Instance: a.inst.Name, VM: a.inst.VM.Name,
		Route: a.route.Name(a.req.Method), Source: health.SourceEntry, Kind: k, ID: binary.LittleEndian.Uint64(a.id[:]),
		Time: now.Sub(a.reservedAt)})
}

// observeReserved records whether the gate replied to the reservation. It records
// nothing if the attempt's context has ended, because a caller that went away
// says nothing about the gate.
func (a *attempt) observeReserved(err error) {
	now := time.Now()
	switch {
	case a.ctx.Err() != nil:
	case err != nil:
		a.observe(now, health.NoReply)
	default:
		a.reservedAt = now
		a.observe(now, health.Started)
	}
}

// observeRefused ends the observation of a reservation that the gate refused: the
// gate replied, and the backend server was not involved.
func (a *attempt) observeRefused() { a.observe(time.Now(), health.Aborted) }

// observeHead records the result of an attempt from the first message after the
// grant, or that none arrived.
func (a *attempt) observeHead(down *wire.Down, err error) {
	now := time.Now()
	switch {
	case a.ctx.Err() != nil:
		a.observe(now, health.Aborted)
	case err != nil:
		a.observe(now, health.NoReply)
	case down.GetHead() != nil && down.GetHead().GetStatus() < http.StatusInternalServerError:
		a.observe(now, health.Answered)
	case down.GetHead() != nil, serverFailed(down.GetFailed()):
		a.observe(now, health.Failed)
	default:
		a.observe(now, health.Aborted)
	}
}

// serverFailed reports whether the failure is one of the backend server.
func serverFailed(f *wire.Failed) bool {
	r := wire.FromReason(f.GetReason())
	return f != nil && (r == request.ReasonBackendLost || r == request.ReasonBackendConnect)
}
