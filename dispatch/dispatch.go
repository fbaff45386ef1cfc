package dispatch

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/ratelimit"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/telemetry"
)

// Deps are what a Dispatcher needs.
type Deps struct {
	Name   string // of this gateway
	Region string // whose engines it may use
	// DataCentre is where this gateway stands.
	DataCentre string
	Regions    map[string]string // by data centre
	Engines    *registry.Table
	Peers      func() []roster.Host // the gateways that are in touch, of all regions
	// Trip gives the usual round trip to another region, and whether it is known.
	Trip   func(region string) (time.Duration, bool)
	Budget retry.Policy
	// Allowances are told of what other gateways' callers do; nil where none are kept.
	Allowances *allowance.Meter
	Log        *zap.Logger
	Metrics    *telemetry.Metrics // nil for none
	Clock      func() time.Time
}

// Dispatcher is safe for concurrent use. New makes one.
type Dispatcher struct {
	Deps

	mu       sync.Mutex
	state    ledger.State
	table    *catalog.Table
	pools    map[string]*pool
	cleared  map[string]time.Time  // when a data centre's evacuation ended
	board    *rollup.Board         // of what other gateways do
	near     near                  // the gateways of this region
	alike    int                   // gateways of this region whose load is known, this one included
	leading  bool                  // this gateway sums the loads of others
	toldFar  time.Time             // when other regions were last told
	far      map[string]*farRegion // by name: the other regions
	byHash   map[uint64]*engine
	accounts map[uint32]string // names by hash
	sent     []sent            // parts to tell the other gateways
	tidied   time.Time         // when old parts were last forgotten
	watch    *quarantine.Watch // of engines whose connections broke
	doubts   chan Doubt
	// suspects are the requests under which engines crashed.
	suspects *quarantine.Table
	limits   *ratelimit.Table // that engines name
	pushback *pushback.Table  // what engines ask of this gateway
}

// New makes a dispatcher that knows no service.
func New(deps Deps) *Dispatcher {
	self := roster.Host{Name: deps.Name, Role: roster.RoleGateway, Region: deps.Region, DataCentre: deps.DataCentre}
	return &Dispatcher{
		Deps: deps, table: catalog.NewTable(catalog.Catalog{}), pools: make(map[string]*pool),
		board:   rollup.New(rollup.Deps{Self: self, Hosts: deps.Peers, Clock: deps.Clock}),
		cleared: make(map[string]time.Time), alike: 1, far: make(map[string]*farRegion), byHash: make(map[uint64]*engine), accounts: make(map[uint32]string),
		watch: quarantine.NewWatch(), doubts: make(chan Doubt, mostDoubts), suspects: quarantine.New(), limits: ratelimit.New(deps.Name), pushback: pushback.New(),
	}
}

// Take takes over a state of the ledger.
func (d *Dispatcher) Take(state ledger.State, table *catalog.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	for _, dataCentre := range d.state.Evacuated {
		if !state.IsEvacuated(dataCentre) {
			d.cleared[dataCentre] = now
		}
	}
	d.state, d.table = state, table
	d.takeAccounts()
	for _, s := range table.Services() {
		if p, ok := d.pools[s.Name]; ok {
			p.service = s
			continue
		}
		d.pools[s.Name] = newPool(s, d.Budget)
	}
	d.refresh(now)
}

// Tick takes over what has changed of the engines. The owner calls it several
// times a second, and whenever the registry changes.
func (d *Dispatcher) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(d.Clock())
}

// tidyEvery is how often parts that are no longer believed kept are forgotten, and
// beliefs are logged.
const tidyEvery = 5 * time.Second

// refresh brings the pools up to date. The lock is held.
func (d *Dispatcher) refresh(now time.Time) {
	engines := d.Engines.All()
	seen := make(map[string]bool, len(engines))
	for _, e := range engines {
		p, ok := d.pools[e.Service]
		if !ok || d.Regions[e.DataCentre] != d.Region {
			continue
		}
		seen[e.ID] = true
		p.set(e)
	}
	forget := now.Sub(d.tidied) > tidyEvery
	if forget {
		d.tidied = now
		d.logBeliefs()
	}
	for _, p := range d.pools {
		p.drop(seen, forget, now)
	}
	if forget {
		d.forgetAway(now)
		d.suspects.Forget(now)
	}
	d.judgeDoubted(engines, now)
	d.lookNear(now)
	d.index()
	if forget {
		d.forgetGone(now)
	}
	for _, p := range d.pools {
		d.sortOut(p, now)
	}
}

// Ask is what Acquire needs to know of a request.
type Ask struct {
	ID       string // of the request
	Route    string // whose requests fail about equally often
	Service  string
	Prompt   Prompt
	Deadline time.Time
	Tried    []string // engines of earlier attempts
	// Target is the time within which the answer should begin; 0 for none, with which
	// any wait is admitted.
	Target time.Duration
	// Permitted tells whether the request may run in a region; nil for all.
	Permitted func(region string) bool
	// Fingerprint is the same for each repeat of the request.
	Fingerprint quarantine.Fingerprint
}

// Acquire gives a ticket for the best engine. The error is a *request.NotRun.
func (d *Dispatcher) Acquire(ask Ask) (*Ticket, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	p, ok := d.pools[ask.Service]
	if !ok {
		return nil, &request.NotRun{Reason: request.ReasonNoEngine, Message: "service " + ask.Service + " is not declared", RetryAfter: retrySoon}
	}
	if err := d.checkSuspect(ask, now); err != nil {
		return nil, err
	}
	chosen, best := d.choose(p, ask, now)
	if chosen == nil {
		return nil, d.refusal(p, ask, now)
	}
	if err := ask.admits(best); err != nil {
		return nil, err
	}
	return d.grant(p, chosen, ask, best, now), nil
}
