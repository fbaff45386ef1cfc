// This file defines the subcommand that shows the allowances of client accounts.

package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/daemon"
)

// gatewayAccounts is the status of client accounts at one gateway.
type gatewayAccounts struct {
	Gateway  string             `json:"gateway"`
	Accounts []allowance.Status `json:"accounts"`
}

func accountsCommand(hosts *string, timeout *time.Duration) subcommand {
	name := ""
	command := flaggy.NewSubcommand("accounts")
	command.Description = "what gateways know of client accounts' allowances; -H names their metrics' addresses"
	command.String(&name, "n", "name", "only this account")
	return subcommand{command, func(ctx context.Context, t *tool) error {
		all, err := readGateways(ctx, *hosts, *timeout, daemon.AccountsPath, func(gateway string, accounts []allowance.Status) gatewayAccounts {
			if name != "" {
				accounts = slices.DeleteFunc(accounts, func(s allowance.Status) bool { return s.Account != name })
			}
			return gatewayAccounts{gateway, accounts}
		})
		if err != nil {
			return err
		}
		return t.print(all, []string{"GATEWAY", "ACCOUNT", "MOST", "USED", "ASKED", "ADMITTED", "REFUSED", "SHARE", "HEARS", "REGIONS"}, accountRows(all))
	}}
}

// accountRows returns one table row per gateway and account.
func accountRows(all []gatewayAccounts) [][]string {
	var rows [][]string
	for _, g := range all {
		for _, s := range g.Accounts {
			units := func(n float64) string { return strconv.FormatFloat(n, 'f', 0, 64) }
			var regions []string
			for region, age := range s.RegionAges {
				regions = append(regions, fmt.Sprintf("%s %.1fs", region, age))
			}
			slices.Sort(regions)
			rows = append(rows, []string{
				g.Gateway, s.Account, units(s.Limit), units(s.Used), units(s.Requested), units(s.Admitted), units(s.Rejected),
				fmt.Sprintf("%.2f", s.Share), fmt.Sprintf("%.2f", s.Coverage), strings.Join(regions, ", "),
			})
		}
	}
	return rows
}
