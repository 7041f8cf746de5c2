package handoff

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/request"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
)

// recordingObserver keeps the kinds of all observations.
type recordingObserver struct{ kinds []health.Kind }

func (o *recordingObserver) Observe(_ time.Time, seen health.Observation) {
	o.kinds = append(o.kinds, seen.Kind)
}

// TestBrokenHeads guards against heads of answers that HTTP does not allow, that the
// gate of a node of an earlier version passes on, and that the entry takes for an
// answer.
func TestBrokenHeads(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name string
		head *wire.ResponseHead
	}{
		{"whole", &wire.ResponseHead{Status: 200, Fields: []*wire.Field{{Name: "X-Other", Value: "1"}}}},
		{"no status", &wire.ResponseHead{}},
		{"status 99", &wire.ResponseHead{Status: 99}},
		{"status 101", &wire.ResponseHead{Status: 101}},
		{"status 600", &wire.ResponseHead{Status: 600}},
		{"status that is negative as an int", &wire.ResponseHead{Status: 1<<32 - 1}},
		{"space behind a field name", &wire.ResponseHead{Status: 200, Fields: []*wire.Field{{Name: "Content-Length ", Value: "1"}}}},
		{"control byte in a field name", &wire.ResponseHead{Status: 200, Fields: []*wire.Field{{Name: "X\x01Other", Value: "1"}}}},
	} {
		o := &recordingObserver{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		a := &attempt{s: &Service{observer: o}, req: &request.Request{}, ctx: ctx, messages: ring.New[*wire.Down](1),
			inst: &config.Instance{Name: "i", VM: &config.VM{Name: "v"}, Service: &config.Service{Name: "s"}}}
		if err := a.messages.Offer(&wire.Down{Kind: &wire.Down_Head{Head: c.head}}); err != nil {
			t.Fatal(err)
		}
		_, event, failure := a.nextEvent(0)
		fmt.Fprintf(&out, "%s: %s, observed as failed %t", c.name, event, slices.Contains(o.kinds, health.Failed))
		if failure != nil {
			fmt.Fprintf(&out, ", %v", failure)
		}
		out.WriteString("\n")
		cancel()
	}
	golden.Check(t, "broken", out.String())
}
