// Command stand2 plays the scripted cases of the second review: it starts the project's own
// programs as processes on loopback addresses, with stand-ins for clients, engines and the
// operator, and checks one rule from what these see.
//
// It is called as stand2 CASE FOLDER, where record.txt is written to FOLDER. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is wrapped by the error of a case whose rule was broken. Any other error means that
// the case couldn't run.
var errBroken = errors.New("rule broken")

// testCase plays one case. trouble is false if the disruption is left out.
type testCase func(d *deployment, trouble bool) error

var cases = map[string]testCase{
	"continued-twice": continuedTwice,
	"early-reply":     earlyReply,
	"late-end":        lateEnd,
	"stale-handover":  staleHandover,
}

// maxTime ends a case that hangs.
const maxTime = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(c testCase, folder string, trouble bool) int {
	rec, err := newRecorder(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d, err := newDeployment(rec, "target/linenscaled")
	if err != nil {
		rec.printf("not run: %v", err)
		return exitNotRun
	}
	defer d.stop()
	done := make(chan error, 1)
	go func() { done <- c(d, trouble) }()
	select {
	case err = <-done:
	case <-time.After(maxTime):
		err = errors.New("the case took too long")
	}
	switch {
	case err == nil:
		rec.printf("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.printf("%v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitBroken
	default:
		rec.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
}
