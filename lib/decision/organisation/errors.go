package organisation

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindInvalid means that an organisation has a name, priority, limit or key that is
	// not allowed.
	KindInvalid Kind = "invalid"
	// KindDuplicate means that two organisations have the same name or the same key.
	KindDuplicate Kind = "duplicate"
)

// Error is the error of package organisation. It contains no key.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("organisation: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
