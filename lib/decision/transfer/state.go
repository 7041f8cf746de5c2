package transfer

import (
	"errors"
	"fmt"
)

// State is the state of an exchange as one side knows it.
type State uint8

// States of an exchange.
const (
	// Offered means that the head was sent and nothing is decided.
	Offered State = iota
	// Granted means that a slot is reserved and no part of the body was sent.
	Granted
	// Sending means that some parts of the body were sent, but not the last one.
	Sending
	// Sent means that the last part was sent. The request may run.
	Sent
	// Answered means that the outcome of the run is known.
	Answered
	// Void means that the request did not run in this exchange and never will.
	Void
	// Unknown means that the other side was lost after the last part was sent, so
	// that the request may have run.
	Unknown
)

var stateNames = [...]string{"offered", "granted", "sending", "sent", "answered", "void", "unknown"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Final reports whether the exchange has ended.
func (s State) Final() bool { return s >= Answered }

// MayRun reports whether the request may run or may have run.
func (s State) MayRun() bool { return s == Sent || s == Answered || s == Unknown }

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindUnexpected means that a message does not fit the state of the exchange.
	KindUnexpected Kind = "unexpected message"
	// KindSize means that the parts do not have the size that the head states.
	KindSize Kind = "wrong size"
)

// Error is the error of package transfer.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// State is the state in which the operation failed.
	State State
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("transfer: %s: %s when %v", e.Op, e.Kind, e.State) }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
