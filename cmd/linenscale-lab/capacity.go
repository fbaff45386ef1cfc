package main

import (
	"os"

	"github.com/integrii/flaggy"

	"github.com/linenscale/linenscale/internal/capacity"
)

// capacityCommand measures the slopes of docs/CAPACITY.md.
type capacityCommand struct{ command *flaggy.Subcommand }

func newCapacityCommand() *capacityCommand {
	c := &capacityCommand{flaggy.NewSubcommand("capacity")}
	c.command.Description = "measure how each part's cost grows with the size of the system"
	return c
}

func (c *capacityCommand) run() error { return capacity.Report(os.Stdout) }
