package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
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
	words   map[string]heard     // of other gateways
	alike   int                  // gateways of this region that are heard, this one included
	digests map[string]*digestOf // by region
	byHash  map[uint64]*engine
	sent    []sent    // parts to tell the other gateways
	tidied  time.Time // when old parts were last forgotten
}

// New makes a dispatcher that knows no service.
func New(deps Deps) *Dispatcher {
	return &Dispatcher{
		Deps: deps, table: catalog.NewTable(catalog.Catalog{}), pools: make(map[string]*pool),
		cleared: make(map[string]time.Time), words: make(map[string]heard), alike: 1, digests: make(map[string]*digestOf), byHash: make(map[uint64]*engine),
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

// tidyEvery is how often parts that are no longer believed kept are forgotten.
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
	}
	for _, p := range d.pools {
		p.drop(seen, forget, now)
	}
	d.index(now)
	for _, p := range d.pools {
		p.ready = 0
		for _, e := range p.ordered {
			if ok, _ := d.usable(p, e, now); ok && !d.isCold(p, e, now) {
				p.ready++
			}
		}
	}
}

// Ask is what Acquire needs to know of a request.
type Ask struct {
	ID       string // of the request
	Service  string
	Prompt   Prompt
	Deadline time.Time
	Tried    []string // engines of earlier attempts
	// Patience is the longest wait until the request is begun for which it is
	// admitted; 0 for any. The time that its own prompt takes doesn't count:
	// a long one would never be admitted.
	Patience time.Duration
	// Permitted tells whether the request may run in a region; nil for all.
	Permitted func(region string) bool
}

// Patience gives the longest wait until it is begun that a request is admitted
// for: a share of its target. In a long overload the queue stands at what the most
// patient wait for, whatever that is; where it is the whole target, all answers come
// late. The most urgent kind, of priority 0, waits longer; others leave it room.
func Patience(priority int, target time.Duration) time.Duration {
	share := otherPatience
	if priority == 0 {
		share = urgentPatience
	}
	return time.Duration(share * float64(target))
}

// Shares of its target that a request may wait. With 1 and 0.7, days of bursts of 3
// to 10 times the traffic earned 0.31 and 0.25 on the users' two small sites, with
// 0.55 and 0.45 0.38 and 0.35, with these 0.38 and 0.37; no other day changed by more
// than noise. The bench of an overload (package dispatchbench) prefers them too.
const (
	urgentPatience = 0.55
	otherPatience  = 0.3
)

// Overloaded gives the refusal of a request that is expected to be begun too
// late, or nil.
func (a Ask) Overloaded(queue time.Duration) error {
	if a.Patience == 0 || queue <= a.Patience {
		return nil
	}
	message := fmt.Sprintf("it is expected to be begun after %v, and %v is the most", queue.Round(time.Millisecond), a.Patience)
	return &request.NotRun{Reason: request.ReasonOverload, Message: message, RetryAfter: max(retrySoon, queue-a.Patience/2)}
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
	chosen, best, refused := d.choose(p, ask, now)
	if chosen == nil {
		return nil, &request.NotRun{Reason: request.ReasonNoEngine, Message: "no engine can be used: " + counts(refused), RetryAfter: retrySoon}
	}
	if err := ask.Overloaded(best.queue); err != nil {
		return nil, err
	}
	return d.grant(p, chosen, ask, best, now), nil
}

// retrySoon is when to come back where no engine can be used: engines are
// replaced within a second or two.
const retrySoon = 400 * time.Millisecond

// whyFailing is the reason not to use an engine that has failed lately.
const whyFailing = "failing"

