// This file plans which share of the requests of each class runs in which region. Package
// regionplan defines the plan; this file defines what is measured for it, and when it applies.

package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/regionplan"
	"github.com/linenscale/linenscale/rollup"
)

// demandClass is the requests of one service that are alike for the decisions of gateways:
// those with the same priority of all routes with the same homes and target. Catalogs have
// thousands of routes and few classes.
type demandClass struct {
	id       uint32
	priority int
	route    catalog.Route // one of the class
}

// ClassID returns the number that stands in messages for the class of a route's requests with
// a priority.
func ClassID(route catalog.Route, service string, priority int) uint32 {
	homes := slices.Sorted(slices.Values(route.Homes))
	return uint32(hashString(fmt.Sprintf("%s\x00%s\x00%d\x00%d", service, strings.Join(homes, ","), priority, route.Target)))
}

// routePriority is a route and a priority that its requests may have.
type routePriority struct {
	route    string
	priority int
}

// applyRoutes finds the classes of the service's requests. The priorities of accounts replace
// those of routes.
func (p *pool) applyRoutes(routes []catalog.Route, accounts []catalog.Account) {
	p.classes, p.classByRoute = nil, make(map[routePriority]uint32, len(routes))
	known := make(map[uint32]bool)
	for _, route := range routes {
		priorities := []int{route.Priority}
		for _, account := range accounts {
			if own := account.PriorityOn(route); !slices.Contains(priorities, own) {
				priorities = append(priorities, own)
			}
		}
		for _, priority := range priorities {
			id := ClassID(route, p.service.Name, priority)
			p.classByRoute[routePriority{route.Name, priority}] = id
			if !known[id] {
				known[id] = true
				p.classes = append(p.classes, demandClass{id, priority, route})
			}
		}
	}
}

// classOf returns the class of a request; false if its route isn't in this gateway's catalog.
func (p *pool) classOf(req Request) (uint32, bool) {
	class, ok := p.classByRoute[routePriority{req.Route, req.Priority}]
	return class, ok
}

// callerDemand is what this gateway's callers lately asked for in one class.
type callerDemand struct {
	tokens, shared, requests decayingRate
}

// CountArrival counts a caller's request, before its region is chosen, as demand of this
// region.
func (d *Dispatcher) CountArrival(req Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	demand := d.countRequest(req, now)
	p := d.pools[req.Service]
	if demand == nil || p.service.Model == nil {
		return
	}
	prompt := min(max(0, req.Prompt.InputTokens), p.service.Model.CacheTokens)
	shared := min(max(0, req.Prompt.sharedTokens()), prompt)
	demand.tokens.add(float64(prompt)-p.cachedShare.value()*float64(shared), now)
	demand.shared.add(float64(shared), now)
}

// CountHandover counts a request that a gateway of another region has handed over. Its work is
// demand of its caller's region, but the request asks for room here.
func (d *Dispatcher) CountHandover(req Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countRequest(req, d.Clock())
}

// countRequest counts a request in its class, and returns the class's demand; nil if it has no
// class. The lock is held.
func (d *Dispatcher) countRequest(req Request, now time.Time) *callerDemand {
	p, ok := d.pools[req.Service]
	if !ok {
		return nil
	}
	class, ok := p.classOf(req)
	if !ok {
		return nil
	}
	demand, ok := d.callerDemand[class]
	if !ok {
		demand = &callerDemand{}
		d.callerDemand[class] = demand
	}
	demand.requests.add(1, now)
	return demand
}

// shareAverage is an exponential average of shares. The zero value has none and is 0.
type shareAverage struct{ sum, weight float64 }

// shareDecay is the weight that earlier shares keep with each new one: about the last hundred
// count.
const shareDecay = 0.99

func (a *shareAverage) add(share float64) {
	a.sum, a.weight = shareDecay*a.sum+share, shareDecay*a.weight+1
}

func (a *shareAverage) value() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

// ownDemand returns the demand of this gateway's callers, and forgets classes without any. The
// lock is held.
func (d *Dispatcher) ownDemand(now time.Time) []rollup.RouteDemand {
	var out []rollup.RouteDemand
	for class, demand := range d.callerDemand {
		r := rollup.RouteDemand{Route: class, Tokens: int(demand.tokens.perSecond(now)), Shared: int(demand.shared.perSecond(now)), Requests: int(100 * demand.requests.perSecond(now))}
		if r.Requests == 0 {
			delete(d.callerDemand, class)
			continue
		}
		out = append(out, r)
	}
	return out
}

// regionDemand returns the demand of all callers of this region, by class. The lock is held.
func (d *Dispatcher) regionDemand(now time.Time) map[uint32]rollup.RouteDemand {
	sums := make(map[uint32]rollup.RouteDemand)
	for class, others := range d.peerDemand {
		sums[class] = others
	}
	for _, own := range d.ownDemand(now) {
		sum := sums[own.Route]
		sums[own.Route] = rollup.RouteDemand{Route: own.Route, Tokens: sum.Tokens + own.Tokens, Shared: sum.Shared + own.Shared, Requests: sum.Requests + own.Requests}
	}
	return sums
}

// regionDemandReport is regionDemand for the report to other regions. The lock is held.
func (d *Dispatcher) regionDemandReport(now time.Time) []rollup.RouteDemand {
	var out []rollup.RouteDemand
	for _, demand := range d.regionDemand(now) {
		out = append(out, demand)
	}
	return rollup.LimitDemand(out)
}

