// This file defines the subcommand that shows the rate limits that engines announce.

package main

import (
	"context"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"github.com/linenscale/linenscale/daemon"
	"github.com/linenscale/linenscale/dispatch"
)

// gatewayLimits is the status of engines' rate limits at one gateway.
type gatewayLimits struct {
	Gateway string                 `json:"gateway"`
	Limits  []dispatch.LimitStatus `json:"limits"`
}

func limitsCommand(hosts *string, timeout *time.Duration) subcommand {
	command := flaggy.NewSubcommand("limits")
	command.Description = "engines that name how many requests a second they take, as gateways know them; -H names their metrics' addresses"
	return subcommand{command, func(ctx context.Context, t *tool) error {
		all, err := readGateways(ctx, *hosts, *timeout, daemon.LimitsPath, func(gateway string, limits []dispatch.LimitStatus) gatewayLimits {
			return gatewayLimits{gateway, limits}
		})
		if err != nil {
			return err
		}
		return t.print(all, []string{"GATEWAY", "ENGINE", "SERVICE", "LIMIT", "SHARE", "SHARERS", "AGE", "SENT", "KEPT AWAY"}, limitRows(all))
	}}
}

// limitRows returns one table row per gateway and engine.
func limitRows(all []gatewayLimits) [][]string {
	var rows [][]string
	for _, g := range all {
		for _, l := range g.Limits {
			rate := func(perSecond float64) string { return strconv.FormatFloat(perSecond, 'f', 2, 64) }
			rows = append(rows, []string{
				g.Gateway, l.Engine, l.Service, rate(l.PerSecond), rate(l.Share), strconv.Itoa(l.Sharers),
				l.Age.Round(time.Millisecond).String(), strconv.Itoa(l.Sent), strconv.Itoa(l.Excluded),
			})
		}
	}
	return rows
}
