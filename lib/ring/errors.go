package ring

import "fmt"

// Kind is the class of an Error.
type Kind string

// Kinds of errors.
const (
	KindFull    Kind = "ring full"
	KindClosed  Kind = "ring closed"
	KindContext Kind = "wait ended"
)

// Error is the type of the errors that package ring returns.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the failure.
	Kind Kind
	// Err is the cause, which may be nil.
	Err error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("ring: %s: %s: %v", e.Op, e.Kind, e.Err)
	}
	return fmt.Sprintf("ring: %s: %s", e.Op, e.Kind)
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether target is an *Error of the same kind.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Kind == e.Kind
}

// Errors for comparison with errors.Is.
var (
	ErrFull   = &Error{Kind: KindFull}
	ErrClosed = &Error{Kind: KindClosed}
)
