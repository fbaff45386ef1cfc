// Command linenscale-lab runs the stand-ins of an association, generates load for a
// running system, and benchmarks routing decisions and the cost of growth in process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/linenscale/linenscale/lab"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/standin"
)

func main() {
	flaggy.SetName("linenscale-lab")
	flaggy.SetDescription("stand-ins for engines, services, the platform and the network; all on loopback")
	serve := flaggy.NewSubcommand("serve")
	serve.Description = "run every stand-in that the settings and declarations name"
	path := ""
	opts := lab.Options{Engine: standin.EngineOptions{PrefillPerByte: 2 * time.Microsecond}}
	serve.String(&path, "s", "settings", "path of the YAML settings file")
	serve.String(&opts.Control, "c", "control", "address that takes POST /cut?region=…&cut=true")
	serve.Duration(&opts.Delay, "d", "delay", "one-way delay between regions")
	serve.Duration(&opts.PlatformLag, "p", "platform-lag", "how far the platform's list lags")
	serve.Duration(&opts.Engine.ReportLag, "r", "report-lag", "how far engines' load reports lag")
	serve.Duration(&opts.Engine.TokenTime, "t", "token-time", "between tokens of a stream")
	serve.Duration(&opts.PlainTime, "w", "plain-time", "that a plain service takes for a call")
	flaggy.AttachSubcommand(serve, 1)
	load := newLoadCommand()
	flaggy.AttachSubcommand(load.command, 1)
	decisions := newDecisionsCommand()
	flaggy.AttachSubcommand(decisions.command, 1)
	placement := newPlacementCommand()
	flaggy.AttachSubcommand(placement.command, 1)
	capacity := newCapacityCommand()
	flaggy.AttachSubcommand(capacity.command, 1)
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case serve.Used:
		var s settings.Settings
		if s, err = settings.Read(path); err == nil {
			err = lab.Run(ctx, s, opts)
		}
	case load.command.Used:
		err = load.run(ctx)
	case decisions.command.Used:
		err = decisions.run()
	case placement.command.Used:
		err = placement.run()
	case capacity.command.Used:
		err = capacity.run()
	default:
		flaggy.ShowHelpAndExit("name a subcommand")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
