// Package answer checks the heads of HTTP/1.1 answers. The parser of net/http accepts
// some heads that HTTP does not allow.
package answer

import (
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindStatus means that no final answer may have the status.
	KindStatus Kind = "invalid status"
	// KindMalformed means that a line of the head, or a part of it, is not allowed.
	KindMalformed Kind = "malformed head"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, such as "check status".
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("answer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Final answers have a status from minFinalStatus to maxStatus (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxStatus      = 599
)

// CheckStatus returns an error of KindStatus unless a final answer may have the status.
func CheckStatus(status int) error {
	if status < minFinalStatus || status > maxStatus {
		return &Error{Op: "check status", Kind: KindStatus, Err: fmt.Errorf("%03d is outside %d to %d", status, minFinalStatus, maxStatus)}
	}
	return nil
}

// CheckName returns an error of KindMalformed unless a field may have the name.
func CheckName(name string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return &Error{Op: "check name", Kind: KindMalformed, Err: fmt.Errorf("%w: %q", errName, name)}
	}
	return nil
}
