package rules

import (
	"strings"
	"testing"

	"cassiarack.example/lib/golden"
)

// TestErrors guards against errors that do not show their cause: each must name
// the line, the column, the key, what was found and what is allowed.
func TestErrors(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct{ name, text string }{
		{"typo in a key", `{"flors": [{"service": "quotes", "healthy": 8}]}`},
		{"typo in a nested key", "{\"floors\": [\n  {\"service\": \"quotes\", \"helthy\": 8}\n]}"},
		{"wrong type", `{"floors": [{"service": "quotes", "healthy": "eight"}]}`},
		{"number out of range", `{"floors": [{"service": "quotes", "percent": 120}]}`},
		{"number too large for the type", `{"floors": [{"service": "quotes", "healthy": 1e30}]}`},
		{"fraction", `{"floors": [{"service": "quotes", "healthy": 1.5}]}`},
		{"duplicate key", `{"leaving": [], "leaving": []}`},
		{"both kinds of floor", `{"floors": [{"service": "quotes", "healthy": 8, "percent": 50}]}`},
		{"neither instance nor VM", `{"leaving": [{}]}`},
		{"null", `{"floors": [{"service": null, "healthy": 8}]}`},
		{"not an array", `{"floors": {}}`},
		{"not an object", `[]`},
		{"file cut in half", "{\"floors\": [\n  {\"service\": \"quotes\", \"hea"},
		{"empty file", ``},
		{"missing comma", "{\"floors\": [] \"leaving\": []}"},
		{"several faults", "{\n  \"idempotent\": [{\"path\": \"accept\", \"methods\": [\"put\"]}],\n  \"nope\": 1\n}"},
		{"comments and trailing commas are allowed", "{\n  // Two thirds.\n  \"floors\": [{\"service\": \"quotes\", \"healthy\": 8,},],\n}"},
	} {
		_, err := Decode("rules.jsonc", []byte(c.text))
		b.WriteString("# " + c.name + "\n")
		if err == nil {
			b.WriteString("valid\n")
			continue
		}
		b.WriteString(err.Error() + "\n")
	}
	golden.Check(t, "errors", b.String())
}

// FuzzDecode guards against a panic on any content of a rules document.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"floors": [{"service": "a", "healthy": 1}], "leaving": [{"vm": "b"}]}`))
	f.Add([]byte(`{"idempotent": [{"service": "a", "methods": ["PUT"], "path": "/x"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := Decode("fuzz", text)
		if err == nil && r == nil {
			t.Error("Decode returned neither rules nor an error")
		}
	})
}
