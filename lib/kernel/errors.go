package kernel

import (
	"fmt"
	"strings"
)

// Kind is the class of an Error.
type Kind string

// Kinds of errors.
const (
	KindMissing Kind = "missing service"
	KindTaken   Kind = "name registered twice"
	KindCycle   Kind = "cycle of needs"
	KindType    Kind = "wrong service type"
	KindBind    Kind = "bind failed"
	KindFailed  Kind = "service failed"
	KindStopped Kind = "service returned before it was stopped"
	KindDrain   Kind = "drain incomplete"
)

// Error is the type of the errors that package kernel returns.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the failure.
	Kind Kind
	// Names holds the names of the services concerned. If a service is missing, it
	// is the last one; in a cycle the first and the last are equal.
	Names []string
	// Err is the cause, which may be nil.
	Err error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := fmt.Sprintf("kernel: %s: %s: %s", e.Op, e.Kind, strings.Join(e.Names, " -> "))
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.Err }
