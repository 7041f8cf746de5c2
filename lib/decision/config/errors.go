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
	KindUnknown   Kind = "unknown name"
	KindDuplicate Kind = "name used twice"
	KindFloor     Kind = "floor above the number of instances"
	KindOverlap   Kind = "path prefix used twice"
	KindEmpty     Kind = "nothing configured"
)

// Error is a contradiction between parts of the register and the rules.
type Error struct {
	Op   string
	Kind Kind
	// At is where the value stands; it is zero where there is no one place.
	At      strict.Place
	Found   string
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

// Errors holds all contradictions.
type Errors []*Error

// Error implements error; each contradiction stands on a line of its own.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}
