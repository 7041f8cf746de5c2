// Package answer checks the heads of HTTP/1.1 answers. The parser of net/http accepts
// some heads that HTTP does not allow.
package answer

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindStatus means that no final answer may have the status.
	KindStatus Kind = "invalid status"
	// KindMalformed means that a line of the head is not allowed.
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
