// This file defines what gateways of one region tell those of the others, and
// the choice of region.

package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/telemetry"
)

// Digest is what one region's gateways know of its engines of one service.
type Digest struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Engines     int // that can take requests and aren't cold
	Slots       int // of one engine
	CacheTokens int // of one engine's memory, in tokens
	MeanLoad    DigestLoad
	LeastLoad   DigestLoad // of the engine that does least
	FailureRate float64    // share of requests that failed lately beyond the usual, of all engines
	Throughput  Throughput // as learned there
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
	// regionReportInterval is how often a region tells the others.
	regionReportInterval = 250 * time.Millisecond
	// regionReporters is how many gateways of a region tell the others: two, so that
	// the loss of one isn't felt.
	regionReporters = 2
	// digestTTL is how old a region's word may be to count, from when it was heard:
	// it comes several times within it.
	digestTTL = 800 * time.Millisecond
	// defaultRoundTrip is assumed to a region that no connection has been opened to:
	// regions of one continent are about as far apart.
	defaultRoundTrip = 100 * time.Millisecond
	// remoteCost is what it costs beside the trip to send a request to another
	// region: the bytes cross a slow network that costs money.
	remoteCost = 40 * time.Millisecond
)

// reportsRegion tells whether this gateway tells the other regions of this one.
func (d *Dispatcher) reportsRegion() bool {
	ownRank := Rank(d.Region, d.Name)
	higher := 0
	for _, h := range d.Peers() {
		if h.Region == d.Region && h.Name != d.Name && !h.Stopping && Rank(d.Region, h.Name) > ownRank {
			higher++
		}
	}
	return higher < regionReporters
}

// regionReportRecipients gives the addresses of the gateways of other regions that are told of
// this one.
func (d *Dispatcher) regionReportRecipients() []string {
	hosts := d.Peers()
	var regions, out []string
	for _, h := range hosts {
		if h.Region != d.Region && !slices.Contains(regions, h.Region) {
			regions = append(regions, h.Region)
			out = append(out, rollup.FarLeaders(hosts, h.Region)...)
		}
	}
	return out
}

// RegionReport gives what this gateway tells the other regions.
func (d *Dispatcher) RegionReport() rollup.Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	report, _ := d.regionReport(d.Clock())
	return report
}

// regionReport is RegionReport with the lock held; false where it can't be packed.
func (d *Dispatcher) regionReport(now time.Time) (rollup.Message, bool) {
	var digests []Digest
	for _, s := range d.catalog.Services() {
		if p, ok := d.pools[s.Name]; ok {
			digests = append(digests, d.digest(p, now))
		}
	}
	body, err := cbor.Marshal(digests)
	if err != nil {
		d.Log.Error("load not told to other regions", telemetry.Cause(err))
		return rollup.Message{}, false
	}
	return rollup.Message{From: d.Name, Far: []rollup.FarWord{{Region: d.Region, Body: body, Accounts: d.regionUsage(now), Crashes: d.quarantine.TellFar(now)}}}, true
}

