// This file defines which requests go before others where room is short: it supplies package
// urgency with what is asked for in this region. Only the region where a request is to run
// decides: what others know of its queues is too old for that.

package dispatch

import (
	"time"

	"github.com/linenscale/linenscale/fairshare"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/urgency"
)

// kindOf returns the kind of requests with a priority and a target.
func kindOf(priority int, target time.Duration) urgency.Kind {
	return urgency.Kind{
		Priority: priority,
		Short:    time.Duration(minQueueShare * float64(target)),
		Long:     time.Duration(maxQueueShare * float64(target)),
	}
}

// isRanked reports whether the request's priority counts. A request that was admitted and sent
// before, or that continues a stream, isn't put back any more.
func (r Request) isRanked() bool { return r.Target > 0 && r.Origin == nil && len(r.Tried) == 0 }

// yields reports whether the request is of the share that is judged like more urgent ones.
func (r Request) yields() bool { return urgency.Yields(hashString(r.ID)) }

// rank records that a request was asked for in this region, and returns the limit of the queue
// behind which it is admitted here. An account that has its share goes after all requests of its
// priority. The lock is held.
func (d *Dispatcher) rank(p *pool, req Request, now time.Time) urgency.Limit {
	if !req.isRanked() {
		return urgency.Limit{}
	}
	p.demand.Record(kindOf(req.Priority, req.Target), now)
	switch d.standing(req) {
	case fairshare.AtShare:
		return p.demand.LimitFor(req.Priority+1, now).AtShare()
	case fairshare.Beyond:
		return p.demand.LimitFor(req.Priority+1, now).Beyond()
	default:
		return p.demand.LimitFor(req.Priority, now).Where(p.meanQueue)
	}
}

// meanQueueTime returns the mean queue of the pool's engines.
func (p *pool) meanQueueTime() time.Duration {
	in := costInputs{throughput: p.throughput.current()}
	if p.service.Model != nil {
		in.cacheTokens = p.service.Model.CacheTokens
	}
	var sum time.Duration
	for _, e := range p.sorted {
		in.slots, in.load = e.Slots, e.ownLoad.plus(e.peerLoad)
		sum += in.queueTime()
	}
	return sum / time.Duration(max(1, len(p.sorted)))
}

// countPutAfter counts a request that isn't admitted because others go first.
func (d *Dispatcher) countPutAfter(req Request, s score) {
	switch {
	case d.Metrics == nil || !s.isPutAfter():
	case req.isBehindAccounts(s):
		d.Metrics.CountPutAfter(req.Service, "account")
	default:
		d.Metrics.CountPutAfter(req.Service, "priority")
	}
}

// askedForRequests is the reported rate, in hundredths per second, of a class that one request
// in the last second has asked for. Lower rates are what is left of earlier requests.
const askedForRequests = 37

// applyDemand records what callers of this region's other gateways ask for. The lock is held.
func (d *Dispatcher) applyDemand(reported map[uint32]rollup.RouteDemand, at time.Time) {
	if len(reported) == 0 {
		return
	}
	for _, p := range d.pools {
		for _, class := range p.classes {
			if r := class.route; r.PermitsRegion(d.Region) && r.Target > 0 && reported[class.id].Requests >= askedForRequests {
				p.demand.Record(kindOf(class.priority, r.Target), at)
			}
		}
	}
}
