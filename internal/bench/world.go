package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/gateway"
	"github.com/linenscale/linenscale/internal/blockcache"
	"github.com/linenscale/linenscale/internal/virtual"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/route"
)

// RegionPolicy is a way to choose the region.
type RegionPolicy string

// The ways to choose the region.
const (
	RegionScored      RegionPolicy = "ours"   // route.ChooseRegion
	RegionHome        RegionPolicy = "home"   // always home
	RegionRandom      RegionPolicy = "random" // any permitted region
	RegionLeastLoaded RegionPolicy = "least"  // the least loaded by its digest
)

// RegionOptions describes one region.
type RegionOptions struct {
	Name    string
	Engines int
	Hosts   int
	// Rate of arrivals over time, in requests a second.
	Rate func(at time.Duration) float64
}

// Options shapes one run.
type Options struct {
	Seed         uint64
	Duration     time.Duration
	Regions      []RegionOptions
	Slots        int
	EnginePolicy route.Policy
	SingleQueue  bool // one host owns the queue of each region's engines
	NoQueue      bool // requests are sent on at once and wait at the engine
	RegionPolicy RegionPolicy
	Weights      route.Weights
	Permitted    func(home, region string) bool
	ReportLag    time.Duration
	EventLoss    float64
	RoundTrip    time.Duration // between regions
	LongShare    float64
	Documents    int
	Deadline     time.Duration
	// FirstToken is the service's target.
	FirstToken   time.Duration
	InjectFaults func(w *World)
}

// World lets a scenario bring about faults.
type World struct{ *world }

// At runs do at a time of the run.
func (w *World) At(at time.Duration, do func()) { w.at(at, do) }

// Engines lists the engines of a region.
func (w *World) Engines(region string) []*Engine {
	var out []*Engine
	for _, e := range w.engines {
		if w.regionOf[e.name] == region {
			out = append(out, (*Engine)(e))
		}
	}
	return out
}

// Engine lets a scenario change one engine.
type Engine engine

// SetSpeed makes tokens come at a share of the ordinary speed.
func (e *Engine) SetSpeed(speed float64) { e.speed = speed }

// HideLoad makes it report no load.
func (e *Engine) HideLoad() { e.lie = true }

// SetFailing makes it fail every request.
func (e *Engine) SetFailing(fails bool) { e.fails = fails }

// arrival is one request of a member.
type arrival struct {
	at     time.Time
	home   string
	long   bool
	bytes  int
	tokens int
	chain  []uint64
	acct   string

	first, end time.Time
	region     string
	refused    bool
	failed     bool
	attempts   int
	tried      []string
}

// world is one run.
type world struct {
	opts     Options
	random   *rand.Rand // of the choices
	members  *rand.Rand // of the arrivals, the same for every way
	start    time.Time
	time     *virtual.Time
	engines  []*engine
	byName   map[string]*engine
	regionOf map[string]string
	hosts    map[string][]*fleet.Fleet
	digests  map[string]route.Digest // as last spread, to all
	arrivals []*arrival
}

const service = "assistant"

// begin is the start of virtual time.
var begin = time.Unix(1_700_000_000, 0)

func newWorld(opts Options) *world {
	w := &world{
		opts: opts, random: rand.New(rand.NewPCG(opts.Seed, 5)), members: rand.New(rand.NewPCG(opts.Seed, 6)), start: begin, time: virtual.New(begin),
		byName: map[string]*engine{}, regionOf: map[string]string{}, hosts: map[string][]*fleet.Fleet{}, digests: map[string]route.Digest{},
	}
	change := declare.Change{Puts: []declare.Envelope{{Object: declare.Service{Name: service, Type: declare.ServiceModel}}}}
	for _, r := range opts.Regions {
		change.Puts = append(change.Puts, declare.Envelope{Object: declare.Region{Name: r.Name}}, declare.Envelope{Object: declare.DataCentre{Name: "dc-" + r.Name, Region: r.Name}})
		for i := range r.Engines {
			e := &engine{name: fmt.Sprintf("%s-%d", r.Name, i), service: service, slots: opts.Slots, speed: 1, cache: blockcache.New(cacheBlocks)}
			w.engines = append(w.engines, e)
			w.byName[e.name], w.regionOf[e.name] = e, r.Name
			change.Puts = append(change.Puts, declare.Envelope{Object: declare.Engine{Name: e.name, Service: service, DataCentre: "dc-" + r.Name, Address: "127.0.0.1:1", Slots: opts.Slots}})
		}
	}
	config, err := declare.Config{}.With(change)
	if err != nil {
		panic("bench: " + err.Error())
	}
	for i, r := range opts.Regions {
		hosts := r.Hosts
		if opts.SingleQueue {
			hosts = 1
		}
		for h := range hosts {
			f := fleet.New(fmt.Sprintf("%s-%d", r.Name, h), r.Name, func() time.Time { return w.time.Now() }, opts.EnginePolicy, opts.Seed+uint64(i*100+h))
			f.Apply(config, nil)
			w.hosts[r.Name] = append(w.hosts[r.Name], f)
		}
	}
	return w
}

