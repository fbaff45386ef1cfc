package allowance

import (
	"fmt"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/request"
)

// Policy says how far beyond the allowances the sum of all gateways may go: within any
// Window, rate x Window + burst, times 1 + Overage, and Slack.
type Policy struct {
	Window  time.Duration
	Overage float64
	Slack   float64 // units
}

// Use is what an account does, in units a second but for Window.
type Use struct {
	Admitted float64 // over the last 0.2 s
	Steady   float64 // admitted over the last 0.5 s
	Asked    float64 // admitted or not
	Window   float64 // units admitted within the last window
}

func (u Use) plus(o Use) Use {
	return Use{u.Admitted + o.Admitted, u.Steady + o.Steady, u.Asked + o.Asked, u.Window + o.Window}
}

// Deps are what a Meter needs.
type Deps struct {
	Region  string   // of this gateway
	Regions []string // all there are
	Policy  Policy
	Random  func() uint64
}

// Meter is safe for concurrent use. New makes one.
type Meter struct {
	Deps
	mu       sync.Mutex
	accounts map[string]*account
	active   map[string]*account // of those, the ones that somebody has used within a window
	near     near
	far      map[string]word // by region
	gateways int             // in all regions, this one included
}

// near is what is known of the other gateways of this region.
type near struct {
	uses     map[string]Use
	coverage float64        // share of the region's gateways that the sums hold
	all      map[string]Use // when they last held all of them
	allAt    time.Time      // when that was
}

// word is what another region last told.
type word struct {
	at   time.Time
	uses map[string]Use
}

const (
	// wordLife is how old another region's word may be. It comes four times a second;
	// one lost or late is borne.
	wordLife = 900 * time.Millisecond
	// nearHeld and farHeld are over which times what is admitted is told: twice as long as
	// words within a region, and between regions, are held until the next one comes.
	nearHeld = 200 * time.Millisecond
	farHeld  = 500 * time.Millisecond
	// askedOver is over which time what is asked for is averaged: long enough for a share to
	// be steady where a gateway sees two requests of an account a second.
	askedOver = 500 * time.Millisecond
	// lag is how old what is known of other gateways is: 0.2 s within a region and 0.4 s
	// between regions that are 80 ms apart, and the time that uses are averaged over.
	lag = time.Second
	// settleTime is how fast the window is brought to where it should be.
	settleTime = 250 * time.Millisecond
	// aimShare is how much of what may be beyond the allowance is aimed at where an account
	// asks for too much: below the allowance, callers are refused who are inside it, and
	// what the others admit before it is known needs the rest.
	aimShare = 0.2
	// aloneShare is the share of what is asked for from which on a gateway may decide as
	// if it were alone.
	aloneShare = 0.95
	// demandShare is how much of a region's share follows what is asked for there; the
	// rest is equal, so that a region that is cut off can serve an account which it
	// hardly knew.
	demandShare = 0.75
	// sharesOver is over which time the regions' shares follow what is asked for in each. A
	// region knows its own callers at once and the others' half a second later; followed at
	// once, each of three that are cut off as an account turns hot has nearly all of it.
	sharesOver = 16 * time.Second
	// holdTime is for how long gateways that fall silent are believed to go on as they did:
	// processes that were killed are back after a second, and until then those that are
	// left serve their callers.
	holdTime = 1200 * time.Millisecond
	// leastUse is what is told at least, in units a second.
	leastUse = 0.01
	// leastWait and mostWait bound when to come back: a share of the requests gets
	// through near the limit, and callers wait for some seconds at most.
	leastWait = 200 * time.Millisecond
	mostWait  = 4 * time.Second
)

// New makes a meter that knows no account.
func New(deps Deps) *Meter {
	return &Meter{Deps: deps, accounts: make(map[string]*account), active: make(map[string]*account), near: near{coverage: 1}, far: make(map[string]word)}
}

// Take takes over the accounts that are declared. Of one that is new here nothing is
// known: this gateway may have started again.
func (m *Meter) Take(accounts []catalog.Account, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	named := make(map[string]bool, len(accounts))
	for _, declared := range accounts {
		limit := declared.Allowance
		if !limit.Limited() {
			continue
		}
		named[declared.Name] = true
		inside := limit.Rate*m.Policy.Window.Seconds() + limit.Burst
		a, ok := m.accounts[declared.Name]
		if !ok {
			a = newAccount(inside, m.Policy.Window, m.Regions, now)
			m.accounts[declared.Name], m.active[declared.Name] = a, a
		}
		a.most = inside + aimShare*(m.Policy.Overage*inside+m.Policy.Slack)
	}
	for name := range m.accounts {
		if !named[name] {
			delete(m.accounts, name)
			delete(m.active, name)
		}
	}
}

// Grant is what was counted for one request.
type Grant struct {
	meter   *Meter
	account *account
	cost    float64
}

// GiveBack takes a request that was never run off what was admitted. It may be called
// on a nil Grant, and again.
func (g *Grant) GiveBack(now time.Time) {
	if g == nil || g.cost == 0 {
		return
	}
	g.meter.mu.Lock()
	defer g.meter.mu.Unlock()
	g.account.add(g.meter.Region, -g.cost, g.meter.Policy.Window, now)
	g.account.admitted.add(-g.cost, now)
	g.account.addOwn(-g.cost, g.meter.Policy.Window, now)
	g.account.jump.admitted -= g.cost
	g.cost = 0
}

