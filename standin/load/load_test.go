package load

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// TestArrivals guards against a plan that sends other requests with the same
// seed, which would make two reports of one seed incomparable.
func TestArrivals(t *testing.T) {
	p := &Plan{
		Seed:          7,
		Phases:        []Phase{{Duration: time.Second, Rate: 5}, {Duration: time.Second, Rate: 20}},
		Kinds:         []Kind{{Name: "read", Weight: 9}, {Name: "accept", Weight: 1}},
		Organisations: []Share{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}},
		Direct:        0.5,
	}
	var b strings.Builder
	for a := range p.arrivals {
		fmt.Fprintf(&b, "%d phase %d at %v: %s by %s, direct %v\n", a.number, a.phase, a.due.Round(time.Millisecond),
			a.kind.Name, a.organisation, a.direct)
	}
	golden.Check(t, "arrivals", b.String())
}

// TestViolations guards against a load tool that does not see a broken promise.
func TestViolations(t *testing.T) {
	var b strings.Builder
	once, many := &Kind{Name: "accept"}, &Kind{Name: "read", Idempotent: true}
	for _, c := range []struct {
		name string
		told told
		runs int
	}{
		{"answered and ran", told{kind: once, status: 200, outcome: "complete"}, 1},
		{"answered and ran twice", told{kind: once, status: 200, outcome: "complete"}, 2},
		{"idempotent ran twice", told{kind: many, status: 200, outcome: "complete"}, 2},
		{"refused and did not run", told{kind: once, status: 503, outcome: "not-run"}, 0},
		{"refused but ran", told{kind: once, status: 503, outcome: "not-run"}, 1},
		{"idempotent refused but ran", told{kind: many, status: 503, outcome: "not-run"}, 1},
		{"unknown and ran", told{kind: once, status: 502, outcome: "unknown"}, 1},
		{"unknown and ran twice", told{kind: once, status: 502, outcome: "unknown"}, 2},
		{"answered but never ran", told{kind: once, status: 200, outcome: "complete"}, 0},
		{"another request's answer", told{kind: once, outcome: crossed}, 1},
	} {
		var v Violations
		v.check(c.told, c.runs)
		fmt.Fprintf(&b, "%s: %+v\n", c.name, v)
	}
	golden.Check(t, "violations", b.String())
}
