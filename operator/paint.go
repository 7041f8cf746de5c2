package main

import "os"

// colour is an escape sequence of a terminal.
type colour string

const (
	red        colour = "\x1b[31m"
	green      colour = "\x1b[32m"
	yellow     colour = "\x1b[33m"
	resetStyle colour = "\x1b[0m"
)

// colourise colours s if standard output is a terminal and NO_COLOR is not set.
func colourise(c colour, s string) string {
	if !isTerminal(os.Stdout) || os.Getenv("NO_COLOR") != "" {
		return s
	}
	return string(c) + s + string(resetStyle)
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