// Ask counts a request of an account. It gives nil where the account has no limit; the
// error is a *request.NotRun where the request is over it.
func (m *Meter) Ask(name string, cost float64, now time.Time) (*Grant, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, ok := m.accounts[name]
	if !ok {
		return nil, nil
	}
	m.active[name] = a
	s := m.standing(name, a, now)
	a.asked.add(cost, now)
	a.demand.add(cost, now)
	if a.jump.note(now) {
		before := a.admitted.within(now, jumpOver)
		left := max(0, s.most-s.used) + before + s.leaving*blindTime.Seconds()
		inUse := a.known >= knownShare*s.most/m.Policy.Window.Seconds()
		a.jump.begin(before, left/float64(max(1, m.gateways)), inUse, now)
	}
	share := s.admits(cost)
	if !a.jump.admits(cost, a.asked.perSecond(now), m.blind(a.jump.since, now)) {
		share = 0
	}
	if !s.bounds(cost, a.admitted.within(now, lag), a.asked.perSecond(now)) {
		share = 0
	}
	if share < 1 && float64(m.Random()>>11)/(1<<53) >= share {
		a.refused += cost
		return nil, &request.NotRun{
			Reason:     request.ReasonAllowance,
			Message:    fmt.Sprintf("the account asks for %.0f units a second; of %.0f in %v, %.0f are used", s.asked, s.most, m.Policy.Window, s.used),
			RetryAfter: max(leastWait, min(mostWait, a.until(cost+s.used-s.most, s.regions))),
		}
	}
	a.add(m.Region, cost, m.Policy.Window, now)
	a.admitted.add(cost, now)
	a.addOwn(cost, m.Policy.Window, now)
	a.jump.admitted += cost
	return &Grant{meter: m, account: a, cost: cost}, nil
}

// blind tells whether what began at a time isn't known of the others yet: for blindTime, and
// as long as others are believed to be heard whose last words were told before. One gateway of
// six that is cut off from all others as an account turns hot took more than its part in 19 of
// 40 runs with blindTime alone, at worst 1.10 of what may be, and in 5 with this, at worst 1.02
// (TestAGatewayThatIsCutOffAloneHoldsAnAccount). The lock is held.
func (m *Meter) blind(since, now time.Time) bool {
	if now.Sub(since) < blindTime {
		return true
	}
	told := since.Add(toldTime)
	if m.near.coverage >= 1 && !m.near.allAt.IsZero() && m.near.allAt.Before(told) {
		return true
	}
	for _, region := range m.Regions {
		if region != m.Region && m.heard(region, now) && m.far[region].at.Before(told) {
			return true
		}
	}
	return false
}

// Uses gives what this gateway's callers do, by account, of those who do anything.
func (m *Meter) Uses(now time.Time) map[string]Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Use)
	for name, a := range m.active {
		if u := a.use(now); u.Asked >= leastUse || u.Window > 0 {
			out[name] = u
		}
	}
	return out
}

// SetGateways takes over how many gateways there are in all regions, this one included.
func (m *Meter) SetGateways(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gateways = n
}

// HearNear takes what the other gateways of this region do. coverage is the share of
// all its gateways that are alive, this one included, that the sums hold.
func (m *Meter) HearNear(uses map[string]Use, coverage float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fill(m.active, now)
	m.wake(uses)
	switch {
	case coverage >= 1:
		m.near = near{uses: uses, coverage: 1, all: uses, allAt: now}
	case now.Sub(m.near.allAt) < holdTime:
		m.near.uses, m.near.coverage = most(uses, m.near.all), 1
	default:
		m.near.uses, m.near.coverage = uses, coverage
	}
}

// most gives the greater use of each account.
func most(a, b map[string]Use) map[string]Use {
	out := maps.Clone(a)
	for name, use := range b {
		known := out[name]
		out[name] = Use{max(known.Admitted, use.Admitted), max(known.Steady, use.Steady), max(known.Asked, use.Asked), max(known.Window, use.Window)}
	}
	return out
}

// HearFar takes another region's word, which was told at the given time.
func (m *Meter) HearFar(region string, uses map[string]Use, at, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard(region, now) {
		m.fill(m.active, now)
	} else {
		m.fill(m.accounts, now) // the region is believed to have used its share of each
	}
	m.wake(uses)
	m.far[region] = word{at, uses}
	m.share(now)
}

// wake notes that somebody uses these accounts.
func (m *Meter) wake(uses map[string]Use) {
	for name := range uses {
		if a, ok := m.accounts[name]; ok {
			m.active[name] = a
		}
	}
}

// fill brings accounts up to date before what is known changes. The others, which nobody
// has used within a window, are when they are asked for: to bring 14,000 up to date, of
// which one in ten is used, takes 24 ms for each word instead of 3. The lock is held.
func (m *Meter) fill(accounts map[string]*account, now time.Time) {
	for name, a := range accounts {
		m.standing(name, a, now)
		if a.tidy(now) {
			delete(m.active, name)
		}
	}
}

// heard tells whether another region's word is fresh.
func (m *Meter) heard(region string, now time.Time) bool {
	return now.Sub(m.far[region].at) <= wordLife
}

// share works out the shares of the regions by what is asked for in each, while all are
// heard. The lock is held.
func (m *Meter) share(now time.Time) {
	for _, region := range m.Regions {
		if region != m.Region && !m.heard(region, now) {
			return
		}
	}
	for name, a := range m.active {
		here := a.use(now).plus(m.near.uses[name])
		asked := map[string]float64{m.Region: here.Asked}
		sum := here.Asked
		for region, w := range m.far {
			asked[region] = w.uses[name].Asked
			sum += asked[region]
		}
		if sum < leastUse {
			continue
		}
		part := 1 - math.Exp(-float64(now.Sub(a.parted))/float64(sharesOver))
		a.parted = now
		for _, region := range m.Regions {
			target := demandShare*asked[region]/sum + (1-demandShare)/float64(len(m.Regions))
			a.shares[region] += part * (target - a.shares[region])
		}
	}
}
