package inventory

import (
	"fmt"
	"strings"
	"testing"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/golden"
)

// registerJSON returns a register with n instances of the service quotes, spread
// over three data centres.
func registerJSON(n int) string {
	var vms []string
	for i := range n {
		vms = append(vms, fmt.Sprintf(`{"name": "v%d", "region": "r", "dataCentre": "d%d", "node": "127.0.0.1:%d",
			"instances": [{"name": "q%d", "service": "quotes", "address": "127.0.0.1:%d"}]}`, i, i%3, 7000+i, i, 8000+i))
	}
	return `{"services": [{"name": "quotes", "slots": 3}], "vms": [` + strings.Join(vms, ",") + `]}`
}

func decodeConfiguration(t *testing.T, register, rules string) *config.Configuration {
	t.Helper()
	c, err := config.Decode(config.Revision{}, map[string][]byte{"register": []byte(register), "rules": []byte(rules)})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestWarnings guards against a missing or a false warning about valid rules that
// are probably unintended.
func TestWarnings(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct{ name, register, rules string }{
		{"derived floor", registerJSON(6), `{}`},
		{"loss of a data centre below the floor", registerJSON(6), `{"floors": [{"service": "quotes", "healthy": 5}]}`},
		{"floor of all instances", registerJSON(6), `{"floors": [{"service": "quotes", "percent": 100}]}`},
		{"leaving instances below the floor", registerJSON(6), `{"leaving": [{"vm": "v0"}, {"vm": "v1"}, {"instance": "q2"}]}`},
		{"no instance", `{"services": [{"name": "a", "slots": 1}],
			"vms": [{"name": "v", "region": "r", "dataCentre": "d", "node": "127.0.0.1:1"}]}`, `{}`},
	} {
		fmt.Fprintf(&b, "# %s\n%s\n", c.name, strings.Join(Warnings(decodeConfiguration(t, c.register, c.rules)), "\n"))
	}
	golden.Check(t, "warnings", b.String())
}

// TestCompare guards against effects of a change that are missing from the list
// that operators see, and against effects listed for equal configurations.
func TestCompare(t *testing.T) {
	before := decodeConfiguration(t, registerJSON(6), `{"leaving": [{"instance": "q1"}]}`)
	after := decodeConfiguration(t, strings.Replace(registerJSON(7), `"slots": 3`, `"slots": 4, "routes": ["/accept"]`, 1),
		`{"leaving": [{"instance": "q0"}], "floors": [{"service": "quotes", "healthy": 3}],
		"idempotent": [{"service": "quotes", "path": "/quotes/check"}]}`)
	var b strings.Builder
	for _, c := range Compare(before, after) {
		fmt.Fprintf(&b, "%s: %s\n", c.Service, c.Effect)
	}
	fmt.Fprintln(&b, "# equal configurations")
	fmt.Fprintln(&b, len(Compare(after, after)), "changes")
	golden.Check(t, "compare", b.String())
}
