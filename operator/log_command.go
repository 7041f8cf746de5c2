package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"cassiarack.example/operator/logfile"
)

// requestCommand prints the log lines of one request from all given sidecar logs
// in order of time, and says which expected line is missing, if any.
func requestCommand() *ff.Command {
	set := ff.NewFlagSet("request")
	asJSON := set.Bool(0, "json", "print JSON")
	return &ff.Command{
		Name:      "request",
		Usage:     "cassiarack request [--json] ID LOG...",
		ShortHelp: "show the log lines of a request in order of time, from the logs of sidecars",
		LongHelp:  "Example:\n  cassiarack request 9c41d07be2a35f68 logs/*.log",
		Flags:     set,
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return fmt.Errorf("%w: request needs an identifier and log files", errUsage)
			}
			lines, err := readLogs(args[1:], func(name string, f *os.File) ([]logfile.Line, error) {
				return logfile.ReadRequest(name, f, args[0])
			})
			if err != nil {
				return err
			}
			missing := logfile.DescribeMissing(lines)
			if *asJSON {
				return printJSON(struct {
					Lines   []logfile.Line `json:"lines"`
					Missing string         `json:"missing,omitempty"`
				}{lines, missing})
			}
			printLines(lines)
			if missing != "" {
				fmt.Println("note:", missing)
			}
			return nil
		},
	}
}

// timelineCommand prints the log lines that belong to no request in order of time,
// such as changes in the health of instances.
func timelineCommand() *ff.Command {
	set := ff.NewFlagSet("timeline")
	asJSON := set.Bool(0, "json", "print JSON")
	return &ff.Command{
		Name:      "timeline",
		Usage:     "cassiarack timeline [--json] LOG...",
		ShortHelp: "list changes of health, dependencies and configurations from the logs of sidecars",
		LongHelp:  "Example:\n  cassiarack timeline logs/*.log",
		Flags:     set,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return fmt.Errorf("%w: timeline needs log files", errUsage)
			}
			lines, err := readLogs(args, func(name string, f *os.File) ([]logfile.Line, error) {
				return logfile.ReadEvents(name, f)
			})
			if err != nil {
				return err
			}
			if *asJSON {
				return printJSON(lines)
			}
			printLines(lines)
			return nil
		},
	}
}

// readLogs returns the lines that read selects from all named files, ordered by
// time.
func readLogs(names []string, read func(string, *os.File) ([]logfile.Line, error)) ([]logfile.Line, error) {
	var all []logfile.Line
	for _, n := range names {
		f, err := os.Open(n)
		if err != nil {
			return nil, fmt.Errorf("log file: %w", err)
		}
		lines, err := read(n, f)
		f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	logfile.Sort(all)
	return all, nil
}

func printLines(lines []logfile.Line) {
	for _, l := range lines {
		var fields strings.Builder
		for _, f := range l.Fields {
			fmt.Fprintf(&fields, " %s=%s", f.Key, f.Value)
		}
		fmt.Printf("%s %s %s: %s%s\n", l.Time.Format("15:04:05.000"), l.Source, l.Component, l.Message, fields.String())
	}
}
