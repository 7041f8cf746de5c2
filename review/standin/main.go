// Command standin plays the cases of the review: it starts real sidecars between
// stand-ins for the platform, the instances and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases maps the name of each case to its function, which reports whether the rule
// was broken. With trouble false, the disruption is left out.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE SIDECAR RECORD")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &record{out: out, start: time.Now()}
	f, err := newFleet(os.Args[2], r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](f, trouble)
	f.stop()
	switch {
	case err != nil:
		r.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		r.line("the rule was broken")
		os.Exit(1)
	}
	r.line("the rule held")
}
