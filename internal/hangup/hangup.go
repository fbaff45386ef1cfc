// Package hangup receives SIGHUP from the earliest moment at which a Go process can. Until
// it has asked for the signal, SIGHUP ends a process, and the packages of a program take
// some milliseconds to initialise, on a busy processor some tens. This package imports so
// little that it is initialised before most others. Importing it is enough.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = subscribe()

func subscribe() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Signals returns the channel of hangups. It holds one that hasn't been received yet; further
// ones until then are dropped.
func Signals() <-chan os.Signal { return signals }

// Stop makes SIGHUP end the process again.
func Stop() { signal.Stop(signals) }
