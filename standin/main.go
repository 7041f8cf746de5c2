// Command cassiarack-standin runs a local fleet with stand-ins for the platform,
// the backend servers and the callers, and measures and checks it.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &ff.Command{
		Name:        "cassiarack-standin",
		Usage:       "cassiarack-standin COMMAND [FLAGS]",
		ShortHelp:   "stand-ins for the systems around a fleet",
		Subcommands: []*ff.Command{demoCommand(), fleetCommand(), reportCommand(), soakCommand()},
		Exec:        func(context.Context, []string) error { return ff.ErrHelp },
	}
	err := root.ParseAndRun(ctx, os.Args[1:], ff.WithEnvVarPrefix("CASSIARACK_STANDIN"))
	switch {
	case errors.Is(err, ff.ErrHelp):
		fmt.Println(ffhelp.Command(root))
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
