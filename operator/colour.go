package main

import "os"

// colour is an ANSI escape sequence that sets or resets the text colour of a
// terminal.
type colour string

const (
	red        colour = "\x1b[31m"
	green      colour = "\x1b[32m"
	yellow     colour = "\x1b[33m"
	resetStyle colour = "\x1b[0m"
)

// colourise wraps s in the escape sequences of c. It returns s unchanged if
// standard output is not a terminal or NO_COLOR is set.
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
