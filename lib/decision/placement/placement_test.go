package placement

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestChoose guards against requests at failing, full, remote or unreachable
// instances while better ones have room, and against tests by requests that
// must not make them.
func TestChoose(t *testing.T) {
	fresh, old := now.Add(-50*time.Millisecond), now.Add(-time.Second)
	good := Candidate{FailingProbability: 0.03, EvidenceAt: fresh, Slots: 3}
	with := func(f func(*Candidate)) Candidate { c := good; f(&c); return c }
	cases := []struct {
		name       string
		tests      bool
		candidates []Candidate
	}{
		{"no candidates", false, nil},
		{"all excluded", false, []Candidate{with(func(c *Candidate) { c.Excluded = true })}},
		{"failing", false, []Candidate{with(func(c *Candidate) { c.FailingProbability = 0.8 }), good}},
		{"remote", false, []Candidate{with(func(c *Candidate) { c.Remote = true }), good}},
		{"failing or remote", false, []Candidate{with(func(c *Candidate) { c.FailingProbability = 0.2 }), with(func(c *Candidate) { c.Remote = true })}},
		{"full or remote", false, []Candidate{with(func(c *Candidate) { c.Load = 3 }), with(func(c *Candidate) { c.Remote = true })}},
		{"full or failing", false, []Candidate{with(func(c *Candidate) { c.Load = 4 }), with(func(c *Candidate) { c.FailingProbability = 0.85 })}},
		{"long queue or failing probability 0.4", false, []Candidate{with(func(c *Candidate) { c.Load = 9 }), with(func(c *Candidate) { c.FailingProbability = 0.4 })}},
		{"cold", false, []Candidate{with(func(c *Candidate) { c.Cold = true }), with(func(c *Candidate) { c.Load = 1 })}},
		{"unreachable", false, []Candidate{with(func(c *Candidate) { c.Unreachable = true }), with(func(c *Candidate) { c.FailingProbability = 0.9 })}},
		{"test due", true, []Candidate{good, with(func(c *Candidate) { c.FailingProbability, c.EvidenceAt = 0.7, old })}},
		{"request must not test", false, []Candidate{good, with(func(c *Candidate) { c.FailingProbability, c.EvidenceAt = 0.7, old })}},
		{"tested recently", true, []Candidate{good, with(func(c *Candidate) { c.FailingProbability = 0.7 })}},
		{"no test when full", true, []Candidate{good, with(func(c *Candidate) { c.FailingProbability, c.EvidenceAt, c.Load = 0.7, old, 3 })}},
	}
	var b strings.Builder
	for _, tc := range cases {
		c := Choose(now, rand.New(rand.NewPCG(1, 1)), Request{MayTest: tc.tests}, tc.candidates)
		fmt.Fprintf(&b, "%s: candidate %d, test %t\n", tc.name, c.Index, c.Test)
	}
	golden.Check(t, "choose", b.String())
}