// updatePlans computes the plan of each service with a model. The lock is held.
func (d *Dispatcher) updatePlans(now time.Time) {
	if len(d.remotes) == 0 {
		return
	}
	demands := map[string]map[uint32]rollup.RouteDemand{d.Region: d.regionDemand(now)}
	for region, remote := range d.remotes {
		if remote.isFresh(now) {
			demands[region] = remote.callerDemand
		}
	}
	for _, p := range d.pools {
		if p.service.Model == nil {
			continue
		}
		before := p.plan
		p.plan = before.Next(d.planRegions(p, now), p.planFlows(demands))
		if needed := p.plan.IsNeeded(); needed != before.IsNeeded() {
			d.Log.Info("plan of regions changed", zap.String("service", p.service.Name), zap.Bool("needed", needed), zap.Stringer("plan", p.plan))
		}
	}
}

// planRegions returns the regions whose engines a plan may use, or none before the first
// answers. The capacity is in prompt tokens per second, if the engines did nothing but read.
// All engines are taken for equally fast: a region's engines seem slower the busier they are,
// and a plan by such differences would swing with the load that it moves. The median of what
// the regions estimate excludes one that is wrong. The lock is held.
func (d *Dispatcher) planRegions(p *pool, now time.Time) []regionplan.Region {
	engines := make(map[string]int)
	var readTimes []time.Duration
	add := func(region string, n int, t Throughput) {
		if n > 0 {
			engines[region] = n
			if t.ReadPerToken > 0 {
				readTimes = append(readTimes, t.ReadPerToken)
			}
		}
	}
	add(d.Region, p.readyEngines, p.throughput.current())
	for region, remote := range d.remotes {
		if digest, ok := remote.digests[p.service.Name]; ok && remote.isFresh(now) {
			add(region, digest.Engines, digest.Throughput)
		}
	}
	if len(readTimes) == 0 {
		return nil
	}
	slices.Sort(readTimes)
	perToken := readTimes[len(readTimes)/2]
	var out []regionplan.Region
	for region, n := range engines {
		out = append(out, regionplan.Region{Name: region, Capacity: float64(n) * float64(time.Second) / float64(perToken)})
	}
	return out
}

// minSharedShare is the share of its prompts' tokens that a class must share with other
// requests for it to matter where they are cached: reading a third less outweighs a round trip
// for prompts that take long to read, and others hardly notice where they run.
const minSharedShare = 1.0 / 3

// planFlows returns the demand for the service, by the region of the callers.
func (p *pool) planFlows(demands map[string]map[uint32]rollup.RouteDemand) []regionplan.Flow {
	var out []regionplan.Flow
	for _, class := range p.classes {
		var tokens, shared float64
		for _, demand := range demands {
			tokens += float64(demand[class.id].Tokens)
			shared += float64(demand[class.id].Shared)
		}
		cached := shared > minSharedShare*(tokens+p.cachedShare.value()*shared)
		for region, demand := range demands {
			if tokens := demand[class.id].Tokens; tokens > 0 {
				out = append(out, regionplan.Flow{Source: region, Class: class.id, Work: float64(tokens), Permitted: class.route.PermitsRegion, Cached: cached})
			}
		}
	}
	return out
}

// plannedRegion returns the region where the plan places a request of this region's callers;
// "" if nothing is planned for it. usable reports whether a region can be chosen now. The lock
// is held.
func (d *Dispatcher) plannedRegion(p *pool, req Request, usable func(region string) bool) string {
	class, ok := p.classOf(req)
	if !ok || !p.plan.IsNeeded() {
		return ""
	}
	key := req.Prompt.AffinityKey()
	if key == "" {
		key = req.ID
	}
	return regionplan.Pick(p.plan.Shares(d.Region, class), func(region string) uint64 { return Rank(key, region) }, usable)
}

// hasRoomReport reports whether a region has engines for a request by a recent report. The lock
// is held.
func (d *Dispatcher) hasRoomReport(region string, p *pool, req Request, now time.Time) bool {
	remote, ok := d.remotes[region]
	return ok && remote.isFresh(now) && remote.digests[p.service.Name].Engines > 0 && !remote.lacksVersion(req.Origin)
}

// placeByPlan returns the placement that the plan gives a request. It returns false if nothing
// is planned for the request, or if it wouldn't be admitted in the planned region. local is
// its placement in this region. The lock is held.
func (d *Dispatcher) placeByPlan(p *pool, req Request, local Placement, reachable []string, now time.Time) (Placement, bool) {
	region := d.plannedRegion(p, req, func(region string) bool {
		if region == d.Region {
			return local.LocalCost >= 0 && local.Refusal == nil
		}
		return slices.Contains(reachable, region) && d.hasRoomReport(region, p, req, now)
	})
	switch region {
	case "":
		return Placement{}, false
	case d.Region:
		p.throughput.trials = trials{}
		local.IsPlanned = true
		return local, true
	}
	// The plan already includes what all gateways send. Taking what this one has sent for what
	// each has would make most planned regions seem full or empty by chance.
	s, ok := d.estimateRemote(region, p, req, true, 1, now)
	if !ok || s.late {
		return Placement{}, false
	}
	return Placement{Region: region, LocalCost: local.LocalCost, Cost: s.cost + remoteCost, Queue: s.queue, IsHome: local.IsHome, IsPlanned: true}, true
}
