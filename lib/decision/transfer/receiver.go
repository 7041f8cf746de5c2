package transfer

import "time"

// Limits bounds how long a receiver waits for the parts of a body.
type Limits struct {
	// First is the longest time from the grant to the first part.
	First time.Duration
	// Between is the longest time between two parts.
	Between time.Duration
}

// DefaultLimits are the limits between sidecars. A slot that waits for a body serves
// nobody else, and a sender that has begun may be held up by a narrow link.
var DefaultLimits = Limits{First: time.Second, Between: 2 * time.Second}

// Receiver is the state of an exchange on the side of the instance. It is not safe
// for concurrent use.
type Receiver struct {
	limits Limits
	state  State
	// left is the number of bytes of the body that have not arrived.
	left int64
	// until is when the grant becomes void unless another part arrives.
	until time.Time
	begun bool
}

// NewReceiver returns the state after the head of a request with a body of size
// bytes arrived.
func NewReceiver(size int64, l Limits) (*Receiver, error) {
	if size <= 0 {
		return nil, &Error{Op: "take head", Kind: KindSize}
	}
	return &Receiver{limits: l, left: size}, nil
}

// State returns the state.
func (r *Receiver) State() State { return r.state }

// Grant records at now that a slot is reserved.
func (r *Receiver) Grant(now time.Time) error {
	if r.state != Offered {
		return &Error{Op: "grant", Kind: KindUnexpected, State: r.state}
	}
	r.state, r.until = Granted, now.Add(r.limits.First)
	return nil
}

// Until returns when the grant becomes void unless another part arrives. It is zero
// while no part is expected.
func (r *Receiver) Until() time.Time {
	if r.state != Granted && r.state != Sending {
		return time.Time{}
	}
	return r.until
}

// Expire makes the grant void if its time has passed at now, and reports whether it
// did so.
func (r *Receiver) Expire(now time.Time) bool {
	if until := r.Until(); until.IsZero() || now.Before(until) {
		return false
	}
	r.state = Void
	return true
}

// Part records that a part of n bytes arrived at now. After an error the exchange is
// void.
func (r *Receiver) Part(now time.Time, n int64) error {
	if r.state != Granted && r.state != Sending {
		err := &Error{Op: "take part", Kind: KindUnexpected, State: r.state}
		r.End()
		return err
	}
	if r.Expire(now) {
		return &Error{Op: "take part", Kind: KindUnexpected, State: r.state}
	}
	if n <= 0 || n > r.left {
		err := &Error{Op: "take part", Kind: KindSize, State: r.state}
		r.state = Void
		return err
	}
	r.left -= n
	r.state, r.until = Sending, now.Add(r.limits.Between)
	if r.left == 0 {
		r.state = Sent
	}
	return nil
}

// Begin reports whether the request is to be run now. It is true once, when the
// body is complete.
func (r *Receiver) Begin() bool {
	if r.state != Sent || r.begun {
		return false
	}
	r.begun = true
	return true
}

// Finish records that the outcome of the run is known, or that the request did not
// run although its body was complete.
func (r *Receiver) Finish(ran bool) error {
	if r.state != Sent {
		return &Error{Op: "finish", Kind: KindUnexpected, State: r.state}
	}
	r.state = Void
	if ran {
		r.state = Answered
	}
	return nil
}

// End records that the sender or the connection was lost. A request that has begun
// to run may have run; any other one never will.
func (r *Receiver) End() {
	switch {
	case r.state.Final():
	case r.begun:
		r.state = Unknown
	default:
		r.state = Void
	}
}
