package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"cassiarack.example/lib/service/admin"
)

func explainCommand() *ff.Command {
	f := newNodeFlags("explain")
	return &ff.Command{
		Name:      "explain",
		Usage:     "cassiarack explain --node ADDRESS METHOD PATH",
		ShortHelp: "explain to which instance a node would send a request, and why",
		LongHelp:  "Example:\n  cassiarack explain --node 10.0.1.1:9090 POST /quotes/accept",
		Flags:     f.set,
		Exec: func(ctx context.Context, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			if len(args) != 2 {
				return fmt.Errorf("%w: explain needs a method and a path", errUsage)
			}
			e, err := c.Explain(ctx, args[0], args[1])
			if err != nil {
				return err
			}
			if *f.asJSON {
				return printJSON(e)
			}
			printExplanation(e)
			return nil
		},
	}
}

func printExplanation(e *admin.Explanation) {
	if e.Error != "" {
		fmt.Println(e.Error)
		return
	}
	work := "non-idempotent: it is reserved first and runs at most once"
	if e.Idempotent {
		work = "idempotent: it may be tried again"
	}
	fmt.Printf("service %s by prefix %s; the work is %s\n", e.Service, e.Prefix, work)
	for _, c := range e.Candidates {
		fmt.Printf("  %-20s %-12s weight %.2f, %d requests of this node, %d of others", c.Instance, c.DataCentre,
			c.Weight, c.Outstanding, c.OthersOutstanding)
		if c.Reason != "" {
			fmt.Printf(": %s", c.Reason)
		}
		fmt.Println()
	}
	for _, d := range e.Decisions {
		fmt.Printf("  %s %s %s\n", d.At, d.Instance, d.Text)
	}
}
