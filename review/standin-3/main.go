// Command review-standin-3 plays the scripted cases of the third review.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases maps a name to the function that plays it. It reports whether the rule held.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"glued-refusal": glued(true),
	"glued-answer":  glued(false),
	"stops":         stops,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-standin-3 CASE SIDECAR RECORD")
		return 2
	}
	play := cases[os.Args[1]]
	program, err := filepath.Abs(os.Args[2])
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1], err)
		return 2
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	f := newFleet(r, folder, program)
	defer f.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %t", os.Args[1], trouble)
	held, err := play(f, trouble)
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case !held:
		r.line("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	r.line("the rule held")
	fmt.Println("the rule held")
	return 0
}
