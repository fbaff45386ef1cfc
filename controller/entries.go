// This file chooses the gateways that callers are directed to.

package controller

import (
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/entryweight"
	"github.com/linenscale/linenscale/roster"
)

// rosterSettleTime is how long after its start a control host names no gateways to
// callers of other regions. By then the gateways have called it: those of its own region
// at once, those of other regions only after a round trip and a Sync call.
const rosterSettleTime = time.Second

// Entries returns the addresses of the gateways that a caller in a data centre should use
// for the host name, or none if this control host doesn't know enough gateways yet.
func (c *Controller) Entries(name, region, dataCentre string) []string {
	gateways := c.roster.Hosts(roster.RoleGateway)
	homes := c.table.Load().BoundRoutesByRegion(name)
	candidates, why := ChooseGateways(gateways, homes, region, dataCentre)
	chosen := c.drawEntries(candidates)
	if why == SameDataCentre || why == SameRegion {
		return chosen
	}
	if c.Clock().Sub(c.startedAt) < rosterSettleTime {
		chosen = nil
	}
	c.Log.Info("caller directed to gateways outside its region", zap.String("name", name), zap.String("for_region", region), zap.Stringer("why", why), zap.Int("gateways", len(chosen)), zap.Int("of", len(candidates)))
	return chosen
}

// MaxEntries is the maximum number of addresses that callers accept.
const MaxEntries = 64

// drawEntries draws the gateways of one answer, so that over many answers callers follow
// the capacity of each, and returns their addresses.
func (c *Controller) drawEntries(candidates []roster.Host) []string {
	now := c.Clock()
	states := make([]entryweight.Gateway, len(candidates))
	for i, h := range candidates {
		states[i] = entryweight.Gateway{Size: h.Size, Load: h.Load, Age: now.Sub(c.roster.LastHeard(h.Name))}
	}
	var out []string
	for _, i := range entryweight.Draw(states, MaxEntries, c.Random()) {
		out = append(out, candidates[i].Callers)
	}
	return out
}

// Proximity is why gateways were chosen for a caller.
type Proximity uint8

// From the closest to the most distant.
const (
	SameDataCentre Proximity = iota // in the caller's data centre
	SameRegion                      // in the caller's region
	HomeRegion                      // in a region where most of the routes with home regions may run
	AnyGateway                      // anywhere
)

// String returns the value used in logs.
func (p Proximity) String() string {
	return [...]string{"data_centre", "region", "home", "none"}[p]
}

// ChooseGateways returns the gateways for a caller: those in its data centre, else those in its
// region, else those in the regions where most of the host name's routes with home
// regions may run, else all. homes counts those routes by region. Gateways that are
// stopping are excluded.
func ChooseGateways(gateways []roster.Host, homes map[string]int, region, dataCentre string) ([]roster.Host, Proximity) {
	eligible := func(h roster.Host) bool { return !h.Stopping && h.Callers != "" }
	most := 0
	for _, h := range gateways {
		if eligible(h) {
			most = max(most, homes[h.Region])
		}
	}
	preferences := [...]func(roster.Host) bool{
		SameDataCentre: func(h roster.Host) bool { return h.DataCentre == dataCentre },
		SameRegion:     func(h roster.Host) bool { return h.Region == region },
		HomeRegion:     func(h roster.Host) bool { return most > 0 && homes[h.Region] == most },
		AnyGateway:     func(roster.Host) bool { return true },
	}
	for why, matches := range preferences {
		var out []roster.Host
		for _, h := range gateways {
			if matches(h) && eligible(h) {
				out = append(out, h)
			}
		}
		if len(out) > 0 {
			return out, Proximity(why)
		}
	}
	return nil, AnyGateway
}
