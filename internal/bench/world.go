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

// RegionPolicy selects how a run chooses the region of a request.
type RegionPolicy string

// Policies that choose a region.
const (
	RegionScored      RegionPolicy = "ours"   // route.ChooseRegion
	RegionHome        RegionPolicy = "home"   // always the home region
	RegionRandom      RegionPolicy = "random" // any permitted region
	RegionLeastLoaded RegionPolicy = "least"  // the permitted region with the lowest load per slot, by its digest
)

// RegionOptions configures one region.
type RegionOptions struct {
	Name    string
	Engines int
	Hosts   int
	// Rate returns the arrival rate at a time of the run, in requests per second.
	Rate func(at time.Duration) float64
}

// Options configures one run.
type Options struct {
	Seed         uint64
	Duration     time.Duration
	Regions      []RegionOptions
	Slots        int
	EnginePolicy route.Policy
	SingleQueue  bool // each region has a single host, which owns the queue of its engines
	NoDeadline   bool // requests have a deadline of an hour
	RegionPolicy RegionPolicy
	Weights      route.Weights
	Permitted    func(home, region string) bool
	ReportLag    time.Duration
	EventLoss    float64
	RoundTrip    time.Duration // between regions
	LongShare    float64
	Documents    int
	Deadline     time.Duration
	// FirstToken is the service's target for the time to the first token.
	FirstToken   time.Duration
	InjectFaults func(w *World)
}

// World is the view of a run through which a scenario injects faults.
type World struct{ *world }

// At runs fn at a time of the run, counted from its start.
func (w *World) At(at time.Duration, fn func()) { w.after(at, fn) }

// Engines returns the engines of a region.
func (w *World) Engines(region string) []*Engine {
	var out []*Engine
	for _, e := range w.engines {
		if w.regionOf[e.name] == region {
			out = append(out, (*Engine)(e))
		}
	}
	return out
}

// Engine is the view of an engine through which a scenario injects faults.
type Engine engine

// SetSpeed sets the token throughput as a multiple of the normal one.
func (e *Engine) SetSpeed(speed float64) { e.speed = speed }

// HideLoad makes the engine report that it has no load.
func (e *Engine) HideLoad() { e.hidesLoad = true }

// SetFailing sets whether the engine fails every request.
func (e *Engine) SetFailing(fails bool) { e.failing = fails }

// arrival is one request of a member and its outcome.
type arrival struct {
	at      time.Time
	home    string
	long    bool
	bytes   int
	tokens  int
	chain   []uint64
	account string

	firstToken, end time.Time
	region          string
	rejected        bool
	failed          bool
	attempts        int
	tried           []string
}

// world is the state of one run.
type world struct {
	opts          Options
	policyRandom  *rand.Rand // for the choices of the policies
	arrivalRandom *rand.Rand // for the arrivals, which are the same for every policy
	start         time.Time
	time          *virtual.Scheduler
	engines       []*engine
	byName        map[string]*engine
	regionOf      map[string]string
	hosts         map[string][]*fleet.Fleet
	digests       map[string]route.Digest // by region, as last exchanged
	arrivals      []*arrival
}

const service = "assistant"

// startTime is the start of virtual time.
var startTime = time.Unix(1_700_000_000, 0)

