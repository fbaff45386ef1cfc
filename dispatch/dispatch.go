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

	mu                sync.Mutex
	state             ledger.State
	catalog           *catalog.Table
	pools             map[string]*pool
	evacuationEnded   map[string]time.Time     // when a data centre's evacuation ended
	aggregator        *rollup.Board            // of what other gateways do
	gateways          gatewayList              // the gateways of this region
	reportingGateways int                      // gateways of this region whose load is known, this one included
	isGroupLeader     bool                     // this gateway sums the loads of others
	regionReportSent  time.Time                // when other regions were last told
	remotes           map[string]*remoteRegion // by name: the other regions
	enginesByHash     map[uint64]*engine
	accountNames      map[uint32]string // names by hash
	sentBlocks        []sentBlock       // parts to tell the other gateways
	lastCleanup       time.Time         // when old parts were last forgotten
	crashDetector     *quarantine.Watch // of engines whose connections broke
	suspectEngines    chan Doubt
	// suspects are the requests under which engines crashed.
	quarantine *quarantine.Table
	limits     *ratelimit.Table // that engines name
	pushback   *pushback.Table  // what engines ask of this gateway
}

// New makes a dispatcher that knows no service.
func New(deps Deps) *Dispatcher {
	self := roster.Host{Name: deps.Name, Role: roster.RoleGateway, Region: deps.Region, DataCentre: deps.DataCentre}
	return &Dispatcher{
		Deps: deps, catalog: catalog.NewTable(catalog.Catalog{}), pools: make(map[string]*pool),
		aggregator:      rollup.New(rollup.Deps{Self: self, Hosts: deps.Peers, Clock: deps.Clock}),
		evacuationEnded: make(map[string]time.Time), reportingGateways: 1, remotes: make(map[string]*remoteRegion), enginesByHash: make(map[uint64]*engine), accountNames: make(map[uint32]string),
		crashDetector: quarantine.NewWatch(), suspectEngines: make(chan Doubt, maxSuspectEngines), quarantine: quarantine.New(), limits: ratelimit.New(deps.Name), pushback: pushback.New(),
	}
}

// Take takes over a state of the ledger.
func (d *Dispatcher) Take(state ledger.State, table *catalog.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	for _, dataCentre := range d.state.Evacuated {
		if !state.IsEvacuated(dataCentre) {
			d.evacuationEnded[dataCentre] = now
		}
	}
	d.state, d.catalog = state, table
	d.updateAccounts()
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

// cleanupInterval is how often parts that are no longer believed kept are forgotten, and
// beliefs are logged.
const cleanupInterval = 5 * time.Second

// refresh brings the pools up to date. The lock is held.
func (d *Dispatcher) refresh(now time.Time) {
	engines := d.Engines.All()
	registered := make(map[string]bool, len(engines))
	for _, e := range engines {
		p, ok := d.pools[e.Service]
		if !ok || d.Regions[e.DataCentre] != d.Region {
			continue
		}
		registered[e.ID] = true
		p.update(e)
	}
	cleanup := now.Sub(d.lastCleanup) > cleanupInterval
	if cleanup {
		d.lastCleanup = now
		d.logEstimates()
	}
	for _, p := range d.pools {
		p.removeUnregistered(registered, cleanup, now)
	}
	if cleanup {
		d.forgetRemoteBlocks(now)
		d.quarantine.Forget(now)
	}
	d.resolveSuspects(engines, now)
	d.updateGateways(now)
	d.indexEngines()
	if cleanup {
		d.forgetRemovedEngines(now)
	}
	for _, p := range d.pools {
		d.classifyEngines(p, now)
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
func (d *Dispatcher) Acquire(req Ask) (*Ticket, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	p, ok := d.pools[req.Service]
	if !ok {
		return nil, &request.NotRun{Reason: request.ReasonNoEngine, Message: "service " + req.Service + " is not declared", RetryAfter: noEngineRetryAfter}
	}
	if err := d.checkQuarantine(req, now); err != nil {
		return nil, err
	}
	chosen, expected := d.choose(p, req, now)
	if chosen == nil {
		return nil, d.noEngineError(p, req, now)
	}
	if err := req.checkAdmission(expected); err != nil {
		return nil, err
	}
	return d.issueTicket(p, chosen, req, expected, now), nil
}
