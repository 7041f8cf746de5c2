// Command cassiarack-node is the proxy process that runs on each backend server
// VM.
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

// version is set at link time. A build that does not set it reports "development".
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	o := newOptions()
	err := ff.Parse(o.flags, args, ff.WithEnvVarPrefix("CASSIARACK"))
	switch {
	case errors.Is(err, ff.ErrHelp):
		fmt.Println(ffhelp.Flags(o.flags, "cassiarack-node --settings FILE [FLAGS]"))
		return nil
	case err != nil:
		return fmt.Errorf("command line: %w", err)
	case o.version:
		fmt.Println("cassiarack-node", version)
		return nil
	}
	s, err := o.settings()
	if err != nil {
		return err
	}
	return serve(ctx, s, o)
}
