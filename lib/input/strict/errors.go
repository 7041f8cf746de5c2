package strict

import (
	"fmt"
	"strings"
)

// Kind is the kind of an Error.
type Kind string

// Kinds of errors. KindValue is for values of the right JSON type that are out of
// range, malformed or in conflict with others.
const (
	KindSyntax    Kind = "syntax"
	KindUnknown   Kind = "unknown key"
	KindDuplicate Kind = "duplicate key"
	KindType      Kind = "wrong type"
	KindValue     Kind = "value not allowed"
	KindMissing   Kind = "missing key"
)

// Error is one fault in a file.
type Error struct {
	// Op is the operation that failed, such as "decode" or "check".
	Op   string
	Kind Kind
	// File is the name of the file or document.
	File string
	// Line and Column start at one; zero means that the position is unknown.
	Line, Column int
	// Key is the path of the value, such as services[2].slots.
	Key string
	// Found describes what the file contains.
	Found string
	// Allowed describes what the file may contain there.
	Allowed string
}

// Error returns the position, the kind, the key, and what was found and is
// allowed, on one line.
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

// Errors holds all faults of a file, ordered by position.
type Errors []*Error

// Error returns all faults, one per line.
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
