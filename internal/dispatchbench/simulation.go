package dispatchbench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/internal/virtual"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/roster"
)

// Region describes one region of a simulated site.
type Region struct {
	Name     string
	Engines  int
	Gateways int
	Rate     func(at time.Duration) float64 // arrivals per second
}

// Options configures one simulation.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Regions  []Region
	Kinds    []*RequestKind
	Engine   EngineModel
	ColdTime time.Duration // how long a restarted engine is cold
	ColdRate float64       // requests per second that a cold engine may get
	Speeds   []float64     // of the engines, in turn, relative to Engine; empty if all are alike
	Strategy Strategy
	Accounts []float64 // relative demand of the client accounts; empty for none
	// OrderedReturns has rejected callers return when package dispatch tells them to, as with
	// package ingress, rather than when there may be room at the earliest.
	OrderedReturns bool
	// Unlimited hides the limits for pauses and the deadlines from the gateways.
	Unlimited bool
	Faults    func(s *Simulation) // schedules crashes and rate limits; may be nil
}

// Times and other constants of the model. Network delays are one-way.
const (
	callerDelay = time.Millisecond
	localDelay  = time.Millisecond
	remoteDelay = 80 * time.Millisecond
	// connectFailureDelay is how long a gateway takes to detect that nothing listens at
	// an engine's address.
	connectFailureDelay = 3 * time.Millisecond
	// registrationDelay is how long it takes until a started engine is registered.
	registrationDelay = 150 * time.Millisecond
	// failureDetectionTime is how long it takes until a crashed engine, which sends no
	// more heartbeats, is removed from the registry.
	failureDetectionTime = 4200 * time.Millisecond
	heartbeatInterval    = 1200 * time.Millisecond
	// rereadWindow is how long after its last use a shared block that must be read counts
	// as read again.
	rereadWindow = 10 * time.Second
	// callerRetries is how often a caller retries after a rejection.
	callerRetries = 1
	// postArrivalTime is how long gateways exchange reports after the arrivals end.
	postArrivalTime = 10 * time.Second
)

const serviceName = "model"

// gateway is one gateway.
type gateway struct {
	host       roster.Host
	dispatcher *dispatch.Dispatcher
	inFlight   map[string]int // requests in flight by engine, for the baselines
}

// Simulation is the state of one simulation.
type Simulation struct {
	Options
	clock            *virtual.Scheduler
	start            time.Time
	random           *rand.Rand // for the choices; arrivals have their own
	traffic          *trafficGenerator
	gateways         map[string][]*gateway // by region
	gatewayByAddress map[string]*gateway
	hosts            []roster.Host
	registries       map[string]*registry.Table // by region
	engines          map[string]*engine         // running engines, by incarnation
	enginesByRegion  map[string][]*engine       // running engines, in the order of their starts
	incarnations     int                        // engines started so far
	lastRead         map[string]time.Time       // of each shared block, by any engine
	arrivals         []*arrival
	sends            int // requests sent to engines
}

func newSimulation(o Options) *Simulation {
	start := time.Unix(1_700_000_000, 0)
	s := &Simulation{
		Options: o, start: start, clock: virtual.New(start), random: rand.New(rand.NewPCG(o.Seed, 5)),
		traffic:  &trafficGenerator{random: rand.New(rand.NewPCG(o.Seed, 6)), kinds: o.Kinds, blockTokens: make(map[string]int)},
		gateways: make(map[string][]*gateway), gatewayByAddress: make(map[string]*gateway), registries: make(map[string]*registry.Table), engines: make(map[string]*engine),
		enginesByRegion: make(map[string][]*engine), lastRead: make(map[string]time.Time),
	}
	regions := make(map[string]string)
	for _, region := range o.Regions {
		regions[region.Name] = region.Name
		s.registries[region.Name] = registry.New(region.Name, heartbeatInterval, s.clock.Now)
		for i := range region.Gateways {
			name := fmt.Sprintf("%s-%d", region.Name, i)
			s.hosts = append(s.hosts, roster.Host{
				Name: name, Role: roster.RoleGateway, Region: region.Name, DataCentre: fmt.Sprintf("%s%d", region.Name, i%2), Peer: name, Handover: "h",
			})
		}
		for i := range region.Engines {
			s.startEngine(region.Name, fmt.Sprintf("%s:%d", region.Name, i), false)
		}
	}
	c := catalog.Catalog{Version: 1, Routes: s.routes(), Services: []catalog.Service{{
		Name: serviceName, ColdTime: o.ColdTime, ColdRate: o.ColdRate, Model: &catalog.ModelSpec{Slots: o.Engine.Slots, CacheTokens: o.Engine.MemoryTokens, EventTokens: o.Engine.EventTokens},
	}}}
	for _, h := range s.hosts {
		g := &gateway{host: h, inFlight: make(map[string]int)}
		g.dispatcher = dispatch.New(dispatch.Deps{
			Name: h.Name, Region: h.Region, DataCentre: h.DataCentre, RegionOf: regions, Engines: s.registries[h.Region], Peers: func() []roster.Host { return s.hosts }, RoundTripTo: fixedRoundTrip,
			RetryBudget: retry.Policy{Share: 0.2, Extra: 166, Window: 10 * time.Second}, Log: zap.NewNop(), Clock: s.clock.Now,
		})
		g.dispatcher.ApplyState(ledger.State{Index: 1, Catalog: c}, catalog.NewTable(c))
		s.gateways[h.Region] = append(s.gateways[h.Region], g)
		s.gatewayByAddress[h.Peer] = g
	}
	return s
}