// usable tells whether an engine may get the request, and why not.
func (d *Dispatcher) usable(p *pool, e *engine, now time.Time) (bool, string) {
	switch {
	case e.Phase >= registry.Draining:
		return false, e.Phase.String()
	case d.state.IsEvacuated(e.DataCentre):
		return false, "evacuated"
	case !e.GoneAt.IsZero() && now.After(e.GoneAt):
		return false, "taken away"
	case e.misdirected:
		return false, "replaced"
	case now.Before(e.avoidUntil):
		return false, whyFailing
	case d.isCold(p, e, now) && !d.mayWarm(e, now):
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
func (d *Dispatcher) mayWarm(e *engine, now time.Time) bool {
	if now.Before(e.warmNext) {
		return false
	}
	best, owner := uint64(0), d.Name
	for _, h := range slices.Concat(d.Peers(), []roster.Host{{Name: d.Name, Region: d.Region}}) {
		if h.Region != d.Region {
			continue
		}
		if r := Rank(e.ID, h.Name); r > best {
			best, owner = r, h.Name
		}
	}
	return owner == d.Name
}

// How many engines are looked at beside those that are believed to keep the
// prompt's shared parts. Gateways know of each other's requests a moment late; if
// each took the least loaded of many engines, they would all take the same one
// (Mitzenmacher, "How useful is old information?", 2000). In the bench of high
// load with crashes, with 20 gateways and more, 3 and one for each 16 gave a worth
// of 0.843, 2 gave 0.854, and one alone 0.857 with a worse median on calm days. A
// few gateways tell each other often, and do better with 3.
const (
	sampledMany = 2
	sampledFew  = 3
	fewGateways = 8
)

// sampled gives how many engines to look at. The lock is held.
func (d *Dispatcher) sampled() int {
	if d.alike > fewGateways {
		return sampledMany
	}
	return sampledFew
}

// choose gives the engine that is expected to serve the request best, or nil
// and how many engines can't be used for which reason. One that failed lately is
// used where no other can be.
func (d *Dispatcher) choose(p *pool, ask Ask, now time.Time) (best *engine, bestScore score, refused map[string]int) {
	usable, spare, refused := d.candidates(p, ask, now)
	first := d.first(usable, p, ask, now)
	kept := slices.ContainsFunc(usable, func(c candidate) bool { return c.keeps })
	looked := d.sampled()
	slices.SortFunc(usable, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	for i, c := range usable {
		if i >= looked && !c.keeps && c.engine != first && best != nil {
			continue
		}
		k := p.knowledge(c.engine, ask, now)
		// Where an engine is known to keep the parts, nobody need guess.
		k.first = c.engine == first && !kept
		s := expect(k, ask, 0)
		s.silence, s.rank = c.engine.Phase == registry.Silent, c.rank
		if best == nil || s.less(bestScore) {
			best, bestScore = c.engine, s
		}
	}
	if best == nil && spare != nil {
		best, bestScore = spare, expect(p.knowledge(spare, ask, now), ask, 0)
	}
	return best, bestScore, refused
}

// candidate is an engine that can be used, with its rank for this request and
// whether it is known to keep the prompt's shared parts.
type candidate struct {
	engine *engine
	rank   uint64
	keeps  bool
}

// candidates gives the engines that can be used; of those that failed lately,
// the one to use where no other can be; and how many can't be used for which
// reason.
func (d *Dispatcher) candidates(p *pool, ask Ask, now time.Time) (usable []candidate, spare *engine, refused map[string]int) {
	for _, e := range p.ordered {
		ok, why := d.usable(p, e, now)
		if ok && slices.Contains(ask.Tried, e.ID) {
			ok, why = false, "tried"
		}
		if ok {
			usable = append(usable, candidate{e, Rank(ask.ID, e.ID), p.keeps(e, ask.Prompt, now)})
			continue
		}
		if refused == nil {
			refused = make(map[string]int)
		}
		refused[why]++
		if why == whyFailing && (spare == nil || e.avoidUntil.Before(spare.avoidUntil)) {
			spare = e
		}
	}
	return usable, spare, refused
}

// first gives the engine that keeps the prompt's shared parts, as all gateways
// agree: where this region is their home, the one ranked first of those that can
// be used; nil elsewhere. Engines are ranked by their addresses, so that one that
// starts again gets its own prompts back and takes none from the others.
func (d *Dispatcher) first(usable []candidate, p *pool, ask Ask, now time.Time) *engine {
	key := ask.Prompt.Affinity()
	if key == "" || d.homeRegion(p, ask, now) != d.Region {
		return nil
	}
	var first *engine
	var highest uint64
	for _, c := range usable {
		if r := Rank(key, c.engine.Address); first == nil || r > highest {
			first, highest = c.engine, r
		}
	}
	return first
}

// counts gives "2 draining, 1 cold" in the order of the words.
func counts(refused map[string]int) string {
	if len(refused) == 0 {
		return "none is registered"
	}
	var out []string
	for _, why := range slices.Sorted(maps.Keys(refused)) {
		out = append(out, fmt.Sprintf("%d %s", refused[why], why))
	}
	return strings.Join(out, ", ")
}
