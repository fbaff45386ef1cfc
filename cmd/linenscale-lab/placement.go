package main

import (
	"os"

	"github.com/integrii/flaggy"

	"github.com/linenscale/linenscale/internal/dispatchbench"
)

// placementCommand compares the choices of package dispatch with baselines.
type placementCommand struct {
	command *flaggy.Subcommand
	seed    uint64
	ours    bool
}

func newPlacementCommand() *placementCommand {
	c := &placementCommand{command: flaggy.NewSubcommand("placement"), seed: 1}
	c.command.Description = "compare the choices of regions and engines on large sites with baselines, in virtual time"
	c.command.UInt64(&c.seed, "r", "seed", "of the arrivals")
	c.command.Bool(&c.ours, "o", "ours", "leave the baselines out")
	return c
}

func (c *placementCommand) run() error {
	for _, t := range dispatchbench.CompareStrategies(c.seed, c.ours) {
		if err := t.Write(os.Stdout); err != nil {
			return err
		}
	}
	return nil
}