func (d *Dispatcher) digest(p *pool, now time.Time) Digest {
	out := Digest{Service: p.service.Name, Throughput: p.throughput.throughput()}
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

// digestEngines gives the engines that a region's word is of: those that can take requests and
// aren't cold, and such that name limits only where there are no others.
func (d *Dispatcher) digestEngines(p *pool, now time.Time) []*engine {
	var unlimited, limited []*engine
	for _, e := range p.sorted {
		reason := d.exclusionOf(p, e, now)
		switch {
		case reason != "" && reason != excludedLimited, d.isCold(p, e, now):
		case d.limits.Limited(e.hash):
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

// dividedBy gives the load of one engine where n share it.
func (l Load) dividedBy(n int) Load {
	return Load{l.Requests / n, l.Unread / n, l.Reserved / n, l.ReadRate / float64(n)}
}

// receiveRegionReport takes another region's word. The lock is held.
func (d *Dispatcher) receiveRegionReport(r rollup.FarWord, now time.Time) {
	d.mergeRemoteCrashes(r, now)
	remote, ok := d.remotes[r.Region]
	if !ok {
		remote = &remoteRegion{cached: make(map[string]cachedBlocks)}
		d.remotes[r.Region] = remote
	}
	var digests []Digest
	if err := cbor.Unmarshal(r.Body, &digests); err != nil {
		d.Log.Warn("another region's word can't be read", zap.String("region", r.Region), telemetry.Cause(err))
		return
	}
	remote.applyDigests(digests, d.roundTrip(r.Region), now.Add(-r.Age))
	d.applyRemoteUsage(r.Region, r.Accounts, now.Add(-r.Age))
}

// Place says where a request should run.
type Place struct {
	Region string
	Here   time.Duration // expected cost in this region; negative where it can't run here
	There  time.Duration // expected cost in Region
	Queue  time.Duration // expected there until the request is begun
	// Refusal is why the request isn't admitted even there; nil where it is.
	Refusal error
	Home    bool // Region is where the prompt's shared parts are kept
}

// ChooseRegion gives the region for a request: this one, or another that is
// expected to serve it better, the trip and the reading of the prompt counted.
// here tells whether this region is one of the choices; reachable lists the
// others that have a gateway.
func (d *Dispatcher) ChooseRegion(req Ask, localPermitted bool, reachable []string) Place {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	p, ok := d.pools[req.Service]
	if !ok {
		return Place{Region: d.Region, Here: -1}
	}
	if err := d.checkQuarantine(req, now); err != nil {
		return Place{Region: d.Region, Here: -1, Refusal: err}
	}
	home := d.homeRegion(p, req, now)
	best := Place{Region: d.Region, Here: -1, Home: home == d.Region}
	if localPermitted {
		if e, s := d.choose(p, req, now); e != nil {
			best.Here, best.Queue, best.Refusal = s.cost, s.queue, req.checkAdmission(s)
		}
	}
	best.There = best.Here
	for _, region := range reachable {
		s, ok := d.estimateRemote(region, p, req, region == home, now)
		if cost := s.cost + remoteCost; ok && (best.There < 0 || cost < best.There) {
			best = Place{Region: region, Here: best.Here, There: cost, Queue: s.queue, Refusal: req.checkAdmission(s), Home: region == home}
		}
	}
	return best
}

// estimateRemote gives the expectation for a request in another region; false where
// nothing is known of it, or no engine can be used there.
func (d *Dispatcher) estimateRemote(region string, p *pool, req Ask, isHome bool, now time.Time) (score, bool) {
	remote, ok := d.remotes[region]
	if !ok || !remote.isFresh(now) || remote.digests[p.service.Name].Engines == 0 {
		return score{}, false
	}
	in := remote.costInputs(req, p.throughput.throughput(), isHome, now)
	// All gateways of this region do as this one does.
	inFlight := remote.inFlightLoad(p.service.Name)
	inFlight.Requests, inFlight.Unread, inFlight.Reserved = inFlight.Requests*d.reportingGateways, inFlight.Unread*d.reportingGateways, inFlight.Reserved*d.reportingGateways
	in.load = in.load.plus(inFlight.dividedBy(remote.digests[p.service.Name].Engines))
	in.usualError = p.throughput.usualError()
	return estimate(in, req, d.roundTrip(region)), true
}

// roundTrip gives the usual round trip to another region.
func (d *Dispatcher) roundTrip(region string) time.Duration {
	if known, ok := d.Trip(region); ok {
		return known
	}
	return defaultRoundTrip
}

// homeRegion gives the region where a prompt's shared parts are kept: the one
// ranked first, by weighted rendezvous hashing, of those where the request may
// run; "" where the prompt has none. A region counts by its engines.
func (d *Dispatcher) homeRegion(p *pool, req Ask, now time.Time) string {
	key := req.Prompt.Affinity()
	if key == "" {
		return ""
	}
	home, highest := "", math.Inf(-1)
	consider := func(region string, engines int) {
		if engines == 0 || (req.Permitted != nil && !req.Permitted(region)) {
			return
		}
		uniform := (float64(Rank(key, region)>>11) + 0.5) / (1 << 53)
		if weight := -float64(engines) / math.Log(uniform); weight > highest {
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