func newWorld(opts Options) *world {
	w := &world{
		opts: opts, policyRandom: rand.New(rand.NewPCG(opts.Seed, 5)), arrivalRandom: rand.New(rand.NewPCG(opts.Seed, 6)), start: startTime, time: virtual.New(startTime),
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
	config, err := declare.Config{}.Apply(change)
	if err != nil {
		panic("bench: " + err.Error())
	}
	for i, r := range opts.Regions {
		hosts := r.Hosts
		if opts.SingleQueue {
			hosts = 1
		}
		for h := range hosts {
			f := fleet.New(fmt.Sprintf("%s-%d", r.Name, h), r.Name, func() time.Time { return w.time.Now() }, nil, opts.EnginePolicy, opts.Seed+uint64(i*100+h))
			f.ApplyConfig(config, nil)
			w.hosts[r.Name] = append(w.hosts[r.Name], f)
		}
	}
	return w
}

// after schedules fn to run after a delay.
func (w *world) after(delay time.Duration, fn func()) { w.time.After(delay, fn) }

// run schedules the arrivals, the periodic reports and the faults, and runs until no
// event is left.
func (w *world) run() {
	for _, r := range w.opts.Regions {
		w.nextArrival(r, 0)
	}
	w.repeat(time.Second, w.reportLoads)
	w.repeat(100*time.Millisecond, func() {
		for _, r := range w.opts.Regions {
			for _, f := range w.hosts[r.Name] {
				f.Tick()
			}
		}
	})
	w.repeat(time.Second, w.exchangeDigests)
	if w.opts.InjectFaults != nil {
		w.opts.InjectFaults(&World{w})
	}
	w.time.Run()
}

// repeat runs fn at an interval until drainTime after the end of the arrivals.
func (w *world) repeat(interval time.Duration, fn func()) {
	w.time.Every(interval, func() bool {
		fn()
		return w.time.Now().Sub(w.start) < w.opts.Duration+drainTime
	})
}

// drainTime is how long the periodic reports continue after the end of the arrivals.
const drainTime = 30 * time.Second

// reportLoads delivers the delayed load of each engine to each host of its region.
func (w *world) reportLoads() {
	for _, e := range w.engines {
		l := e.laggedLoad(w)
		for _, f := range w.hosts[w.regionOf[e.name]] {
			f.RecordProbe(service, e.name, l.at, !e.down)
			f.ApplyLoadReport(service, e.name, fleet.LoadReport{Running: l.running, Waiting: l.waiting, At: l.at})
		}
	}
}

// exchangeDigests delivers each region's digest to all regions, after a delay of one
// second.
func (w *world) exchangeDigests() {
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
	w.after(time.Second, func() { w.digests = next })
}

// reportEviction delivers a cache event to the hosts of the engine's region after
// ReportLag, or drops it with probability EventLoss.
func (w *world) reportEviction(e *engine, block uint64) {
	if w.policyRandom.Float64() < w.opts.EventLoss {
		return
	}
	w.after(w.opts.ReportLag, func() {
		for _, f := range w.hosts[w.regionOf[e.name]] {
			f.RecordEviction(service, e.name, block)
		}
	})
}

func (w *world) nextArrival(r RegionOptions, since time.Duration) {
	rate := max(r.Rate(since), 0.01)
	gap := time.Duration(w.arrivalRandom.ExpFloat64() / rate * float64(time.Second))
	if since+gap > w.opts.Duration {
		return
	}
	w.after(gap, func() {
		w.arrive(w.newArrival(r.Name))
		w.nextArrival(r, since+gap)
	})
}

// newArrival draws a request: a long review of one of a few hot documents, or a quick
// question.
func (w *world) newArrival(home string) *arrival {
	a := &arrival{at: w.time.Now(), home: home, account: fmt.Sprint(w.arrivalRandom.IntN(20)), long: w.arrivalRandom.Float64() < w.opts.LongShare}
	if !a.long {
		a.bytes, a.tokens = 300, 20+w.arrivalRandom.IntN(40)
		return a
	}
	document := int(float64(w.opts.Documents) * w.arrivalRandom.Float64() * w.arrivalRandom.Float64() * w.arrivalRandom.Float64())
	a.bytes, a.tokens = 24*blockBytes, 200+w.arrivalRandom.IntN(200)
	prompt := make([]byte, a.bytes)
	for i := range 20 * blockBytes {
		prompt[i] = byte(document >> (8 * (i % 4)))
	}
	for i := 20 * blockBytes; i < a.bytes; i++ {
		prompt[i] = byte(w.arrivalRandom.Uint32())
	}
	a.chain = gateway.PrefixChain(prompt)
	return a
}

func (w *world) arrive(a *arrival) {
	w.arrivals = append(w.arrivals, a)
	region, remote := w.chooseRegion(a)
	a.region = region
	delay := time.Duration(0)
	if remote {
		delay = w.opts.RoundTrip
	}
	if w.opts.SingleQueue {
		delay += time.Millisecond
	}
	hosts := w.hosts[region]
	f := hosts[w.policyRandom.IntN(len(hosts))]
	w.after(delay, func() { w.submit(f, a) })
}

func (w *world) submit(f *fleet.Fleet, a *arrival) {
	class := request.ClassInteractive
	if a.long {
		class = request.ClassBatch
	}
	a.attempts++
	req := fleet.SlotRequest{
		Request:     request.Request{Service: service, Class: class, Account: a.account, PrefixChain: a.chain, Deadline: a.at.Add(w.opts.Deadline)},
		PrefillTime: time.Duration(a.bytes) * prefillPerByte, MinServiceTime: 20 * time.Millisecond, TriedEngines: a.tried,
	}
	if !a.long {
		req.MaxWait = 3 * w.opts.FirstToken
	}
	if w.opts.NoDeadline {
		req.Request.Deadline = a.at.Add(time.Hour)
	}
	f.Submit(req, func(s fleet.SubmitResult) {
		w.after(0, func() { w.onServed(f, a, s) })
	})
}

func (w *world) onServed(f *fleet.Fleet, a *arrival, s fleet.SubmitResult) {
	if s.Err != nil {
		a.rejected = true
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
	j := &job{arrival: a, onFirstToken: func(at time.Time) {
		a.firstToken, first = at, at.Sub(sent)
	}, onDone: func(at time.Time, ok bool) {
		if ok {
			a.end = at
			s.Ticket.Done(fleet.Result{Outcome: fleet.Answered, TimeToFirstByte: first})
			return
		}
		s.Ticket.Done(fleet.Result{Outcome: fleet.Failed})
		w.retry(f, a)
	}}
	if !e.offer(w, j) {
		s.Ticket.Done(fleet.Result{Outcome: fleet.Shed})
		w.retry(f, a)
	}
}

func (w *world) retry(f *fleet.Fleet, a *arrival) {
	if a.attempts >= retry.MaxAttempts || w.time.Now().After(a.at.Add(w.opts.Deadline)) {
		a.failed = true
		return
	}
	w.submit(f, a)
}

func (w *world) chooseRegion(a *arrival) (region string, remote bool) {
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
			if i := w.policyRandom.IntN(len(digests)); permitted(digests[i].Region) {
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
		req := route.RegionRequest{Permitted: permitted, PrefillTime: time.Duration(a.bytes) * prefillPerByte, CachedShare: 0.5}
		if c := route.ChooseRegion(w.time.Now(), digests, home, w.opts.Weights, &req, w.policyRandom.Uint64()); c.Index >= 0 {
			return c.Index
		}
	}
	return home
}
