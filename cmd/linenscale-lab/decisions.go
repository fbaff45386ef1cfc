package main

import (
	"os"

	"github.com/integrii/flaggy"

	"github.com/linenscale/linenscale/internal/bench"
)

// decisionsCommand compares routing decisions with baselines and writes plots. See
// package bench.
type decisionsCommand struct {
	command *flaggy.Subcommand
	dir     string
}

func newDecisionsCommand() *decisionsCommand {
	c := &decisionsCommand{command: flaggy.NewSubcommand("decisions"), dir: "docs/plots"}
	c.command.Description = "compare the decisions of routing with baselines, in virtual time"
	c.command.String(&c.dir, "d", "dir", "folder for the plots")
	return c
}

func (c *decisionsCommand) run() error { return bench.Report(os.Stdout, c.dir) }
