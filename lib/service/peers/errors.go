package peers

import "fmt"

// Kind is the class of an Error.
type Kind string

// KindEncode means that the message of a call cannot be encoded.
const KindEncode Kind = "message cannot be encoded"

// ErrEncode matches errors of kind KindEncode in errors.Is.
var ErrEncode = &Error{Kind: KindEncode}

// Error is the error of package peers.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("peers: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether target is an Error of the same kind.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Kind == e.Kind
}
