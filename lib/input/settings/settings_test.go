package settings

import (
	"strings"
	"testing"

	"cassiarack.example/lib/golden"
)

const valid = `{"name": "vm-1", "region": "r", "dataCentre": "d", "callers": "127.0.0.1:1", "fleet": "127.0.0.1:2",
  "admin": "127.0.0.1:3", "platform": "127.0.0.1:4"`

// TestErrors guards against accepting settings with missing or invalid values, such
// as a duration without a unit, and against unclear error messages.
func TestErrors(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct{ name, text string }{
		{"no keys", `{}`},
		{"valid", valid + `}`},
		{"duration without a unit", valid + `, "drainTimeout": "30"}`},
		{"duration as a number", valid + `, "drainTimeout": 30}`},
		{"duration out of range", valid + `, "requestTimeout": "2h"}`},
		{"key without a certificate", valid + `, "key": "node.pem"}`},
		{"peer without a port", valid + `, "peers": ["127.0.0.1"]}`},
	} {
		_, err := Decode("settings.jsonc", []byte(c.text))
		b.WriteString("# " + c.name + "\n")
		if err == nil {
			b.WriteString("valid\n")
			continue
		}
		b.WriteString(err.Error() + "\n")
	}
	golden.Check(t, "errors", b.String())
}

// FuzzDecode guards against a panic on any content of the settings.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid + `}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Decode("fuzz", text)
		if err == nil && s == nil {
			t.Error("Decode returned neither settings nor an error")
		}
	})
}
