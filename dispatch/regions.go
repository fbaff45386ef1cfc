// This file defines what the gateways of a region report to other regions, and the choice
// of the region for a request.

package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/internal/rendezvous"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/telemetry"
)

// Digest summarizes a region's engines of one service. It is sent to other regions.
type Digest struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Engines     int // that accept requests and aren't cold
	Slots       int // per engine
	CacheTokens int // cache size of one engine in tokens
	MeanLoad    DigestLoad
	LeastLoad   DigestLoad // of the least loaded engine
	FailureRate float64    // mean share of recent requests that failed beyond the baseline
	Throughput  Throughput // as estimated in that region
}

// DigestLoad is the load of one engine.
type DigestLoad struct {
	_        struct{} `cbor:",toarray"`
	Requests int
	Unread   int
	Reserved int
	ReadRate int
}

func newDigestLoad(l Load) DigestLoad {
	return DigestLoad{Requests: l.Requests, Unread: l.Unread, Reserved: l.Reserved, ReadRate: int(l.ReadRate)}
}

func (l DigestLoad) load() Load {
	return Load{Requests: l.Requests, Unread: l.Unread, Reserved: l.Reserved, ReadRate: float64(l.ReadRate)}
}

const (
	// regionReportInterval is the interval of reports to other regions.
	regionReportInterval = 250 * time.Millisecond
	// regionReporters is the number of gateways that send the region's reports. With two,
	// the loss of one has no effect.
	regionReporters = 2
	// digestTTL is how long a region's report is used after its arrival in this region.
	// Several reports arrive within it.
	digestTTL = 800 * time.Millisecond
	// defaultRoundTrip is assumed for regions without a measured round trip. Regions of
	// one continent are about that far apart.
	defaultRoundTrip = 100 * time.Millisecond
	// remoteCost is the cost, in addition to the round trip, of sending a request to
	// another region: the traffic crosses a slow network that costs money.
	remoteCost = 40 * time.Millisecond
)

// reportsRegion reports whether this gateway sends the region's reports to other regions.
func (d *Dispatcher) reportsRegion() bool {
	ownRank := Rank(d.Region, d.Name)
	higher := 0
	for _, h := range d.Peers() {
		if higher == regionReporters {
			return false
		}
		if h.Region == d.Region && h.Name != d.Name && !h.Stopping && Rank(d.Region, h.Name) > ownRank {
			higher++
		}
	}
	return higher < regionReporters
}

// regionReportRecipients returns the addresses of the gateways in other regions that
// receive this region's reports.
func (d *Dispatcher) regionReportRecipients() []string {
	hosts := d.Peers()
	var regions, out []string
	for _, h := range hosts {
		if h.Region != d.Region && !slices.Contains(regions, h.Region) {
			regions = append(regions, h.Region)
			out = append(out, rollup.RemoteLeaders(hosts, h.Region)...)
		}
	}
	return out
}

// RegionReport returns the report of this region to other regions.
func (d *Dispatcher) RegionReport() rollup.Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	report, _ := d.regionReport(d.Clock())
	return report
}

// regionReport is RegionReport with the lock held. It returns false if encoding fails.
func (d *Dispatcher) regionReport(now time.Time) (rollup.Message, bool) {
	var digests []Digest
	for _, s := range d.catalog.Services() {
		if p, ok := d.pools[s.Name]; ok {
			digests = append(digests, d.digest(p, now))
		}
	}
	body, err := cbor.Marshal(digests)
	if err != nil {
		d.Log.Error("region report not sent: encoding failed", telemetry.ErrorField(err))
		return rollup.Message{}, false
	}
	return rollup.Message{From: d.Name, Remote: []rollup.RegionReport{{Region: d.Region, Digests: body, Accounts: d.regionUsage(now), Crashes: d.quarantine.OutgoingRemote(now), Parts: d.parts.OutgoingRemote(now), Versions: d.servingVersions(now), VersionsComplete: d.viewIsSteady(), Demand: d.regionDemandReport(now), Refunds: d.regionRefunds(now)}}}, true
}

