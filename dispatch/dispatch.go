package dispatch

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/roster"
)

// Deps are what a Dispatcher needs.
type Deps struct {
	Name    string            // of this gateway
	Region  string            // whose engines it may use
	Regions map[string]string // by data centre
	Engines *registry.Table
	Peers   func() []roster.Host // the gateways that are in touch, of all regions
	Budget  retry.Policy
	Log     *zap.Logger
	Clock   func() time.Time
}

// Dispatcher is safe for concurrent use. New makes one.
type Dispatcher struct {
	Deps

	mu      sync.Mutex
	state   ledger.State
	table   *catalog.Table
	pools   map[string]*pool
	cleared map[string]time.Time // when a data centre's evacuation ended
}

// New makes a dispatcher that knows no service.
func New(deps Deps) *Dispatcher {
	return &Dispatcher{Deps: deps, table: catalog.NewTable(catalog.Catalog{}), pools: make(map[string]*pool), cleared: make(map[string]time.Time)}
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
	for _, p := range d.pools {
		p.drop(seen, now)
	}
}

// Ask is what Acquire needs to know of a request.
type Ask struct {
	ID       string // of the request
	Service  string
	Prompt   Prompt
	Deadline time.Time
	Tried    []string // engines of earlier attempts
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
	chosen, why := d.choose(p, ask, now)
	if chosen == nil {
		return nil, &request.NotRun{Reason: request.ReasonNoEngine, Message: why, RetryAfter: retrySoon}
	}
	return p.grant(d, chosen, ask, why, now), nil
}

// retrySoon is when to come back where no engine can be used: engines are
// replaced within a second or two.
const retrySoon = 400 * time.Millisecond

// usable tells whether an engine may get the request, and why not.
func (d *Dispatcher) usable(p *pool, e *engine, now time.Time) (bool, string) {
	switch {
	case e.Phase >= registry.Draining:
		return false, "draining"
	case d.state.IsEvacuated(e.DataCentre):
		return false, "evacuated"
	case !e.GoneAt.IsZero() && now.After(e.GoneAt):
		return false, "taken away"
	case e.misdirected:
		return false, "replaced"
	case now.Before(e.avoidUntil):
		return false, "failing"
	case d.isCold(p, e, now) && !d.mayWarm(p, e, now):
		return false, "cold"
	default:
		return true, ""
	}
}

// clearedCold is how long after the end of an evacuation engines count as cold
// without having said so: until a heartbeat sent since has come.
const clearedCold = 3 * time.Second

// isCold tells whether an engine bears only few requests.
func (d *Dispatcher) isCold(p *pool, e *engine, now time.Time) bool {
	if p.service.ColdRate <= 0 {
		return false
	}
	if at, ok := d.cleared[e.DataCentre]; ok && now.Sub(at) < clearedCold {
		return true
	}
	return e.IsCold(now)
}

// mayWarm tells whether a cold engine may get a request now: from one gateway
// only, which all agree on, and no faster than the engine bears.
func (d *Dispatcher) mayWarm(p *pool, e *engine, now time.Time) bool {
	if now.Before(e.warmNext) {
		return false
	}
	best, owner := uint64(0), d.Name
	for _, h := range append(d.Peers(), roster.Host{Name: d.Name, Region: d.Region}) {
		if h.Region != d.Region {
			continue
		}
		if r := rank(e.ID, h.Name); r > best {
			best, owner = r, h.Name
		}
	}
	return owner == d.Name
}

// choose gives the engine that is expected to answer first, and why; or nil and
// why there is none.
func (d *Dispatcher) choose(p *pool, ask Ask, now time.Time) (*engine, string) {
	var best *engine
	var bestScore score
	refused := make(map[string]int)
	for _, e := range p.ordered {
		ok, why := d.usable(p, e, now)
		if ok && contains(ask.Tried, e.ID) {
			ok, why = false, "tried"
		}
		if !ok {
			refused[why]++
			continue
		}
		if s := p.score(e, ask, now); best == nil || s.less(bestScore) {
			best, bestScore = e, s
		}
	}
	if best == nil {
		return nil, "no engine can be used: " + counts(refused)
	}
	return best, bestScore.String()
}

// Load tells of the engines of each service, for other regions.
func (d *Dispatcher) Load() []roster.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	out := make([]roster.Load, 0, len(d.pools))
	for _, s := range d.table.Services() {
		out = append(out, d.load(d.pools[s.Name], now))
	}
	return out
}

func (d *Dispatcher) load(p *pool, now time.Time) roster.Load {
	l := roster.Load{Service: p.service.Name}
	free, slots := 0.0, 0.0
	for _, e := range p.ordered {
		if ok, _ := d.usable(p, e, now); !ok || d.isCold(p, e, now) {
			continue
		}
		l.Engines++
		slots += float64(e.Slots)
		free += max(0, float64(e.Slots-e.inFlight))
	}
	if slots > 0 {
		l.Free = free / slots
	}
	return l
}
