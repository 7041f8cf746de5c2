// Package hangup delivers SIGHUP, on which a program reads its settings again.
//
// The default action of SIGHUP ends the process. The operator may change the
// settings, and signal it, while a process is starting, so the signal is caught
// when this package is initialised. It imports little, so that this happens before
// the larger packages of a program are initialised.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = catch()

// catch starts the delivery of SIGHUP. One signal is kept until it is received;
// more would ask for the same.
func catch() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns the channel on which SIGHUP is delivered, also during a shutdown.
// A process has one receiver.
func Signals() <-chan os.Signal { return signals }
