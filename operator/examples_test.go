package main

import (
	"fmt"
	"strings"
	"testing"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/golden"
	"cassiarack.example/operator/inventory"
)

// TestExamples guards against example files that the check command rejects or
// warns about.
func TestExamples(t *testing.T) {
	var b strings.Builder
	for _, name := range []string{"latvia", "rioGrandeDoSul"} {
		documents, err := inventory.Read("../examples/" + name)
		if err != nil {
			t.Fatal(err)
		}
		c, err := config.Decode(config.Revision{}, documents)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "%s: %d VMs, %d instances, %d services\n", name, len(c.VMs), len(c.Instances), len(c.Services))
		for _, w := range inventory.Warnings(c) {
			fmt.Fprintln(&b, w)
		}
	}
	golden.Check(t, "examples", b.String())
}
