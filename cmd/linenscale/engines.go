// This file defines the subcommand that shows which engines gateways exclude, and why.

package main

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"github.com/linenscale/linenscale/daemon"
	"github.com/linenscale/linenscale/dispatch"
)

// gatewayEngines is the status of engines at one gateway.
type gatewayEngines struct {
	Gateway string                  `json:"gateway"`
	Engines []dispatch.EngineStatus `json:"engines"`
}

func enginesCommand(hosts *string, timeout *time.Duration) subcommand {
	onlyExcluded := false
	command := flaggy.NewSubcommand("engines")
	command.Description = "engines as gateways know them, why each gets nothing and until when; -H names their metrics' addresses"
	command.Bool(&onlyExcluded, "b", "barred", "only engines that get nothing")
	return subcommand{command, func(ctx context.Context, t *tool) error {
		all, err := readGateways(ctx, *hosts, *timeout, daemon.EnginesPath, func(gateway string, engines []dispatch.EngineStatus) gatewayEngines {
			if onlyExcluded {
				engines = slices.DeleteFunc(engines, func(e dispatch.EngineStatus) bool { return e.Exclusion == "" })
			}
			return gatewayEngines{gateway, engines}
		})
		if err != nil {
			return err
		}
		return t.print(all, []string{"GATEWAY", "ENGINE", "SERVICE", "WHY NOT", "SINCE", "ENDS IN", "REQUESTS", "OTHERS", "SPEED", "TOKEN", "RESTS ASKED", "KEPT AWAY", "SENT IN SPITE"}, engineRows(all))
	}}
}

// engineRows returns one table row per gateway and engine.
func engineRows(all []gatewayEngines) [][]string {
	var rows [][]string
	for _, g := range all {
		for _, e := range g.Engines {
			rows = append(rows, []string{
				g.Gateway, e.Engine, e.Service, e.Exclusion, formatDuration(e.ExcludedFor), formatDuration(e.ExclusionEndsIn), strconv.Itoa(e.Requests), strconv.Itoa(e.PeerRequests),
				strconv.FormatFloat(e.Speed, 'f', 2, 64), e.TokenTime.Round(10 * time.Microsecond).String(),
				strconv.Itoa(e.Backoffs), strconv.Itoa(e.Excluded), strconv.Itoa(e.Overridden),
			})
		}
	}
	return rows
}

// formatDuration formats a duration for a table, rounded to milliseconds. Zero means
// unknown or none and becomes "".
func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.Round(time.Millisecond).String()
}
