// This file defines which gateways callers are sent to.

package controller

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/roster"
)

// rosterSettles is how long a control host that has just started leaves callers
// of other regions to the others: hosts of its own region are heard at once, those
// of others only a round trip and a question later.
const rosterSettles = time.Second

// Entries gives the gateways that a caller in a data centre should use for a
// host name, or none where this control host can't tell yet.
func (c *Controller) Entries(name, region, dataCentre string) []string {
	gateways := c.roster.Hosts(roster.RoleGateway)
	homes := c.table.Load().Homes(name)
	chosen, why := ChooseGateways(gateways, homes, region, dataCentre)
	if why == SameDataCentre || why == SameRegion {
		return chosen
	}
	if c.Clock().Sub(c.began) < rosterSettles {
		chosen = nil
	}
	c.Log.Info("far gateways named", zap.String("name", name), zap.String("for_region", region), zap.Stringer("why", why), zap.Int("gateways", len(chosen)))
	return chosen
}

// Proximity says why gateways were chosen for a caller.
type Proximity uint8

// The reasons, the best first.
const (
	SameDataCentre Proximity = iota // they stand in the caller's data centre
	SameRegion                      // they stand in the caller's region
	HomeRegion                      // requests bound to regions may run there
	AnyGateway                      // any is better than none
)

// String gives the word used in logs.
func (n Proximity) String() string {
	return [...]string{"data_centre", "region", "home", "none"}[n]
}

// ChooseGateways gives the addresses of the gateways for a caller: those of its data
// centre, else those of its region, else those of the regions where most of the
// host name's bound routes may run, else all. homes counts these routes by
// region. Gateways that are stopping aren't named.
func ChooseGateways(gateways []roster.Host, homes map[string]int, region, dataCentre string) ([]string, Proximity) {
	takes := slices.DeleteFunc(slices.Clone(gateways), func(h roster.Host) bool { return h.Stopping || h.Callers == "" })
	most := 0
	for _, h := range takes {
		most = max(most, homes[h.Region])
	}
	choices := [...]func(roster.Host) bool{
		SameDataCentre: func(h roster.Host) bool { return h.DataCentre == dataCentre },
		SameRegion:     func(h roster.Host) bool { return h.Region == region },
		HomeRegion:     func(h roster.Host) bool { return most > 0 && homes[h.Region] == most },
		AnyGateway:     func(roster.Host) bool { return true },
	}
	for why, choice := range choices {
		var out []string
		for _, h := range takes {
			if choice(h) {
				out = append(out, h.Callers)
			}
		}
		if len(out) > 0 {
			return out, Proximity(why)
		}
	}
	return nil, AnyGateway
}
