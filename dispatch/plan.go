// This file plans which share of the requests of each route runs in which region. Package
// regionplan defines the plan; this file defines what is measured for it, and when it applies.

package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/regionplan"
	"github.com/linenscale/linenscale/rollup"
)

// routeDemand is what this gateway's callers lately asked for on one route of one service.
type routeDemand struct {
	tokens, shared, requests, rejected decayingRate
}

// hashRoute returns the hash that stands for a route of a service in messages.
func hashRoute(route, service string) uint32 {
	return uint32(xxhash.Sum64String(route + "\x00" + service))
}

// CountArrival counts a caller's request, before its region is chosen, as demand of this
// region. Requests that other gateways hand over are demand of their callers' regions.
func (d *Dispatcher) CountArrival(req Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	p, ok := d.pools[req.Service]
	if !ok || p.service.Model == nil {
		return
	}
	demand := d.demandOf(req)
	demand.requests.add(1, now)
	demand.tokens.add(p.expectedUnread(req.Prompt), now)
	demand.shared.add(float64(req.Prompt.sharedTokens()), now)
}

// CountRejection counts a request whose caller was rejected for lack of capacity.
func (d *Dispatcher) CountRejection(req Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.pools[req.Service]; ok && p.service.Model != nil {
		d.demandOf(req).rejected.add(1, d.Clock())
	}
}

func (d *Dispatcher) demandOf(req Request) *routeDemand {
	key := hashRoute(req.Route, req.Service)
	demand, ok := d.routeDemand[key]
	if !ok {
		demand = &routeDemand{}
		d.routeDemand[key] = demand
	}
	return demand
}

// expectedUnread returns the prompt tokens that an engine probably has to read.
func (p *pool) expectedUnread(prompt Prompt) float64 {
	return float64(prompt.InputTokens) - p.cachedShare.value()*float64(prompt.sharedTokens())
}

// shareAverage is an exponential average of shares. The zero value has none and is 0.
type shareAverage struct{ sum, weight float64 }

// shareDecay is the weight that earlier shares keep with each new one: about the last hundred
// count.
const shareDecay = 0.99

func (a *shareAverage) add(share, weight float64) {
	a.sum, a.weight = shareDecay*a.sum+share*weight, shareDecay*a.weight+weight
}

func (a *shareAverage) value() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

// minReportedDemand is the demand below which a route isn't reported: less than one short
// prompt a minute.
const minReportedDemand = 10

// ownDemand returns the demand of this gateway's callers, and forgets routes without any.
func (d *Dispatcher) ownDemand(now time.Time) []rollup.RouteDemand {
	var out []rollup.RouteDemand
	for key, demand := range d.routeDemand {
		r := rollup.RouteDemand{Route: key, Tokens: int(demand.tokens.perSecond(now)), Shared: int(demand.shared.perSecond(now)), Requests: int(100 * demand.requests.perSecond(now)), Rejected: int(100 * demand.rejected.perSecond(now))}
		if r.Tokens < minReportedDemand && r.Requests == 0 && r.Rejected == 0 {
			delete(d.routeDemand, key)
			continue
		}
		out = append(out, r)
	}
	return out
}

// regionDemand returns the demand of all callers of this region, by route.
func (d *Dispatcher) regionDemand(now time.Time) map[uint32]rollup.RouteDemand {
	sums := make(map[uint32]rollup.RouteDemand)
	for key, others := range d.peerDemand {
		sums[key] = others
	}
	for _, own := range d.ownDemand(now) {
		sum := sums[own.Route]
		sums[own.Route] = rollup.RouteDemand{Route: own.Route, Tokens: sum.Tokens + own.Tokens, Shared: sum.Shared + own.Shared, Requests: sum.Requests + own.Requests, Rejected: sum.Rejected + own.Rejected}
	}
	return sums
}

// regionDemandReport is regionDemand for the report to other regions.
func (d *Dispatcher) regionDemandReport(now time.Time) []rollup.RouteDemand {
	var out []rollup.RouteDemand
	for _, demand := range d.regionDemand(now) {
		out = append(out, demand)
	}
	return out
}

