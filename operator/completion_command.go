package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v4"
)

func completionCommand(root *ff.Command) *ff.Command {
	return &ff.Command{
		Name:      "completion",
		Usage:     "cassiarack completion > /etc/bash_completion.d/cassiarack",
		ShortHelp: "print a completion script for bash",
		Exec: func(context.Context, []string) error {
			var commands []string
			var cases strings.Builder
			for _, c := range root.Subcommands {
				commands = append(commands, c.Name)
				fmt.Fprintf(&cases, "    %s) words='%s';;\n", c.Name, strings.Join(longFlags(c), " "))
			}
			fmt.Printf("_cassiarack() {\n  local words='%s'\n  case ${COMP_WORDS[1]} in\n%s  esac\n"+
				"  COMPREPLY=($(compgen -f -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n"+
				"complete -F _cassiarack cassiarack\n", strings.Join(commands, " "), cases.String())
			return nil
		},
	}
}

func longFlags(c *ff.Command) []string {
	var out []string
	if c.Flags == nil {
		return nil
	}
	// WalkFlags only returns errors of the callback, which has none.
	_ = c.Flags.WalkFlags(func(f ff.Flag) error {
		if name, ok := f.GetLongName(); ok {
			out = append(out, "--"+name)
		}
		return nil
	})
	return out
}
