package dispatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/fairshare"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/ratelimit"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/returns"
	"github.com/linenscale/linenscale/rollout"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/streams"
	"github.com/linenscale/linenscale/telemetry"
	"github.com/linenscale/linenscale/urgency"
)

// Deps are the dependencies and the identity of a Dispatcher.
type Deps struct {
	Name   string // this gateway's name
	Region string // only engines of this region are used
	// DataCentre is the data centre of this gateway.
	DataCentre string
	RegionOf   map[string]string // region of each data centre
	Engines    *registry.Table
	Peers      func() []roster.Host // reachable gateways of all regions
	// RoundTripTo returns the usual round trip to another region, and whether one was
	// measured.
	RoundTripTo func(region string) (time.Duration, bool)
	RetryBudget retry.Policy
	// Allowances receives the account usage that other gateways report; nil where no
	// allowances are enforced.
	Allowances *allowance.Meter
	Log        *zap.Logger
	Metrics    *telemetry.Metrics // may be nil
	Clock      func() time.Time
	// SuspendedSince reports whether this process was suspended at some time since then.
	// Answers that it was waiting for say nothing about their engines. nil for never.
	SuspendedSince func(since time.Time) bool
	Rollouts       rollout.Policy
	// ConnectedControlHosts counts the control hosts that this gateway is in contact with;
	// nil for always some.
	ConnectedControlHosts func() int
	// ViewIsSteady reports whether this gateway has been in contact with all control hosts for
	// a while, so that it knows all engines of its region; nil for never.
	ViewIsSteady func() bool
	// EngineVersions asks all control hosts which versions of a service's software there are;
	// complete is false if one didn't answer. nil for never.
	EngineVersions func(ctx context.Context, service string) (versions []registry.ServedVersion, complete bool)
}

// wasSuspended reports whether this process was suspended since the given time.
func (d *Dispatcher) wasSuspended(since time.Time) bool {
	return d.SuspendedSince != nil && d.SuspendedSince(since)
}

// Dispatcher chooses engines, and regions, for the requests of one gateway. It is safe
// for concurrent use. New makes one.
type Dispatcher struct {
	Deps

	// mu guards the fields below, the pools and their engines. Comments call it the lock.
	mu                sync.Mutex
	state             ledger.State
	catalog           *catalog.Table
	pools             map[string]*pool
	evacuationEnded   map[string]time.Time     // end of the last evacuation of each data centre
	aggregator        *rollup.Aggregator       // combines the reports of other gateways
	gateways          gatewayList              // gateways of this region
	reportingGateways int                      // gateways of this region with a known load
	isGroupLeader     bool                     // this gateway aggregates the reports of its group
	regionReportSent  time.Time                // when the last report went to other regions
	remotes           map[string]*remoteRegion // other regions by name
	enginesByHash     map[uint64]*engine
	engineCursor      uint64    // number of the registry's last change that the pools contain
	peerLoaded        []*engine // engines with a load of other gateways
	knownSpeeds       []*engine // engines of whose speeds anything is known
	// reported are the engines that the next report may have to contain: those that this
	// gateway has used lately, or that others say drain.
	reported       map[*engine]struct{}
	accountNames   map[uint32]string                    // account names by hash
	sentBlocks     []sentBlock                          // recently sent prompt blocks, for the next reports
	reportedBlocks map[rollup.SentBlock]time.Time       // when each was last reported, by any gateway
	lastCleanup    time.Time                            // when expired entries were last removed
	crashDetector  *quarantine.CrashDetector[brokenRun] // distinguishes crashes from broken connections
	suspectEngines chan SuspectEngine
	// quarantine holds the requests that were running when engines crashed.
	quarantine    *quarantine.Table
	parts         *quarantine.Parts             // the parts of prompts that were running when engines crashed
	begunRuns     []*Ticket                     // whose answers have begun, until their parts are cleared
	callerDemand  map[uint32]*callerDemand      // of this gateway's callers, by class
	peerDemand    map[uint32]rollup.RouteDemand // of the region's other gateways' callers, by class
	limits        *ratelimit.Table              // limits announced by engines
	pushback      *pushback.Table               // backoff and draining announced by engines
	returns       *returns.Book                 // promises to rejected requests
	loggedReturns returns.Counts
	shares        map[uint32]*fairshare.Table // of client accounts, by the hash of service and priority
}

// New returns a dispatcher without services. They come with the first ledger state.
func New(deps Deps) *Dispatcher {
	self := roster.Host{Name: deps.Name, Role: roster.RoleGateway, Region: deps.Region, DataCentre: deps.DataCentre}
	d := &Dispatcher{
		Deps: deps, catalog: catalog.NewTable(catalog.Catalog{}), pools: make(map[string]*pool), reported: make(map[*engine]struct{}),
		evacuationEnded: make(map[string]time.Time), reportingGateways: 1, remotes: make(map[string]*remoteRegion), enginesByHash: make(map[uint64]*engine), callerDemand: make(map[uint32]*callerDemand), reportedBlocks: make(map[rollup.SentBlock]time.Time), accountNames: make(map[uint32]string),
		crashDetector: quarantine.NewCrashDetector[brokenRun](), suspectEngines: make(chan SuspectEngine, maxSuspectEngines), quarantine: quarantine.New(), parts: quarantine.NewParts(), limits: ratelimit.New(deps.Name), pushback: pushback.New(), returns: returns.New(), shares: make(map[uint32]*fairshare.Table),
	}
	d.aggregator = rollup.New(rollup.Deps{Self: self, Hosts: deps.Peers, IsSignificant: d.isSignificantLoad, Clock: deps.Clock})
	return d
}

