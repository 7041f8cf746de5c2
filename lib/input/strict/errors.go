package strict

import (
	"fmt"
	"strings"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindSyntax    Kind = "syntax"
	KindUnknown   Kind = "unknown key"
	KindDuplicate Kind = "duplicate key"
	KindType      Kind = "wrong type"
	KindValue     Kind = "value not allowed"
	KindMissing   Kind = "missing key"
)

// Error is one fault of a file.
type Error struct {
	// Op is the operation that failed, such as "decode" or "check".
	Op string
	// Kind classifies the fault.
	Kind Kind
	// File names the file or document.
	File string
	// Line and Column start at one; zero means unknown.
	Line, Column int
	// Key is the path of the value, such as services[2].slots.
	Key string
	// Found is what stands in the file.
	Found string
	// Allowed is what may stand there.
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", e.Line, e.Column)
	}
	fmt.Fprintf(&b, ": %s", e.Kind)
	if e.Key != "" {
		fmt.Fprintf(&b, " at %s", e.Key)
	}
	if e.Found != "" {
		fmt.Fprintf(&b, ": found %s", e.Found)
	}
	if e.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", e.Allowed)
	}
	return b.String()
}

// Errors holds all faults of a file in the order of their places.
type Errors []*Error

// Error implements error; each fault stands on a line of its own.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns es as an error, or nil if es is empty.
func (es Errors) Err() error {
	if len(es) == 0 {
		return nil
	}
	return es
}