func (d *Dispatcher) digest(p *pool, now time.Time) Digest {
	out := Digest{Service: p.service.Name, Throughput: p.throughput.current()}
	if p.service.Model != nil {
		out.CacheTokens = p.service.Model.CacheTokens
	}
	var sum, least Load
	for _, e := range d.digestEngines(p, now) {
		load := e.load(now)
		if out.Engines == 0 || load.Unread < least.Unread || (load.Unread == least.Unread && load.Requests < least.Requests) {
			least = load
		}
		out.Engines++
		out.Slots = e.Slots
		sum = sum.plus(load)
		out.FailureRate += e.failures.rate(now)
	}
	if n := out.Engines; n > 0 {
		out.MeanLoad, out.LeastLoad, out.FailureRate = newDigestLoad(sum.dividedBy(n)), newDigestLoad(least), out.FailureRate/float64(n)
	}
	return out
}

// digestEngines returns the engines that a digest summarizes: those that accept requests
// and aren't cold. Engines with a rate limit are included only if there are no others.
func (d *Dispatcher) digestEngines(p *pool, now time.Time) []*engine {
	var unlimited, limited []*engine
	for _, e := range p.sorted {
		reason := d.exclusionOf(p, e, now)
		switch {
		case reason != "" && reason != excludedLimited, d.isCold(p, e, now):
		case d.limits.HasLimit(e.hash):
			limited = append(limited, e)
		default:
			unlimited = append(unlimited, e)
		}
	}
	if len(unlimited) > 0 {
		return unlimited
	}
	return limited
}

// dividedBy returns the load of one of n engines that share it.
func (l Load) dividedBy(n int) Load {
	return Load{l.Requests / n, l.Unread / n, l.Reserved / n, l.ReadRate / float64(n)}
}

// receiveRegionReport applies another region's report. The lock is held.
func (d *Dispatcher) receiveRegionReport(r rollup.RegionReport, now time.Time) {
	d.mergeRemoteCrashes(r, now)
	remote, ok := d.remotes[r.Region]
	if !ok {
		remote = &remoteRegion{cached: make(map[string]cachedBlocks)}
		d.remotes[r.Region] = remote
	}
	var digests []Digest
	if err := cbor.Unmarshal(r.Digests, &digests); err != nil {
		d.Log.Warn("region report ignored: decoding failed", zap.String("region", r.Region), telemetry.ErrorField(err))
		return
	}
	remote.applyDigests(digests, d.roundTrip(r.Region), now.Add(-r.Age))
	remote.applyVersions(r.Versions)
	remote.versionsComplete = r.VersionsComplete
	remote.applyCallerDemand(r.Demand)
	d.applyRemoteUsage(r.Region, r.Accounts, r.Refunds, now.Add(-r.Age))
}

// Placement is the region chosen for a request.
type Placement struct {
	Region    string
	LocalCost time.Duration // expected cost in this region; negative if it can't run here
	Cost      time.Duration // expected cost in Region
	Queue     time.Duration // expected queueing time in Region
	// Refusal is the rejection if the request isn't admitted even in Region; else nil.
	Refusal   error
	IsHome    bool // Region is the home region of the prompt's shared blocks
	IsPlanned bool // Region is where the plan of regions places the request
	IsTrial   bool // the request runs here only to measure this region's engines again
}

