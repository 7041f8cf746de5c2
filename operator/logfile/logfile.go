// Package logfile reads the logs of sidecars. It selects the lines of one request,
// or those that belong to no request, and orders the lines of several files.
package logfile

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the longest line that can be read; a longer one fails the read.
const maxLineBytes = 1 << 20

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindRead Kind = "cannot be read"
)

// Error is the error type of package logfile.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("logfile: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Line is one log line of a sidecar.
type Line struct {
	Time time.Time `json:"time"`
	// Source is the name of the file that holds the line.
	Source string `json:"source"`
	// Component is the component of the sidecar that logged the line, such as gate.
	Component string `json:"part"`
	Level     string `json:"level"`
	Message   string `json:"message"`
	// Fields holds the other keys with their values, in their order in the line.
	Fields []Field `json:"fields"`
}

// Field is a key of a log line with its unquoted value.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Get returns the value of the first field with this key, or "" if there is none.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// ReadRequest returns the lines of the request with this ID and of its nested calls,
// whose IDs start with that ID and a dot. The error is an *Error.
func ReadRequest(source string, r io.Reader, id string) ([]Line, error) {
	return scan(source, r, "request=", func(l *Line) bool {
		got := l.Get("request")
		return got == id || strings.HasPrefix(got, id+".")
	})
}

// ReadEvents returns the lines without a request ID. They report changes in the
// health of instances, changes of dependencies, and the start and stop of the
// sidecar. The error is an *Error.
func ReadEvents(source string, r io.Reader) ([]Line, error) {
	return scan(source, r, "", func(l *Line) bool { return l.Get("request") == "" })
}

// scan returns the lines that contain substring and that keep accepts. Testing for
// the substring first avoids parsing the other lines.
func scan(source string, r io.Reader, substring string, keep func(*Line) bool) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		if substring != "" && !strings.Contains(s.Text(), substring) {
			continue
		}
		if l, ok := parse(source, s.Text()); ok && keep(&l) {
			lines = append(lines, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, &Error{Op: "read " + source, Kind: KindRead, Err: err}
	}
	return lines, nil
}

// parse decodes a line in logfmt. It skips text before the key time, because log
// collectors add their own prefixes. It returns false for a line without a
// valid time or without a message.
func parse(source, text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	l := Line{Source: source}
	for rest := text[start:]; rest != ""; {
		var key, value string
		key, value, rest = nextField(rest)
		switch key {
		case "":
			continue
		case "time":
			t, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, false
			}
			l.Time = t
		case "level":
			l.Level = value
		case "prefix":
			l.Component = value
		case "msg":
			l.Message = value
		default:
			l.Fields = append(l.Fields, Field{Key: key, Value: value})
		}
	}
	return l, l.Message != ""
}

// nextField splits text into its first key, the unquoted value of that key, and
// the rest. The key is empty if text has no further field.
func nextField(text string) (key, value, rest string) {
	text = strings.TrimLeft(text, " ")
	key, text, ok := strings.Cut(text, "=")
	if !ok {
		return "", "", ""
	}
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return key, value, rest
	}
	var b strings.Builder
	for i := 1; i < len(text); i++ {
		switch c := text[i]; c {
		case '\\':
			if i++; i < len(text) {
				b.WriteByte(text[i])
			}
		case '"':
			return key, b.String(), text[i+1:]
		default:
			b.WriteByte(c)
		}
	}
	return key, b.String(), ""
}

// Sort orders lines by time, and lines with the same time by source.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		return strings.Compare(a.Source, b.Source)
	})
}

// DescribeMissing says which expected line of a request is not among lines, and
// why it may be missing. It returns "" if none is missing.
func DescribeMissing(lines []Line) string {
	parts := make(map[string]bool)
	sent := false
	for i := range lines {
		l := &lines[i]
		parts[l.Component] = true
		if l.Component == "relay" && l.Get("sent") != "0" {
			sent = true
		}
	}
	switch {
	case len(lines) == 0:
		return "no line names this request: it was a success that was not sampled, or the logs of its sidecar are missing"
	case !parts["relay"] && !parts["ingress"] && !parts["authentication"]:
		return "the line of the sidecar that took the request is missing"
	case sent && !parts["gate"]:
		return "the line of the gate is missing: the log of the instance's sidecar was not given, or the sidecar was killed"
	}
	return ""
}
