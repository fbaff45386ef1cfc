package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/linenscale/linenscale/trace"
)

// traceCommand returns the subcommand that prints the log lines of one request, and of
// the engines and hosts that it passed, from the logs of several processes.
func traceCommand() subcommand {
	c := flaggy.NewSubcommand("trace")
	c.Description = "follows a request through log files, with what was believed of the engines and hosts that it met"
	id, files := "", []string{}
	c.AddPositionalValue(&id, "request", 1, true, "ID of the request")
	c.StringSlice(&files, "f", "file", "log file; may be given often; default standard input")
	return subcommand{c, func(context.Context, *tool) error { return printTrace(id, files) }}
}

func printTrace(id string, files []string) error {
	var lines []trace.Line
	if len(files) == 0 {
		var err error
		if lines, err = trace.Read(os.Stdin); err != nil {
			return errors.Trace(err)
		}
	}
	for _, name := range files {
		logLines, err := readLog(name)
		if err != nil {
			return errors.Annotate(err, name)
		}
		lines = append(lines, logLines...)
	}
	matching := trace.Follow(lines, id)
	if len(matching) == 0 {
		return errors.NotFoundf("request %q in %d lines", id, len(lines))
	}
	for _, l := range matching {
		fmt.Println(l.Text)
	}
	return nil
}

func readLog(name string) ([]trace.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer file.Close()
	return trace.Read(file)
}