// ApplyState replaces the ledger state and the catalog. Pools of services that stay keep their
// estimates.
func (d *Dispatcher) ApplyState(state ledger.State, table *catalog.Table) {
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
		p, ok := d.pools[s.Name]
		if !ok {
			p = newPool(s, d.RetryBudget)
			d.pools[s.Name] = p
		}
		p.service, p.maxPause = s, shortestMaxPause(table, s.Name)
		p.applyRoutes(table.RoutesOf(s.Name), table.Accounts())
		r, ordered := state.Rollouts[s.Name]
		p.applyRollout(r, ordered)
	}
	d.updateEngines(true, now)
	d.refresh(now)
}

// Tick applies changes in the registry to the pools. The owner calls it several times a
// second, and after each change of the registry.
func (d *Dispatcher) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(d.Clock())
}

// ApplyChanges applies the latest changes in the registry, so that an engine that drains or
// has left gets nothing from now on. Unlike Tick, whose work grows with all engines, it
// leaves what is derived from them to the next Tick.
func (d *Dispatcher) ApplyChanges() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateEngines(false, d.Clock())
}

// cleanupInterval is how often expired entries are removed and the estimates are logged.
const cleanupInterval = 5 * time.Second

// refresh updates the pools and everything derived from them. The lock is held.
func (d *Dispatcher) refresh(now time.Time) {
	cleanup := now.Sub(d.lastCleanup) > cleanupInterval
	if cleanup {
		d.lastCleanup = now
		d.logEstimates()
	}
	d.updateEngines(cleanup, now)
	d.applyPeerReports()
	if cleanup {
		d.forgetRemoteBlocks(now)
		d.forgetReportedBlocks(now)
		d.quarantine.Expire(now)
		d.parts.Expire(now)
		d.returns.Expire(now)
		d.logReturns()
		d.logShares()
		d.forgetRemovedEngines(now)
	}
	d.clearBegunParts(now)
	d.resolveSuspects(now)
	d.updateGateways(now)
	for _, p := range d.pools {
		p.classifyVersions()
		d.classifyEngines(p, now)
		d.updateReaders(p, now)
	}
	d.updatePlans(now)
}

// updateEngines applies the changes in the registry to the pools. With all, it compares the
// pools with the whole registry, which is needed only to find the engines that were removed
// and those of a newly declared service: with thousands of engines that takes milliseconds,
// and something changes many times a second. The lock is held.
func (d *Dispatcher) updateEngines(all bool, now time.Time) {
	if all {
		d.engineCursor = 0
	}
	changed, cursor := d.Engines.ChangedSince(d.engineCursor, func(e registry.Engine) bool { return d.RegionOf[e.DataCentre] == d.Region })
	d.engineCursor = cursor
	registered := make(map[string]bool)
	for _, e := range changed {
		p, ok := d.pools[e.Service]
		if !ok {
			continue
		}
		if all {
			registered[e.ID] = true
		}
		updated := p.update(e)
		d.enginesByHash[updated.hash] = updated
	}
	if !all {
		return
	}
	clear(d.enginesByHash)
	for _, p := range d.pools {
		p.removeUnregistered(registered, now)
		for _, e := range p.sorted {
			d.enginesByHash[e.hash] = e
		}
	}
}

// Request describes a request to Acquire and ChooseRegion.
type Request struct {
	ID       string // ID of the request
	Route    string // requests of one route share a failure baseline
	Service  string
	Prompt   Prompt
	Deadline time.Time
	Tried    []string // engines of earlier attempts, not chosen again
	// Target is the time within which the answer should begin. With 0, the request is
	// admitted whatever its wait.
	Target time.Duration
	// MaxPause is the longest acceptable time between two events of the answer; 0 for any.
	MaxPause time.Duration
	// Priority ranks the request among those of its service; 0 is the most urgent.
	Priority int
	Account  string // client account of the caller; "" for none
	// Permitted reports whether the request may run in a region; nil permits all.
	Permitted func(region string) bool
	// Fingerprint is equal for all repeats of the request.
	Fingerprint quarantine.Fingerprint
	// Origin is set if the request continues a stream: only engines of its version may.
	Origin *streams.Origin

	limit    urgency.Limit // of the queue in this region
	promised bool          // it returns as it was promised
}

// Acquire returns a ticket for the engine with the lowest expected cost. The error is a
// *request.NotRun.
func (d *Dispatcher) Acquire(req Request) (*Ticket, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	p, ok := d.pools[req.Service]
	if !ok {
		return nil, &request.NotRun{Reason: request.ReasonNoEngine, Message: "service " + req.Service + " is not declared", RetryAfter: noEngineRetryAfter}
	}
	trials, err := d.checkQuarantine(req, now)
	if err != nil {
		return nil, err
	}
	req.limit, req.promised = d.rank(p, req, now), d.isPromised(req, now)
	chosen, expected := d.choose(p, req, now)
	if chosen == nil {
		return nil, d.noEngineError(p, req, now)
	}
	err = req.checkAdmission(expected)
	d.recordShare(req, err == nil, now)
	if err != nil {
		d.countPutAfter(req, expected)
		return nil, err
	}
	ticket := d.issueTicket(p, chosen, req, expected, now)
	ticket.partTrials = trials
	if req.Target > 0 {
		d.returns.Admitted(req.returnHash(), req.kindHash(), now)
	}
	d.parts.BeginTrials(trials)
	return ticket, nil
}
