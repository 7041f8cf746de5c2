// Command cassiarack-sidecar is the proxy that runs beside each instance, on a
// platform that publishes instances and routes in a store.
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

	"cassiarack.example/sidecar/settings"
)

// version is set by the linker.
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
	flags := ff.NewFlagSet("cassiarack-sidecar")
	file := flags.String('c', "config", "", "settings file, JSON with comments")
	check := flags.Bool(0, "check", "check the settings and exit")
	show := flags.Bool(0, "version", "print the version and exit")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("CASSIARACK"))
	switch {
	case errors.Is(err, ff.ErrHelp):
		fmt.Println(ffhelp.Flags(flags, "cassiarack-sidecar --config FILE"))
		return nil
	case err != nil:
		return fmt.Errorf("command line: %w", err)
	case *show:
		fmt.Println("cassiarack-sidecar", version)
		return nil
	}
	read := func() (*settings.Settings, error) {
		text, err := os.ReadFile(*file)
		if err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		return settings.Decode(*file, text)
	}
	s, err := read()
	if err != nil || *check {
		return err
	}
	return serve(ctx, s, read)
}
