package load

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// TestArrivals guards against a plan that yields different requests for the same
// seed, which would make two reports with one seed incomparable.
func TestArrivals(t *testing.T) {
	p := &Plan{
		Seed:          7,
		Phases:        []Phase{{Duration: time.Second, Rate: 5}, {Duration: time.Second, Rate: 20}},
		Kinds:         []Kind{{Name: "read", Weight: 9}, {Name: "accept", Weight: 1}},
		Organisations: []Share{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}},
		DirectShare:   0.5,
	}
	var b strings.Builder
	for a := range p.arrivals {
		fmt.Fprintf(&b, "%d phase %d at %v: %s by %s, direct %v\n", a.number, a.phase, a.due.Round(time.Millisecond),
			a.kind.Name, a.organisation, a.direct)
	}
	golden.Check(t, "arrivals", b.String())
}

// TestViolations guards against a check that misses a violation of a guarantee, or
// reports one where there is none.
func TestViolations(t *testing.T) {
	var b strings.Builder
	once, many := &Kind{Name: "accept"}, &Kind{Name: "read", Idempotent: true}
	for _, c := range []struct {
		name   string
		result callerResult
		runs   int
	}{
		{"answered and ran", callerResult{kind: once, status: 200, outcome: "complete"}, 1},
		{"answered and ran twice", callerResult{kind: once, status: 200, outcome: "complete"}, 2},
		{"idempotent ran twice", callerResult{kind: many, status: 200, outcome: "complete"}, 2},
		{"refused and did not run", callerResult{kind: once, status: 503, outcome: "not-run"}, 0},
		{"refused but ran", callerResult{kind: once, status: 503, outcome: "not-run"}, 1},
		{"idempotent refused but ran", callerResult{kind: many, status: 503, outcome: "not-run"}, 1},
		{"unknown and ran", callerResult{kind: once, status: 502, outcome: "unknown"}, 1},
		{"unknown and ran twice", callerResult{kind: once, status: 502, outcome: "unknown"}, 2},
		{"answered but never ran", callerResult{kind: once, status: 200, outcome: "complete"}, 0},
		{"another request's answer", callerResult{kind: once, outcome: outcomeMismatched}, 1},
	} {
		var v Violations
		v.check(c.result, c.runs)
		fmt.Fprintf(&b, "%s: %+v\n", c.name, v)
	}
	golden.Check(t, "violations", b.String())
}
