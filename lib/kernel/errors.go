package kernel

import (
	"fmt"
	"strings"
)

// Kind classifies an Error.
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

// Error is the error of package kernel.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the failure.
	Kind Kind
	// Names holds the services concerned.
	Names []string
	// Err is the cause, which may be nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("kernel: %s: %s: %s", e.Op, e.Kind, strings.Join(e.Names, " -> "))
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
