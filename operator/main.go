// Command cassiarack checks configurations, shows the state of a fleet and reads
// the logs of its sidecars, for operators.
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

// Exit codes of the process.
const (
	exitOK = iota
	// exitFailure means that the command could not complete.
	exitFailure
	// exitUsage means that the command line is wrong.
	exitUsage
	// exitFinding means that the command completed and found a fault: an invalid
	// file, or a revision that is not in force on all nodes.
	exitFinding
)

// findingError is a fault that the command found in the files or the fleet that
// it examined. It leads to exitFinding.
type findingError struct{ err error }

func (e *findingError) Error() string { return e.err.Error() }
func (e *findingError) Unwrap() error { return e.err }

func finding(format string, args ...any) error {
	return &findingError{err: fmt.Errorf(format, args...)}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string) int {
	root := rootCommand()
	err := root.Parse(args, ff.WithEnvVarPrefix("CASSIARACK"))
	if err == nil {
		err = root.Run(ctx)
	}
	var found *findingError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, ff.ErrHelp):
		selected := root.GetSelected()
		if selected == nil {
			selected = root
		}
		fmt.Println(ffhelp.Command(selected))
		return exitOK
	case errors.Is(err, ff.ErrNoExec), errors.Is(err, ff.ErrUnknownFlag), errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, "cassiarack:", err)
		fmt.Fprintln(os.Stderr, "try cassiarack --help")
		return exitUsage
	case errors.As(err, &found):
		fmt.Fprintln(os.Stderr, err)
		return exitFinding
	default:
		fmt.Fprintln(os.Stderr, "cassiarack:", err)
		return exitFailure
	}
}

// errUsage is wrapped by errors about a wrong command line.
var errUsage = errors.New("usage")

func rootCommand() *ff.Command {
	root := &ff.Command{
		Name:      "cassiarack",
		Usage:     "cassiarack COMMAND [FLAGS]",
		ShortHelp: "check configurations and inspect a fleet",
		LongHelp: "Examples:\n" +
			"  cassiarack check register.jsonc rules.jsonc\n" +
			"  cassiarack plan --before old/ --after new/\n" +
			"  cassiarack status --node 10.0.1.1:9090\n" +
			"  cassiarack follow --node 10.0.1.1:9090 --revision 42\n" +
			"  cassiarack explain --node 10.0.1.1:9090 GET /quotes/1\n\n" +
			"Exit codes: 0 success, 1 the command could not complete, 2 wrong command line, 3 a fault was found.",
	}
	fs := ff.NewFlagSet("cassiarack")
	showVersion := fs.BoolLong("version", "print the version and exit")
	root.Flags = fs
	root.Exec = func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return fmt.Errorf("%w: no command %q", errUsage, args[0])
		}
		if *showVersion {
			fmt.Println("cassiarack", version)
			return nil
		}
		return ff.ErrHelp
	}
	root.Subcommands = []*ff.Command{checkCommand(), planCommand(), statusCommand(), followCommand(), watchCommand(),
		explainCommand(), requestCommand(), timelineCommand()}
	root.Subcommands = append(root.Subcommands, completionCommand(root))
	return root
}
