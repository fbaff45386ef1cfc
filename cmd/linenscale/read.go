// This file defines the subcommands that read from an entry host and change nothing.

package main

import (
	"context"
	"fmt"
	"net/url"
	"sort"
	"strconv"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/linenscale/linenscale/declare"
)

func getCommand() subcommand {
	kind := ""
	c := flaggy.NewSubcommand("get")
	c.Description = "print the objects of the configuration in force"
	c.AddPositionalValue(&kind, "kind", 1, false, "Region, DataCentre, Host, Service, Engine or Selector; all if left out")
	return subcommand{c, func(ctx context.Context, t *tool) error {
		config, err := t.client.Config(ctx)
		if err != nil {
			return err
		}
		var objects []declare.Envelope
		var rows [][]string
		for _, object := range config.Objects() {
			if kind != "" && string(object.Ref().Kind) != kind {
				continue
			}
			objects = append(objects, declare.Envelope{Object: object})
			rows = append(rows, []string{string(object.Ref().Kind), object.Ref().Name, describe(object)})
		}
		return t.print(objects, []string{"KIND", "NAME", "DETAIL"}, rows)
	}}
}

func describe(object declare.Object) string {
	switch o := object.(type) {
	case declare.DataCentre:
		return "region " + o.Region
	case declare.Host:
		return fmt.Sprintf("%s callers %s %s", o.DataCentre, o.Callers, o.State)
	case declare.Service:
		return fmt.Sprintf("%s %v", o.Type, o.Models)
	case declare.Engine:
		return fmt.Sprintf("%s %s %s slots %d %s", o.Service, o.DataCentre, o.Address, o.Slots, o.State)
	case declare.Selector:
		return fmt.Sprintf("%s: %q -> %q", o.Service, o.Match, o.Allow)
	default:
		return ""
	}
}

func statusCommand() subcommand {
	c := flaggy.NewSubcommand("status")
	c.Description = "print the revision in force by data centre, the voters and the leader"
	return subcommand{c, func(ctx context.Context, t *tool) error {
		status, err := t.client.Status(ctx)
		if err != nil {
			return err
		}
		if t.output == "table" {
			fmt.Printf("revision %d, leader %s (reached: %t), term %d, pending change: %q\nvoters %v, learners %v\n\n",
				status.Revision, status.Leader, status.LeaderReached, status.Term, status.Pending, status.Voters, status.Learners)
		}
		return t.print(status, []string{"REGION", "DATA CENTRE", "HOST", "READY", "REVISION", "IN FLIGHT", "KEYS", "AGE"}, hostRows(status.Hosts))
	}}
}

func hostsCommand() subcommand {
	c := flaggy.NewSubcommand("hosts")
	c.Description = "print the entry hosts that have reported lately"
	return subcommand{c, func(ctx context.Context, t *tool) error {
		status, err := t.client.Status(ctx)
		if err != nil {
			return err
		}
		return t.print(status.Hosts, []string{"REGION", "DATA CENTRE", "HOST", "READY", "REVISION", "IN FLIGHT", "KEYS", "AGE"}, hostRows(status.Hosts))
	}}
}

func historyCommand() subcommand {
	after := 0
	c := flaggy.NewSubcommand("history")
	c.Description = "print the accepted changes"
	c.Int(&after, "a", "after", "only those after this revision")
	return subcommand{c, func(ctx context.Context, t *tool) error {
		records, err := t.client.History(ctx, uint64(max(0, after)))
		if err != nil {
			return err
		}
		var rows [][]string
		for _, r := range records {
			rows = append(rows, []string{strconv.FormatUint(r.Revision, 10), r.At.Format(time.RFC3339), r.Author, r.ID, fmt.Sprint(len(r.Objects))})
		}
		return t.print(records, []string{"REVISION", "AT", "AUTHOR", "ID", "OBJECTS"}, rows)
	}}
}

// pollInterval is the time between two polls of an engine's drain status.
const pollInterval = 250 * time.Millisecond

func waitCommand() subcommand {
	engine := ""
	timeout := 10 * time.Minute
	c := flaggy.NewSubcommand("wait")
	c.Description = "wait until an engine that is being stopped is empty"
	c.AddPositionalValue(&engine, "engine", 1, true, "name of the engine")
	c.Duration(&timeout, "l", "longest", "longest wait")
	return subcommand{c, func(ctx context.Context, t *tool) error {
		deadline := time.Now().Add(timeout)
		for {
			drain, err := t.client.Drain(ctx, engine)
			if err == nil && drain.IsDrained() {
				return t.print(drain, []string{"ENGINE", "IN FLIGHT"}, [][]string{{engine, "0, and gets nothing new"}})
			}
			if err == nil && !drain.Stopping {
				return errors.Errorf("engine %q is not being stopped; say: linenscale label %s state=stopping", engine, engine)
			}
			if time.Now().After(deadline) {
				return errors.Errorf("engine %q is not empty: %d in flight, not asked: %v, %v", engine, drain.InFlight, drain.Unknown, err)
			}
			time.Sleep(pollInterval)
		}
	}}
}

func explainCommand() subcommand {
	service, home, account, class, model := "", "", "", "standard", ""
	c := flaggy.NewSubcommand("explain")
	c.Description = "show what the asked host would choose for a request, and why"
	c.AddPositionalValue(&service, "service", 1, true, "service asked for")
	c.AddPositionalValue(&home, "home", 2, true, "member's home region")
	c.String(&account, "a", "account", "account")
	c.String(&class, "c", "class", "interactive, standard or batch")
	c.String(&model, "m", "model", "model asked for")
	return subcommand{c, func(ctx context.Context, t *tool) error {
		query := url.Values{"service": {service}, "home": {home}, "account": {account}, "class": {class}, "model": {model}}
		explanation, err := t.client.Explain(ctx, query)
		if err != nil {
			return err
		}
		if t.output == "table" {
			fmt.Printf("revision %d; lease: %q; this region: %q\n", explanation.Revision, explanation.LeaseDenial, explanation.RegionDenial)
			for _, r := range explanation.Regions {
				fmt.Printf("region %s: permitted %t, cut off %t, load %d of %d, round trip %v\n", r.Region, r.Permitted, r.Cut, r.Load, r.Slots, r.RoundTrip.Round(time.Microsecond))
			}
		}
		sort.Slice(explanation.Engines, func(i, j int) bool { return explanation.Engines[i].Score < explanation.Engines[j].Score })
		var rows [][]string
		for _, x := range explanation.Engines {
			rows = append(rows, []string{x.Engine, x.Exclusion, x.Score.Round(time.Microsecond).String(), fmt.Sprintf("%.1f of %d", x.Load, x.Slots), x.Health})
		}
		return t.print(explanation, []string{"ENGINE", "STANDING", "SCORE", "LOAD", "HEALTH"}, rows)
	}}
}
