package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v4"

	"cassiarack.example/standin/experiment"
)

// errTargetMissed is returned when an experiment missed one of its targets.
var errTargetMissed = errors.New("at least one target was missed")

func reportCommand() *ff.Command {
	fs := ff.NewFlagSet("report")
	node := fs.String('n', "node", ".bin/cassiarack-node", "node program")
	seed := fs.Uint64(0, "seed", 1, "seed of the arrivals")
	folder := fs.String('o', "out", "report", "folder for report.html and report.md")
	return &ff.Command{
		Name:      "report",
		Usage:     "cassiarack-standin report [FLAGS] [EXPERIMENT...]",
		ShortHelp: "run experiments with real nodes and write a report",
		Flags:     fs,
		Exec: func(ctx context.Context, wanted []string) error {
			env := &experiment.Env{NodeProgram: *node, Seed: *seed, Progress: os.Stderr}
			r, err := experiment.Run(ctx, env, wanted, *folder)
			if err != nil {
				return err
			}
			fmt.Print(r.Markdown())
			if !r.Met() {
				return errTargetMissed
			}
			return nil
		},
	}
}
