// This file defines the subcommand that shows client accounts.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// accountsLimit bounds an answer: some 300 bytes for each of 14,000 accounts.
const accountsLimit = 16 << 20

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
			accounts, err := readAccounts(ctx, client, address)
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

func readAccounts(ctx context.Context, client *http.Client, address string) ([]allowance.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+daemon.AccountsPath, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("answered with status %d: is it a gateway's address of metrics?", resp.StatusCode)
	}
	var out []allowance.Status
	err = json.NewDecoder(io.LimitReader(resp.Body, accountsLimit)).Decode(&out)
	return out, errors.Annotate(err, "accounts")
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
