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
	_       struct{} `cbor:",toarray"`
	Service string
	Engines int // that can take requests and aren't cold
	Slots   int // of one engine
	Room    int // of one engine's memory, in tokens
	Mean    DigestLoad
	Least   DigestLoad // of the engine that does least
	Failing float64    // share of requests that failed lately beyond the usual, of all engines
	Speed   Speed      // as learned there
}

// DigestLoad is the load of one engine.
type DigestLoad struct {
	_        struct{} `cbor:",toarray"`
	Requests int
	Unread   int
	Held     int
	Reading  int
}

func digestLoad(l Load) DigestLoad {
	return DigestLoad{Requests: l.Requests, Unread: l.Unread, Held: l.Held, Reading: int(l.Reading)}
}

func (l DigestLoad) load() Load {
	return Load{Requests: l.Requests, Unread: l.Unread, Held: l.Held, Reading: float64(l.Reading)}
}

const (
	// tellFarEvery is how often a region tells the others.
	tellFarEvery = 250 * time.Millisecond
	// speakers is how many gateways of a region tell the others: two, so that
	// the loss of one isn't felt.
	speakers = 2
	// digestLife is how old a region's word may be to count, from when it was heard:
	// it comes several times within it.
	digestLife = 800 * time.Millisecond
	// unknownTrip is assumed to a region that no connection has been opened to:
	// regions of one continent are about as far apart.
	unknownTrip = 100 * time.Millisecond
	// awayTime is what it costs beside the trip to send a request to another
	// region: the bytes cross a slow network that costs money.
	awayTime = 40 * time.Millisecond
)

// speaks tells whether this gateway tells the other regions of this one.
func (d *Dispatcher) speaks() bool {
	mine := Rank(d.Region, d.Name)
	higher := 0
	for _, h := range d.Peers() {
		if h.Region == d.Region && h.Name != d.Name && !h.Stopping && Rank(d.Region, h.Name) > mine {
			higher++
		}
	}
	return higher < speakers
}

// farListeners gives the addresses of the gateways of other regions that are told of
// this one.
func (d *Dispatcher) farListeners() []string {
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

// RegionWord gives what this gateway tells the other regions.
func (d *Dispatcher) RegionWord() rollup.Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	word, _ := d.regionWord(d.Clock())
	return word
}

// regionWord is RegionWord with the lock held; false where it can't be packed.
func (d *Dispatcher) regionWord(now time.Time) (rollup.Message, bool) {
	var digests []Digest
	for _, s := range d.table.Services() {
		if p, ok := d.pools[s.Name]; ok {
			digests = append(digests, d.digest(p, now))
		}
	}
	body, err := cbor.Marshal(digests)
	if err != nil {
		d.Log.Error("load not told to other regions", telemetry.Cause(err))
		return rollup.Message{}, false
	}
	return rollup.Message{From: d.Name, Far: []rollup.FarWord{{Region: d.Region, Body: body, Accounts: d.regionUses(now), Crashes: d.suspects.TellFar(now)}}}, true
}

func (d *Dispatcher) digest(p *pool, now time.Time) Digest {
	g := Digest{Service: p.service.Name, Speed: p.speeds.speed()}
	if p.service.Model != nil {
		g.Room = p.service.Model.CacheTokens
	}
	var sum, least Load
	for _, e := range d.telling(p, now) {
		load := e.load(now)
		if g.Engines == 0 || load.Unread < least.Unread || (load.Unread == least.Unread && load.Requests < least.Requests) {
			least = load
		}
		g.Engines++
		g.Slots = e.Slots
		sum = sum.plus(load)
		g.Failing += e.failing.value(now)
	}
	if n := g.Engines; n > 0 {
		g.Mean, g.Least, g.Failing = digestLoad(sum.over(n)), digestLoad(least), g.Failing/float64(n)
	}
	return g
}

// telling gives the engines that a region's word is of: those that can take requests and
// aren't cold, and such that name limits only where there are no others.
func (d *Dispatcher) telling(p *pool, now time.Time) []*engine {
	var free, limited []*engine
	for _, e := range p.ordered {
		why := d.bar(p, e, now)
		switch {
		case why != "" && why != whyLimited, d.isCold(p, e, now):
		case d.limits.Limited(e.hash):
			limited = append(limited, e)
		default:
			free = append(free, e)
		}
	}
	if len(free) > 0 {
		return free
	}
	return limited
}

