// Command cassiarack is the operator's tool.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"cassiarack.example/lib/decision/config"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &ff.Command{
		Name:        "cassiarack",
		Usage:       "cassiarack COMMAND [FLAGS]",
		ShortHelp:   "check and follow the configuration of a fleet",
		Subcommands: []*ff.Command{checkCommand()},
		Exec:        func(context.Context, []string) error { return ff.ErrHelp },
	}
	err := root.ParseAndRun(ctx, os.Args[1:], ff.WithEnvVarPrefix("CASSIARACK"))
	switch {
	case errors.Is(err, ff.ErrHelp):
		fmt.Println(ffhelp.Command(root))
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func checkCommand() *ff.Command {
	return &ff.Command{
		Name:      "check",
		Usage:     "cassiarack check FILE...",
		ShortHelp: "check register and rules before they are published",
		Exec: func(_ context.Context, files []string) error {
			documents := make(map[string][]byte, len(files))
			for _, f := range files {
				text, err := os.ReadFile(f)
				if err != nil {
					return fmt.Errorf("read: %w", err)
				}
				documents[filepath.Base(f)] = text
			}
			c, err := config.Decode(config.Revision{}, documents)
			if err != nil {
				return err
			}
			fmt.Printf("valid: %d VMs, %d instances, %d services\n", len(c.VMs), len(c.Instances), len(c.Services))
			return nil
		},
	}
}