// ChooseRegion returns the region with the lowest expected cost for a request, including
// the round trip and the reading of the prompt, or this region for a trial. localPermitted
// reports whether this region may be chosen; reachable lists the other regions that have a
// gateway.
func (d *Dispatcher) ChooseRegion(req Request, localPermitted bool, reachable []string) Placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	p, ok := d.pools[req.Service]
	if !ok {
		return Placement{Region: d.Region, LocalCost: -1}
	}
	if _, err := d.checkQuarantine(req, now); err != nil {
		return Placement{Region: d.Region, LocalCost: -1, Refusal: err}
	}
	home := d.homeRegion(p, req, now)
	best := Placement{Region: d.Region, LocalCost: -1, IsHome: home == d.Region}
	var localEngine *engine
	var localScore score
	if localPermitted {
		req.limit, req.promised = d.rank(p, req, now), d.isPromised(req, now)
		if e, s := d.choose(p, req, now); e != nil {
			localEngine, localScore = e, s
			best.LocalCost, best.Queue, best.Refusal = s.cost, s.queue, req.checkAdmission(s)
		}
	}
	best.Cost = best.LocalCost
	if planned, ok := d.placeByPlan(p, req, best, reachable, now); ok {
		return planned
	}
	local := best
	for _, region := range reachable {
		// Assume that the other gateways of this region have sent as much as this one.
		s, ok := d.estimateRemote(region, p, req, region == home, d.reportingGateways, now)
		if cost := s.cost + remoteCost; ok && (best.Cost < 0 || cost < best.Cost) {
			best = Placement{Region: region, LocalCost: best.LocalCost, Cost: cost, Queue: s.queue, Refusal: req.checkAdmission(s), IsHome: region == home}
		}
	}
	if best.Refusal != nil {
		d.recordShare(req, false, now)
	}
	if best.Region == d.Region {
		if best.Refusal != nil {
			d.countPutAfter(req, localScore)
		}
		p.throughput.trials = trials{}
		return best
	}
	if localEngine != nil && local.Refusal == nil && d.beginTrial(p, localEngine, req, best, now) {
		local.IsTrial = true
		return local
	}
	return best
}

// estimateRemote returns the cost estimate for a request in another region; false if
// there is no recent report from the region or no usable engine there. What this gateway has
// sent there since counts as often as senders says.
func (d *Dispatcher) estimateRemote(region string, p *pool, req Request, isHome bool, senders int, now time.Time) (score, bool) {
	remote, ok := d.remotes[region]
	if !ok || !remote.isFresh(now) || remote.digests[p.service.Name].Engines == 0 || remote.lacksVersion(req.Origin) {
		return score{}, false
	}
	in := remote.costInputs(req, p.throughput.current(), isHome, now)
	inFlight := remote.inFlightLoad(p.service.Name)
	inFlight.Requests, inFlight.Unread, inFlight.Reserved = inFlight.Requests*senders, inFlight.Unread*senders, inFlight.Reserved*senders
	in.load = in.load.plus(inFlight.dividedBy(remote.digests[p.service.Name].Engines))
	in.usualError = p.throughput.usualError()
	return estimate(in, req, d.roundTrip(region)), true
}

// roundTrip returns the usual round trip to another region.
func (d *Dispatcher) roundTrip(region string) time.Duration {
	if measured, ok := d.RoundTripTo(region); ok {
		return measured
	}
	return defaultRoundTrip
}

// homeRegion returns the region where a prompt's shared blocks are cached: the planned one, or
// the one ranked first, by rendezvous hashing weighted with the numbers of engines, of those where the
// request may run; "" if the prompt has no shared blocks.
func (d *Dispatcher) homeRegion(p *pool, req Request, now time.Time) string {
	key := req.Prompt.AffinityKey()
	if key == "" {
		return ""
	}
	if planned := d.plannedRegion(p, req, func(region string) bool {
		return (req.Permitted == nil || req.Permitted(region)) && (region == d.Region || d.hasRoomReport(region, p, req, now))
	}); planned != "" {
		return planned
	}
	home, highest := "", math.Inf(-1)
	consider := func(region string, engines int) {
		if engines == 0 || (req.Permitted != nil && !req.Permitted(region)) {
			return
		}
		if weight := rendezvous.Weighted(Rank(key, region), float64(engines)); weight > highest {
			home, highest = region, weight
		}
	}
	consider(d.Region, p.readyEngines)
	for region, remote := range d.remotes {
		if remote.isFresh(now) {
			consider(region, remote.digests[p.service.Name].Engines)
		}
	}
	return home
}
