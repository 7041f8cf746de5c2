package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"cassiarack.example/lib/clock"

	"github.com/peterbourgon/ff/v4"

	"cassiarack.example/lib/service/admin"
	"cassiarack.example/operator/fleet"
)

// nodeFlags holds the flags of commands that query a node.
type nodeFlags struct {
	set    *ff.FlagSet
	node   *string
	asJSON *bool
}

func newNodeFlags(name string) nodeFlags {
	fs := ff.NewFlagSet(name)
	return nodeFlags{set: fs, node: fs.StringLong("node", "", "admin address of any node, such as 10.0.1.1:9090"),
		asJSON: fs.BoolLong("json", "print JSON")}
}

func (f nodeFlags) client() (*fleet.Client, error) {
	a, err := netip.ParseAddrPort(*f.node)
	if err != nil {
		return nil, fmt.Errorf("%w: flag --node: found %q; allowed: an IP address and port", errUsage, *f.node)
	}
	return &fleet.Client{Node: a}, nil
}

func statusCommand() *ff.Command {
	f := newNodeFlags("status")
	return &ff.Command{
		Name:      "status",
		Usage:     "cassiarack status --node ADDRESS [--json]",
		ShortHelp: "show the state of the fleet, as reported by the nodes that answer",
		LongHelp:  "Example:\n  cassiarack status --node 10.0.1.1:9090",
		Flags:     f.set,
		Exec: func(ctx context.Context, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			s, err := c.State(ctx)
			if err != nil {
				return err
			}
			if *f.asJSON {
				return printJSON(s)
			}
			fmt.Print(renderState(s))
			return nil
		},
	}
}

// renderState returns a table of the services, followed by one line for each
// node or instance that needs attention.
func renderState(s *admin.FleetState) string {
	var b strings.Builder
	fmt.Fprintf(&b, "asked %s: revision %d, %d nodes, %d silent, %d behind\n", s.Asked, s.Revision, len(s.Nodes),
		s.NoReply, s.Behind)
	fmt.Fprintf(&b, "%-20s %9s %7s %7s %7s %7s %7s %6s %6s\n", "service", "instances", "healthy", "suspect", "ejected",
		"trial", "leaving", "floor", "room")
	for _, v := range s.Services {
		room := fmt.Sprint(v.Healthy - v.Floor)
		if v.Healthy <= v.Floor {
			room = colourise(yellow, fmt.Sprintf("%6d", v.Healthy-v.Floor))
		}
		fmt.Fprintf(&b, "%-20s %9d %7d %7d %7d %7d %7d %6d %6s\n", v.Name, v.Instances, v.Healthy, v.Suspect, v.Ejected,
			v.Trial, v.Leaving, v.Floor, room)
	}
	for _, n := range s.Nodes {
		renderNode(&b, s, n)
	}
	return b.String()
}

func renderNode(b *strings.Builder, s *admin.FleetState, n admin.NodeState) {
	switch {
	case n.Error != "":
		fmt.Fprintf(b, "%s %s does not answer: %s\n", colourise(red, "node"), n.VM, n.Error)
	case !n.Serving:
		fmt.Fprintf(b, "%s %s does not serve\n", colourise(yellow, "node"), n.VM)
	case n.Revision < s.Revision:
		fmt.Fprintf(b, "%s %s has revision %d\n", colourise(yellow, "node"), n.VM, n.Revision)
	}
	if n.Refused != "" {
		fmt.Fprintf(b, "%s %s refused a revision: %s\n", colourise(yellow, "node"), n.VM, n.Refused)
	}
	for _, i := range n.Instances {
		if i.Condition == "healthy" && !i.Leaving && !i.Cold {
			continue
		}
		state := i.Condition
		if i.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(b, "instance %s of %s is %s", i.Name, i.Service, colourise(yellow, state))
		if i.AgeSeconds > 0 {
			fmt.Fprintf(b, " since %v", time.Duration(i.AgeSeconds*float64(time.Second)).Round(time.Second))
		}
		if i.Cause != "" {
			fmt.Fprintf(b, ": %s", i.Cause)
		}
		fmt.Fprintln(b)
	}
}

// pollInterval is the time that follow and watch wait between two queries.
const pollInterval = time.Second

func followCommand() *ff.Command {
	f := newNodeFlags("follow")
	revision := f.set.Uint64Long("revision", 0, "revision to follow")
	timeout := f.set.DurationLong("timeout", time.Minute, "longest time to wait")
	return &ff.Command{
		Name:      "follow",
		Usage:     "cassiarack follow --node ADDRESS --revision N [--timeout 1m]",
		ShortHelp: "follow a revision until it is in force on all nodes",
		LongHelp: "Example:\n  cassiarack follow --node 10.0.1.1:9090 --revision 42\n\n" +
			"Names the nodes that do not answer. The exit code is 3 if the revision is not in force on all nodes in time.",
		Flags: f.set,
		Exec: func(ctx context.Context, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			if *revision == 0 {
				return fmt.Errorf("%w: follow needs --revision", errUsage)
			}
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			return follow(ctx, c, *revision)
		},
	}
}

func follow(ctx context.Context, c *fleet.Client, revision uint64) error {
	for {
		s, err := c.State(ctx)
		if err != nil && ctx.Err() == nil {
			return err
		}
		if err == nil {
			behind := nodesBehind(s, revision)
			fmt.Printf("revision %d: in force on %d of %d nodes\n", revision, len(s.Nodes)-len(behind), len(s.Nodes))
			if len(behind) == 0 {
				return nil
			}
			if !clock.Sleep(ctx, pollInterval) {
				return finding("not in force on: %s", strings.Join(behind, ", "))
			}
			continue
		}
		return finding("not in force in time: %v", err)
	}
}

// nodesBehind describes the nodes that have an older revision than the given one
// or that do not answer.
func nodesBehind(s *admin.FleetState, revision uint64) []string {
	var out []string
	for _, n := range s.Nodes {
		switch {
		case n.Error != "":
			out = append(out, n.VM+" (no answer)")
		case n.Revision < revision:
			out = append(out, fmt.Sprintf("%s (revision %d)", n.VM, n.Revision))
		}
	}
	return out
}

func watchCommand() *ff.Command {
	f := newNodeFlags("watch")
	return &ff.Command{
		Name:      "watch",
		Usage:     "cassiarack watch --node ADDRESS",
		ShortHelp: "show the state of the fleet every second until interrupted",
		LongHelp:  "Example:\n  cassiarack watch --node 10.0.1.1:9090",
		Flags:     f.set,
		Exec: func(ctx context.Context, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			for {
				s, err := c.State(ctx)
				switch {
				case ctx.Err() != nil:
					return nil
				case err != nil:
					fmt.Println(err)
				default:
					clearScreen()
					fmt.Print(time.Now().Format(time.TimeOnly), " ", renderState(s))
				}
				if !clock.Sleep(ctx, pollInterval) {
					return nil
				}
			}
		},
	}
}

// clearScreen clears the terminal and moves the cursor to the top left corner. It
// does nothing where colourise adds no escape sequences.
func clearScreen() {
	if colourise(resetStyle, "") != "" {
		fmt.Print("\x1b[H\x1b[2J")
	}
}
