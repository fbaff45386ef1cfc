package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/linenscale/linenscale/trace"
)

// traceCommand follows one request through the logs of many processes.
func traceCommand() subcommand {
	c := flaggy.NewSubcommand("trace")
	c.Description = "follows a request through log files, with what was believed of the engines and hosts that it met"
	id, files := "", []string{}
	c.AddPositionalValue(&id, "request", 1, true, "ID of the request")
	c.StringSlice(&files, "f", "file", "log file; may be given often; default standard input")
	return subcommand{c, func(context.Context, *tool) error { return follow(id, files) }}
}

func follow(id string, files []string) error {
	var lines []trace.Line
	if len(files) == 0 {
		var err error
		if lines, err = trace.Read(os.Stdin); err != nil {
			return errors.Trace(err)
		}
	}
	for _, name := range files {
		more, err := readLog(name)
		if err != nil {
			return errors.Annotate(err, name)
		}
		lines = append(lines, more...)
	}
	found := trace.Follow(lines, id)
	if len(found) == 0 {
		return errors.NotFoundf("request %q in %d lines", id, len(lines))
	}
	for _, l := range found {
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
