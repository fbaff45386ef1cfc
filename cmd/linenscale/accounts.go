// This file defines the subcommand that shows client accounts.

package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/daemon"
)

// gatewayAccounts is what one gateway shows.
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
		if *hosts == "" {
			return errors.NotValidf("no gateway: name their metrics' addresses by -H, which")
		}
		var all []gatewayAccounts
		client := &http.Client{Timeout: *timeout}
		for _, address := range strings.Split(*hosts, ",") {
			accounts, err := readMetrics[[]allowance.Status](ctx, client, address, daemon.AccountsPath)
			if err != nil {
				return errors.Annotatef(err, "gateway %s", address)
			}
			if name != "" {
				accounts = slices.DeleteFunc(accounts, func(s allowance.Status) bool { return s.Account != name })
			}
			all = append(all, gatewayAccounts{address, accounts})
		}
		return t.print(all, []string{"GATEWAY", "ACCOUNT", "MOST", "USED", "ASKED", "ADMITTED", "REFUSED", "SHARE", "HEARS", "REGIONS"}, accountRows(all))
	}}
}

// accountRows gives a table's rows.
func accountRows(all []gatewayAccounts) [][]string {
	var rows [][]string
	for _, g := range all {
		for _, s := range g.Accounts {
			units := func(n float64) string { return strconv.FormatFloat(n, 'f', 0, 64) }
			var regions []string
			for region, age := range s.Regions {
				regions = append(regions, fmt.Sprintf("%s %.1fs", region, age))
			}
			slices.Sort(regions)
			rows = append(rows, []string{
				g.Gateway, s.Account, units(s.Most), units(s.Used), units(s.Asked), units(s.Admitted), units(s.Refused),
				fmt.Sprintf("%.2f", s.Share), fmt.Sprintf("%.2f", s.Coverage), strings.Join(regions, ", "),
			})
		}
	}
	return rows
}