// over gives the load of one engine where n share it.
func (l Load) over(n int) Load {
	return Load{l.Requests / n, l.Unread / n, l.Held / n, l.Reading / float64(n)}
}

// hearRegion takes another region's word. The lock is held.
func (d *Dispatcher) hearRegion(w rollup.FarWord, now time.Time) {
	d.hearFar(w, now)
	far, ok := d.far[w.Region]
	if !ok {
		far = &farRegion{kept: make(map[string]kept)}
		d.far[w.Region] = far
	}
	var digests []Digest
	if err := cbor.Unmarshal(w.Body, &digests); err != nil {
		d.Log.Warn("another region's word can't be read", zap.String("region", w.Region), telemetry.Cause(err))
		return
	}
	far.hear(digests, d.roundTrip(w.Region), now.Add(-w.Age))
	d.hearFarUses(w.Region, w.Accounts, now.Add(-w.Age))
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
func (d *Dispatcher) ChooseRegion(ask Ask, here bool, reachable []string) Place {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	p, ok := d.pools[ask.Service]
	if !ok {
		return Place{Region: d.Region, Here: -1}
	}
	if err := d.checkSuspect(ask, now); err != nil {
		return Place{Region: d.Region, Here: -1, Refusal: err}
	}
	home := d.homeRegion(p, ask, now)
	best := Place{Region: d.Region, Here: -1, Home: home == d.Region}
	if here {
		if e, s := d.choose(p, ask, now); e != nil {
			best.Here, best.Queue, best.Refusal = s.cost, s.queue, ask.admits(s)
		}
	}
	best.There = best.Here
	for _, region := range reachable {
		s, ok := d.expectIn(region, p, ask, region == home, now)
		if cost := s.cost + awayTime; ok && (best.There < 0 || cost < best.There) {
			best = Place{Region: region, Here: best.Here, There: cost, Queue: s.queue, Refusal: ask.admits(s), Home: region == home}
		}
	}
	return best
}

// expectIn gives the expectation for a request in another region; false where
// nothing is known of it, or no engine can be used there.
func (d *Dispatcher) expectIn(region string, p *pool, ask Ask, isHome bool, now time.Time) (score, bool) {
	far, ok := d.far[region]
	if !ok || !far.heard(now) || far.services[p.service.Name].Engines == 0 {
		return score{}, false
	}
	k := far.knowledge(ask, p.speeds.speed(), isHome, now)
	// All gateways of this region do as this one does.
	sent := far.sent(p.service.Name)
	sent.Requests, sent.Unread, sent.Held = sent.Requests*d.alike, sent.Unread*d.alike, sent.Held*d.alike
	k.load = k.load.plus(sent.over(far.services[p.service.Name].Engines))
	k.doubt = p.speeds.doubt()
	return expect(k, ask, d.roundTrip(region)), true
}

// roundTrip gives the usual round trip to another region.
func (d *Dispatcher) roundTrip(region string) time.Duration {
	if known, ok := d.Trip(region); ok {
		return known
	}
	return unknownTrip
}

// homeRegion gives the region where a prompt's shared parts are kept: the one
// ranked first, by weighted rendezvous hashing, of those where the request may
// run; "" where the prompt has none. A region counts by its engines.
func (d *Dispatcher) homeRegion(p *pool, ask Ask, now time.Time) string {
	key := ask.Prompt.Affinity()
	if key == "" {
		return ""
	}
	home, highest := "", math.Inf(-1)
	consider := func(region string, engines int) {
		if engines == 0 || (ask.Permitted != nil && !ask.Permitted(region)) {
			return
		}
		u := (float64(Rank(key, region)>>11) + 0.5) / (1 << 53)
		if w := -float64(engines) / math.Log(u); w > highest {
			home, highest = region, w
		}
	}
	consider(d.Region, p.ready)
	for region, far := range d.far {
		if far.heard(now) {
			consider(region, far.services[p.service.Name].Engines)
		}
	}
	return home
}
