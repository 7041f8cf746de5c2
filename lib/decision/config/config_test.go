package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"cassiarack.example/lib/golden"
)

const testRegister = `{
  "services": [{"name": "quotes", "slots": 3, "routes": ["/accept"]}, {"name": "surveys", "slots": 3}],
  "vms": [
    {"name": "v1", "region": "r", "dataCentre": "d1", "node": "127.0.0.1:1",
      "instances": [{"name": "q1", "service": "quotes", "address": "127.0.0.1:11"}]},
    {"name": "v2", "region": "r", "dataCentre": "d2", "node": "127.0.0.1:2",
      "instances": [{"name": "q2", "service": "quotes", "address": "127.0.0.1:12"},
                    {"name": "s1", "service": "surveys", "address": "127.0.0.1:13"}]},
    {"name": "v3", "region": "r", "dataCentre": "d3", "node": "127.0.0.1:3",
      "instances": [{"name": "q3", "service": "quotes", "address": "127.0.0.1:14"}]}
  ]}`

// TestCompile guards against configurations that take effect although register
// and rules contradict each other, and against wrong derived floors.
func TestCompile(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct{ name, rules string }{
		{"derived floors", `{}`},
		{"floor as a share", `{"floors": [{"service": "quotes", "percent": 50}]}`},
		{"floor above the instances", `{"floors": [{"service": "quotes", "healthy": 4}]}`},
		{"second floor", `{"floors": [{"service": "quotes", "healthy": 1}, {"service": "quotes", "healthy": 2}]}`},
		{"unknown service", `{"idempotent": [{"service": "qoutes"}]}`},
		{"leaving", `{"leaving": [{"vm": "v2"}]}`},
		{"leaving twice", `{"leaving": [{"instance": "q1"}, {"instance": "q1"}]}`},
		{"leaving unknown", `{"leaving": [{"instance": "q9"}, {"vm": "v9"}]}`},
	} {
		docs := map[string][]byte{"register": []byte(testRegister), "rules": []byte(c.rules)}
		conf, err := Decode(Revision{Number: 1}, docs)
		fmt.Fprintf(&b, "# %s\n", c.name)
		if err != nil {
			fmt.Fprintln(&b, err)
			continue
		}
		render(&b, conf)
	}
	golden.Check(t, "compile", b.String())
}

// TestOverlap guards against two services that claim the same path prefix, and
// against a document whose name has an unknown prefix.
func TestOverlap(t *testing.T) {
	_, err := Decode(Revision{}, map[string][]byte{
		"register": []byte(testRegister),
		"register2": []byte(`{"services": [{"name": "x", "slots": 1, "routes": ["/accept", "/quotes/"]},
			{"name": "quotes", "slots": 1}]}`),
		"other": []byte(`{}`),
	})
	golden.Check(t, "overlap", fmt.Sprintln(err))
	_, err = Decode(Revision{}, map[string][]byte{
		"register": []byte(testRegister),
		"register2": []byte(`{"services": [{"name": "x", "slots": 1, "routes": ["/accept", "/quotes/"]},
			{"name": "quotes", "slots": 1}], "vms": [{"name": "v1", "region": "r", "dataCentre": "d", "node": "127.0.0.1:9"}]}`),
	})
	golden.Check(t, "overlap_names", fmt.Sprintln(err))
}

func render(b *strings.Builder, c *Configuration) {
	var names []string
	for n := range c.Services {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		s := c.Services[n]
		fmt.Fprintf(b, "%s: %d instances, %d leaving, floor %d\n", n, len(s.Instances), s.LeavingCount(), s.Floor)
	}
}
