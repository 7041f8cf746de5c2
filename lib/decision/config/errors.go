package config

import (
	"fmt"
	"strings"

	"cassiarack.example/lib/input/strict"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindUnknown is a reference to a name that is not defined, or a document whose
	// name has an unknown prefix.
	KindUnknown Kind = "unknown name"
	// KindDuplicate is a name or an entry that occurs twice.
	KindDuplicate Kind = "name used twice"
	// KindFloor is a floor above the number of instances of the service.
	KindFloor Kind = "floor above the number of instances"
	// KindOverlap is a path prefix that two services claim.
	KindOverlap Kind = "path prefix used twice"
	// KindEmpty is a register without VMs.
	KindEmpty Kind = "nothing configured"
)

// Error is a contradiction within the register and the rules, or between them.
type Error struct {
	// Op is the part that was compiled, such as "services", or "decode".
	Op   string
	Kind Kind
	// At is the position of the faulty value. It is zero if the fault has no
	// single position.
	At strict.Position
	// Found describes the faulty value.
	Found string
	// Allowed describes the values that are allowed; it may be empty.
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s: found %s", e.Op, e.Kind, e.Found)
	if e.At.Line > 0 {
		s = e.At.String() + ": " + s
	}
	if e.Allowed != "" {
		s += "; allowed: " + e.Allowed
	}
	return s
}

// Errors holds all faults of a revision.
type Errors []*Error

// Error implements error. Each fault is on a line of its own.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}
