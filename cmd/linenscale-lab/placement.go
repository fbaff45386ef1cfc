package main

import (
	"os"

	"github.com/integrii/flaggy"

	"github.com/linenscale/linenscale/internal/dispatchbench"
)

// placementCommand compares the choices of package dispatch with baselines. See package
// dispatchbench.
type placementCommand struct {
	command       *flaggy.Subcommand
	seed          uint64
	skipBaselines bool
}

func newPlacementCommand() *placementCommand {
	c := &placementCommand{command: flaggy.NewSubcommand("placement"), seed: 1}
	c.command.Description = "compare the choices of regions and engines on large sites with baselines, in virtual time"
	c.command.UInt64(&c.seed, "r", "seed", "of the arrivals")
	c.command.Bool(&c.skipBaselines, "o", "ours", "leave the baselines out")
	return c
}

func (c *placementCommand) run() error {
	for _, t := range dispatchbench.CompareStrategies(c.seed, c.skipBaselines) {
		if err := t.Write(os.Stdout); err != nil {
			return err
		}
	}
	return nil
}
