package transfer

import (
	"errors"
	"fmt"
	"strings"

	"cassiarack.example/lib/service/peers"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that the exchange ended before the last part of the body was
	// sent, so that the request did not run and never will.
	KindNotSent Kind = "not sent"
	// KindLost means that no complete reply arrived to a request that was sent.
	KindLost Kind = "no reply"
)

// Error is the error of package transfer.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Granted is set if the gate had reserved a slot, which shows that it was
	// reachable.
	Granted bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("transfer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether err means that the request did not run and never will.
func NotSent(err error) bool {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind == KindNotSent
	}
	return peers.NotSent(err)
}

// Reached reports whether the gate had replied before err occurred.
func Reached(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Granted
}

// isUnknownCall reports whether the other sidecar has no exchanges. The text is that
// of drpc, which has no code for it.
func isUnknownCall(err error) bool {
	return err != nil && !Reached(err) && NotSent(err) && strings.Contains(err.Error(), "unknown rpc")
}

var (
	errProtocol   = errors.New("message does not fit the exchange")
	errAnswerSize = errors.New("size of the answer's body is invalid")
)