// at runs do after a delay.
func (w *world) at(delay time.Duration, do func()) { w.time.After(delay, do) }

// run lets the time pass until nothing is left to happen.
func (w *world) run() {
	for _, r := range w.opts.Regions {
		w.nextArrival(r, 0)
	}
	w.repeat(time.Second, w.report)
	w.repeat(100*time.Millisecond, func() {
		for _, r := range w.opts.Regions {
			for _, f := range w.hosts[r.Name] {
				f.Tick()
			}
		}
	})
	w.repeat(time.Second, w.spread)
	if w.opts.InjectFaults != nil {
		w.opts.InjectFaults(&World{w})
	}
	w.time.Run()
}

// repeat runs do at an interval while arrivals go on, and a little longer.
func (w *world) repeat(every time.Duration, do func()) {
	w.time.Every(every, func() bool {
		do()
		return w.time.Now().Sub(w.start) < w.opts.Duration+drain
	})
}

// drain is how long the run goes on after the last arrival.
const drain = 30 * time.Second

// report brings each engine's lagging load to each host of its region.
func (w *world) report() {
	for _, e := range w.engines {
		l := e.reported(w)
		for _, f := range w.hosts[w.regionOf[e.name]] {
			f.Probe(service, e.name, l.at, !e.down)
			f.SetReport(service, e.name, fleet.Report{Running: l.running, Waiting: l.waiting, At: l.at})
		}
	}
}

// spread brings each region's digest to all, a second old.
func (w *world) spread() {
	next := map[string]route.Digest{}
	for _, r := range w.opts.Regions {
		sum := route.Digest{Region: r.Name, At: w.time.Now()}
		for _, f := range w.hosts[r.Name] {
			for _, d := range f.Digests() {
				sum.Slots, sum.ServiceTime = d.Digest.Slots, d.Digest.ServiceTime
				sum.Load = max(sum.Load, d.Digest.Load-d.Queued)
				sum.Load += d.Queued
			}
		}
		next[r.Name] = sum
	}
	w.at(time.Second, func() { w.digests = next })
}

// evicted tells the hosts of a cache event, late, or not at all.
func (w *world) evicted(e *engine, block uint64) {
	if w.random.Float64() < w.opts.EventLoss {
		return
	}
	w.at(w.opts.ReportLag, func() {
		for _, f := range w.hosts[w.regionOf[e.name]] {
			f.Evicted(service, e.name, block)
		}
	})
}

func (w *world) nextArrival(r RegionOptions, since time.Duration) {
	rate := max(r.Rate(since), 0.01)
	gap := time.Duration(w.members.ExpFloat64() / rate * float64(time.Second))
	if since+gap > w.opts.Duration {
		return
	}
	w.at(gap, func() {
		w.arrive(w.draw(r.Name))
		w.nextArrival(r, since+gap)
	})
}

// draw makes a request: a long review over one of a few hot documents, or a
// quick question.
func (w *world) draw(home string) *arrival {
	a := &arrival{at: w.time.Now(), home: home, acct: fmt.Sprint(w.members.IntN(20)), long: w.members.Float64() < w.opts.LongShare}
	if !a.long {
		a.bytes, a.tokens = 300, 20+w.members.IntN(40)
		return a
	}
	document := int(float64(w.opts.Documents) * w.members.Float64() * w.members.Float64() * w.members.Float64())
	a.bytes, a.tokens = 24*blockBytes, 200+w.members.IntN(200)
	prompt := make([]byte, a.bytes)
	for i := range 20 * blockBytes {
		prompt[i] = byte(document >> (8 * (i % 4)))
	}
	for i := 20 * blockBytes; i < a.bytes; i++ {
		prompt[i] = byte(w.members.Uint32())
	}
	a.chain = gateway.PrefixChain(prompt)
	return a
}

