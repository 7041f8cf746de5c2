package route

import (
	"fmt"
	"strings"
	"testing"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/golden"
)

// TestFind guards against requests that are sent to the wrong service, and
// against non-idempotent requests that are classified as idempotent.
func TestFind(t *testing.T) {
	c, err := config.Decode(config.Revision{}, map[string][]byte{
		"register": []byte(`{"services": [{"name": "quotes", "slots": 1, "routes": ["/q", "/deep/er/"]},
			{"name": "deep", "slots": 1}],
			"vms": [{"name": "v", "region": "r", "dataCentre": "d", "node": "127.0.0.1:1"}]}`),
		"rules": []byte(`{"idempotent": [{"service": "quotes", "methods": ["PUT"]},
			{"service": "quotes", "path": "/quotes/check"}]}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, r := range []struct{ method, path string }{
		{"GET", "/quotes/1"}, {"POST", "/quotes/1"}, {"PUT", "/quotes/1"}, {"POST", "/quotes/check"},
		{"POST", "/quotes/check/2"}, {"POST", "/quotes/checkout"}, {"DELETE", "/quotes/1"}, {"GET", "/quotes"},
		{"GET", "/quotesx"}, {"GET", "/q"}, {"GET", "/q/2"}, {"GET", "/qq"}, {"GET", "/deep/1"}, {"GET", "/deep/er/1"},
		{"GET", "/deep/er"}, {"GET", "/"}, {"GET", ""}, {"GET", "//quotes/"}, {"OPTIONS", "*"},
	} {
		rt, err := Find(c, r.method, r.path)
		if err != nil {
			fmt.Fprintf(&b, "%s %s: %v\n", r.method, r.path, err)
			continue
		}
		fmt.Fprintf(&b, "%s %s: %s by %s, idempotent %v\n", r.method, r.path, rt.Service.Name, rt.Prefix, rt.Idempotent)
	}
	golden.Check(t, "find", b.String())
}