// updatePlans computes the plan of each service with a model. The lock is held.
func (d *Dispatcher) updatePlans(now time.Time) {
	demands := map[string]map[uint32]rollup.RouteDemand{d.Region: d.regionDemand(now)}
	for region, remote := range d.remotes {
		if remote.isFresh(now) {
			demands[region] = remote.routeDemand
		}
	}
	for _, p := range d.pools {
		if p.service.Model == nil || len(d.remotes) == 0 {
			continue
		}
		planned := p.plan.IsNeeded()
		p.plan = p.plan.Next(d.planRegions(p, now), d.planFlows(p.service.Name, demands))
		if needed := p.plan.IsNeeded(); needed != planned {
			d.Log.Info("plan of regions changed", zap.String("service", p.service.Name), zap.Bool("needed", needed), zap.Stringer("plan", p.plan))
		}
	}
}

// planRegions returns the regions whose engines a plan may use. The capacity is in prompt
// tokens per second, if the engines did nothing but read. All engines are taken for equally
// fast: a region's engines seem slower the busier they are, and a plan by such differences
// would swing with the load that it moves. The median of what the regions estimate excludes
// one that is wrong.
func (d *Dispatcher) planRegions(p *pool, now time.Time) []regionplan.Region {
	engines := map[string]int{d.Region: p.readyEngines}
	readTimes := []time.Duration{p.throughput.current().ReadPerToken}
	for name, remote := range d.remotes {
		if digest, ok := remote.digests[p.service.Name]; ok && remote.isFresh(now) {
			engines[name] = digest.Engines
			readTimes = append(readTimes, digest.Throughput.ReadPerToken)
		}
	}
	slices.Sort(readTimes)
	perToken := readTimes[len(readTimes)/2]
	if perToken <= 0 {
		return nil
	}
	var out []regionplan.Region
	for name, n := range engines {
		out = append(out, regionplan.Region{Name: name, Capacity: float64(n) * float64(time.Second) / float64(perToken)})
	}
	return out
}

// minSharedShare is the share of a route's work, if all shared prompt blocks were read, from
// which on it matters where they are cached.
const minSharedShare = 0.4

// planFlows returns the demand on a service's routes, by the region of the callers.
func (d *Dispatcher) planFlows(service string, demands map[string]map[uint32]rollup.RouteDemand) []regionplan.Flow {
	var out []regionplan.Flow
	for _, route := range d.catalog.RoutesOf(service) {
		key := hashRoute(route.Name, service)
		tokens, shared := 0, 0
		for _, demand := range demands {
			tokens += demand[key].Tokens
			shared += demand[key].Shared
		}
		cached := float64(shared) > minSharedShare*float64(tokens)
		for region, demand := range demands {
			if tokens := demand[key].Tokens; tokens > 0 {
				out = append(out, regionplan.Flow{Source: region, Route: route.Name, Work: float64(tokens), Permitted: route.PermitsRegion, Cached: cached})
			}
		}
	}
	return out
}

// plannedRegion returns the region where the plan places a request of this region's callers;
// "" if nothing is planned for it. usable reports whether a region can be chosen now.
func (d *Dispatcher) plannedRegion(p *pool, req Request, usable func(region string) bool) string {
	if !p.plan.IsNeeded() {
		return ""
	}
	key := req.Prompt.AffinityKey()
	if key == "" {
		key = req.ID
	}
	return regionplan.Pick(p.plan.Shares(d.Region, req.Route), hashString(key), usable)
}

// placeByPlan returns the placement that the plan gives a request. It returns false if nothing
// is planned for the request, or if it wouldn't be admitted in the planned region. local is
// its placement in this region.
func (d *Dispatcher) placeByPlan(p *pool, req Request, local Placement, reachable []string, now time.Time) (Placement, bool) {
	region := d.plannedRegion(p, req, func(region string) bool {
		if region == d.Region {
			return local.LocalCost >= 0 && local.Refusal == nil
		}
		return slices.Contains(reachable, region)
	})
	switch region {
	case "":
		return Placement{}, false
	case d.Region:
		p.throughput.trials = trials{}
		local.IsPlanned = true
		return local, true
	}
	remote, ok := d.remotes[region]
	if !ok || !remote.isFresh(now) || remote.digests[p.service.Name].Engines == 0 || remote.lacksVersion(req.Origin) {
		return Placement{}, false
	}
	in := remote.costInputs(req, p.throughput.current(), true, now)
	in.usualError = p.throughput.usualError()
	s := estimate(in, req, d.roundTrip(region))
	if s.late {
		return Placement{}, false
	}
	return Placement{Region: region, LocalCost: local.LocalCost, Cost: s.cost + remoteCost, Queue: s.queue, IsHome: true, IsPlanned: true}, true
}