func (w *world) arrive(a *arrival) {
	w.arrivals = append(w.arrivals, a)
	region, away := w.chooseRegion(a)
	a.region = region
	delay := time.Duration(0)
	if away {
		delay = w.opts.RoundTrip
	}
	if w.opts.SingleQueue {
		delay += time.Millisecond
	}
	hosts := w.hosts[region]
	f := hosts[w.random.IntN(len(hosts))]
	w.at(delay, func() { w.submit(f, a) })
}

func (w *world) submit(f *fleet.Fleet, a *arrival) {
	class := request.ClassInteractive
	if a.long {
		class = request.ClassBatch
	}
	a.attempts++
	ask := fleet.Ask{
		Request: request.Request{Service: service, Class: class, Account: a.acct, PrefixChain: a.chain, Deadline: a.at.Add(w.opts.Deadline)},
		Prefill: time.Duration(a.bytes) * prefillByte, Need: 20 * time.Millisecond, Tried: a.tried,
	}
	if !a.long {
		ask.MaxWait = 3 * w.opts.FirstToken
	}
	if w.opts.NoQueue {
		ask.Request.Deadline = a.at.Add(time.Hour)
	}
	f.Submit(ask, func(s fleet.Served) {
		w.at(0, func() { w.served(f, a, s) })
	})
}

func (w *world) served(f *fleet.Fleet, a *arrival, s fleet.Served) {
	if s.Err != nil {
		a.refused = true
		return
	}
	if a.attempts > 1 && !s.Ticket.Retry() {
		s.Ticket.Done(fleet.Result{Outcome: fleet.Unsent})
		a.failed = true
		return
	}
	sent := w.time.Now()
	a.tried = append(a.tried, s.Ticket.Engine)
	e := w.byName[s.Ticket.Engine]
	var first time.Duration
	j := &job{r: a, first: func(at time.Time) {
		a.first, first = at, at.Sub(sent)
	}, done: func(at time.Time, ok bool) {
		if ok {
			a.end = at
			s.Ticket.Done(fleet.Result{Outcome: fleet.Answered, First: first})
			return
		}
		s.Ticket.Done(fleet.Result{Outcome: fleet.Failed})
		w.again(f, a)
	}}
	if !e.offer(w, j) {
		s.Ticket.Done(fleet.Result{Outcome: fleet.Shed})
		w.again(f, a)
	}
}

func (w *world) again(f *fleet.Fleet, a *arrival) {
	if a.attempts >= retry.MaxAttempts || w.time.Now().After(a.at.Add(w.opts.Deadline)) {
		a.failed = true
		return
	}
	w.submit(f, a)
}

func (w *world) chooseRegion(a *arrival) (region string, away bool) {
	digests := make([]route.Digest, 0, len(w.opts.Regions))
	home := 0
	for i, r := range w.opts.Regions {
		d, ok := w.digests[r.Name]
		if !ok {
			d = route.Digest{Region: r.Name, Slots: r.Engines * w.opts.Slots, At: w.time.Now()}
		}
		if r.Name == a.home {
			home = i
			if fresh := w.hosts[r.Name][0].Digests(); len(fresh) > 0 {
				d = fresh[0].Digest
			}
		} else {
			d.RoundTrip = w.opts.RoundTrip
		}
		digests = append(digests, d)
	}
	at := w.pickRegion(a, digests, home)
	return digests[at].Region, at != home
}

func (w *world) pickRegion(a *arrival, digests []route.Digest, home int) int {
	permitted := func(region string) bool { return w.opts.Permitted == nil || w.opts.Permitted(a.home, region) }
	switch w.opts.RegionPolicy {
	case RegionRandom:
		for {
			if i := w.random.IntN(len(digests)); permitted(digests[i].Region) {
				return i
			}
		}
	case RegionLeastLoaded:
		best := home
		for i, d := range digests {
			if permitted(d.Region) && float64(d.Load)/float64(d.Slots) < float64(digests[best].Load)/float64(digests[best].Slots) {
				best = i
			}
		}
		return best
	case RegionScored:
		ask := route.RegionAsk{Permitted: permitted, Prefill: time.Duration(a.bytes) * prefillByte, Warm: 0.5}
		if c := route.ChooseRegion(w.time.Now(), digests, home, w.opts.Weights, &ask, w.random.Uint64()); c.Index >= 0 {
			return c.Index
		}
	}
	return home
}
