package register

import (
	"strings"
	"testing"

	"cassiarack.example/lib/golden"
)

// TestErrors guards against accepting a register with missing or invalid values,
// such as an instance without slots, and against unclear error messages.
func TestErrors(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct{ name, text string }{
		{"missing keys", `{"vms": [{"name": "vm-1"}], "services": [{"name": "quotes"}]}`},
		{"host name for an IP", `{"vms": [{"name": "a", "region": "r", "dataCentre": "d", "node": "localhost:1"}]}`},
		{"name with a slash", `{"services": [{"name": "a/b", "slots": 3}]}`},
		{"zero slots", `{"services": [{"name": "a", "slots": 0}]}`},
		{"route without a slash", `{"services": [{"name": "a", "slots": 3, "routes": ["/ok", "quotes"]}]}`},
		{"organisation with a weight of zero", `{"organisations": [{"name": "a", "weight": 0}]}`},
		{"valid", `{"vms": [{"name": "a", "region": "r", "dataCentre": "d", "node": "127.0.0.1:7000",
			"instances": [{"name": "q-1", "service": "quotes", "address": "127.0.0.1:8000"}]}],
			"services": [{"name": "quotes", "slots": 3}], "organisations": [{"name": "o"}]}`},
	} {
		_, err := Decode("register.jsonc", []byte(c.text))
		b.WriteString("# " + c.name + "\n")
		if err == nil {
			b.WriteString("valid\n")
			continue
		}
		b.WriteString(err.Error() + "\n")
	}
	golden.Check(t, "errors", b.String())
}

// FuzzDecode guards against a panic on any content of a register document.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"vms": [{"name": "a", "region": "r", "dataCentre": "d", "node": "127.0.0.1:7000", "instances": []}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := Decode("fuzz", text)
		if err == nil && r == nil {
			t.Error("Decode returned neither a register nor an error")
		}
	})
}