// routes returns a route for each kind of request.
func (s *Simulation) routes() []catalog.Route {
	var out []catalog.Route
	for _, k := range s.Kinds {
		maxPause := k.MaxPause
		if s.Unlimited {
			maxPause = 0
		}
		out = append(out, catalog.Route{
			Name: k.Name, Kind: catalog.KindStream, Target: k.Target, MaxPause: maxPause, Priority: k.Priority, Homes: k.Homes, Resumable: k.Resumable,
			Backends: []catalog.Backend{{Service: serviceName, Weight: 1}},
		})
	}
	return out
}

// fixedRoundTrip returns the round trip between regions.
func fixedRoundTrip(string) (time.Duration, bool) { return 2 * remoteDelay, true }

// At schedules an event at a time since the start. It is called before the simulation runs.
func (s *Simulation) At(at time.Duration, event func()) { s.clock.After(at, event) }

// Crash ends a share of a region's engines. They restart after the downtime, cold and
// with empty caches.
func (s *Simulation) Crash(region string, share float64, downtime time.Duration) {
	engines := slices.Clone(s.enginesByRegion[region])
	s.random.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	for _, e := range engines[:int(share*float64(len(engines)))] {
		s.enginesByRegion[region] = slices.DeleteFunc(s.enginesByRegion[region], func(o *engine) bool { return o == e })
		e.crash()
		delete(s.engines, e.id)
		s.clock.After(failureDetectionTime, func() { s.registries[region].MarkLeft(e.id, 0) })
		s.clock.After(downtime, func() { s.startEngine(region, e.address, true) })
	}
}

// startEngine starts an engine. A cold one accepts only few requests at first.
func (s *Simulation) startEngine(region, address string, cold bool) {
	s.incarnations++
	e := &engine{EngineModel: s.Engine, clock: s.clock, id: fmt.Sprintf("e%04d", s.incarnations), address: address, region: region, speed: s.speedOf(address), cache: newBlockCache(), measuredUntil: s.start.Add(s.Duration)}
	heartbeat := registry.Engine{ID: e.id, Service: serviceName, Address: address, DataCentre: region, Slots: s.Engine.Slots, Sequence: 1}
	delay := time.Duration(0)
	if cold {
		delay, e.coldUntil = registrationDelay, s.clock.Now().Add(s.ColdTime)
		heartbeat.ColdUntil = e.coldUntil
	}
	s.engines[e.id] = e
	s.enginesByRegion[region] = append(s.enginesByRegion[region], e)
	s.clock.After(delay, func() { s.registries[region].Heartbeat(heartbeat) })
}

// speedOf returns the speed of the engine at an address, which keeps it after a restart.
func (s *Simulation) speedOf(address string) float64 {
	if len(s.Speeds) == 0 {
		return 1
	}
	return s.Speeds[dispatch.Rank("speed", address)%uint64(len(s.Speeds))]
}

// tickInterval is how often gateways apply changes of the registry, as in package daemon.
const tickInterval = 200 * time.Millisecond

// run runs the simulation until no event is left.
func (s *Simulation) run() {
	running := func() bool { return s.clock.Now().Sub(s.start) < s.Duration+postArrivalTime }
	for _, r := range s.Regions {
		s.scheduleArrival(r, 0)
		for i, g := range s.gateways[r.Name] {
			s.At(time.Duration(i)*time.Millisecond, func() { s.startTimers(g, running) })
		}
	}
	if s.Faults != nil {
		s.Faults(s)
	}
	s.clock.Run()
}

// startTimers starts a gateway's periodic tasks.
func (s *Simulation) startTimers(g *gateway, running func() bool) {
	s.clock.Every(tickInterval, func() bool {
		g.dispatcher.Tick()
		return running()
	})
	s.clock.Every(rollup.ReportInterval, func() bool {
		for _, out := range g.dispatcher.Outgoing() {
			for _, address := range out.To {
				s.deliver(g, s.gatewayByAddress[address], out.Message)
			}
		}
		return running()
	})
}

// deliver sends a message from one gateway to another.
func (s *Simulation) deliver(from, to *gateway, m rollup.Message) {
	delay := localDelay
	if from.host.Region != to.host.Region {
		delay = remoteDelay
	}
	s.clock.After(delay, func() { to.dispatcher.Receive(m) })
}

// scheduleArrival schedules a region's next arrival after the previous one.
func (s *Simulation) scheduleArrival(r Region, previous time.Duration) {
	gap := time.Duration(s.traffic.random.ExpFloat64() / max(r.Rate(previous), 0.01) * float64(time.Second))
	if previous+gap > s.Duration {
		return
	}
	a := s.traffic.draw(r.Name, previous+gap)
	s.arrivals = append(s.arrivals, a)
	s.clock.After(gap, func() {
		s.clock.After(callerDelay, func() { s.handleArrival(a) })
		s.scheduleArrival(r, previous+gap)
	})
}

// randomGateway returns a random gateway of a region.
func (s *Simulation) randomGateway(region string) *gateway {
	gateways := s.gateways[region]
	return gateways[s.random.IntN(len(gateways))]
}

// elapsed returns the time since the start.
func (s *Simulation) elapsed() time.Duration { return s.clock.Now().Sub(s.start) }
