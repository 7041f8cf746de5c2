package publication

import "fmt"

// Kind classifies an Error.
type Kind string

// KindInvalid means that a record of another sidecar describes no instance.
const KindInvalid Kind = "invalid"

// Error is the error of package publication.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("publication: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
