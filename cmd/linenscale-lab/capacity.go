package main

import (
	"os"

	"github.com/integrii/flaggy"

	"github.com/linenscale/linenscale/internal/capacity"
)

// capacityCommand prints the measurements of package capacity, on which docs/CAPACITY.md
// is based.
type capacityCommand struct{ command *flaggy.Subcommand }

func newCapacityCommand() *capacityCommand {
	c := &capacityCommand{flaggy.NewSubcommand("capacity")}
	c.command.Description = "measure how each part's cost grows with the size of the system"
	return c
}

func (c *capacityCommand) run() error { return capacity.Report(os.Stdout) }
