package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/operator/inventory"
)

// printJSON prints v as indented JSON, the form of --json, which is kept stable for
// scripts.
func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// checkResult is the result of the check command. The counts are 0 if the
// documents are invalid.
type checkResult struct {
	Valid     bool     `json:"valid"`
	VMs       int      `json:"vms"`
	Instances int      `json:"instances"`
	Services  int      `json:"services"`
	Errors    []string `json:"errors,omitempty"`
	Warnings  []string `json:"warnings,omitempty"`
}

func checkCommand() *ff.Command {
	fs := ff.NewFlagSet("check")
	asJSON := fs.BoolLong("json", "print JSON")
	return &ff.Command{
		Name:      "check",
		Usage:     "cassiarack check [--json] FILE|FOLDER...",
		ShortHelp: "check register and rules before they are published",
		LongHelp: "Reports every error with its position, and warns of valid contents that are probably unintended.\n" +
			"Names of register files start with \"register\", those of rules with \"rules\".\n\n" +
			"Example:\n  cassiarack check register.jsonc rules.jsonc",
		Flags: fs,
		Exec: func(_ context.Context, paths []string) error {
			if len(paths) == 0 {
				return fmt.Errorf("%w: check needs at least one file", errUsage)
			}
			return check(paths, *asJSON)
		},
	}
}

func check(paths []string, asJSON bool) error {
	documents, err := inventory.Read(paths...)
	if err != nil {
		return err
	}
	c, err := config.Decode(config.Revision{}, documents)
	out := checkResult{Valid: err == nil}
	if err != nil {
		out.Errors = strings.Split(err.Error(), "\n")
	} else {
		out.VMs, out.Instances, out.Services = len(c.VMs), len(c.Instances), len(c.Services)
		out.Warnings = inventory.Warnings(c)
	}
	if asJSON {
		if err := printJSON(out); err != nil {
			return err
		}
	} else {
		out.print()
	}
	if !out.Valid {
		return finding("%d errors", len(out.Errors))
	}
	return nil
}

func (c checkResult) print() {
	for _, e := range c.Errors {
		fmt.Println(colourise(red, "error:"), e)
	}
	for _, w := range c.Warnings {
		fmt.Println(colourise(yellow, "warning:"), w)
	}
	if c.Valid {
		fmt.Printf("%s %d VMs, %d instances, %d services\n", colourise(green, "valid:"), c.VMs, c.Instances, c.Services)
	}
}

func planCommand() *ff.Command {
	fs := ff.NewFlagSet("plan")
	before := fs.StringLong("before", "", "file or folder with the current register and rules")
	after := fs.StringLong("after", "", "file or folder with the new register and rules")
	asJSON := fs.BoolLong("json", "print JSON")
	return &ff.Command{
		Name:      "plan",
		Usage:     "cassiarack plan --before FOLDER --after FOLDER [--json]",
		ShortHelp: "show the effects of a change to register and rules",
		LongHelp:  "Example:\n  cassiarack plan --before published/ --after edited/",
		Flags:     fs,
		Exec: func(context.Context, []string) error {
			if *before == "" || *after == "" {
				return fmt.Errorf("%w: plan needs --before and --after", errUsage)
			}
			return plan(*before, *after, *asJSON)
		},
	}
}

func plan(before, after string, asJSON bool) error {
	var confs [2]*config.Configuration
	for i, path := range []string{before, after} {
		documents, err := inventory.Read(path)
		if err != nil {
			return err
		}
		if confs[i], err = config.Decode(config.Revision{}, documents); err != nil {
			return finding("%s:\n%v", path, err)
		}
	}
	changes := inventory.Compare(confs[0], confs[1])
	if asJSON {
		return printJSON(struct {
			Changes  []inventory.Change `json:"changes"`
			Warnings []string           `json:"warnings"`
		}{changes, inventory.Warnings(confs[1])})
	}
	for _, c := range changes {
		fmt.Printf("%s: %s\n", c.Service, c.Effect)
	}
	if len(changes) == 0 {
		fmt.Println("no change")
	}
	checkResult{Warnings: inventory.Warnings(confs[1])}.print()
	return nil
}
