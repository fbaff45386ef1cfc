package allowance

import (
	"fmt"
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

// Use is what an account does, in units a second.
type Use struct {
	Admitted float64
	Asked    float64 // admitted or not
}

func (u Use) plus(o Use) Use { return Use{u.Admitted + o.Admitted, u.Asked + o.Asked} }

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
	accounts map[string]*bucket
	near     near
	far      map[string]word // by region
}

// near is what is known of the other gateways of this region.
type near struct {
	uses     map[string]Use
	coverage float64 // share of the region's gateways that the sums hold
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
	// admittedOver and askedOver are over which times uses are averaged: the first as
	// short as words come, since it adds to their age; the second long enough for a
	// share to be steady where a gateway sees two requests of an account a second.
	admittedOver = 200 * time.Millisecond
	askedOver    = 500 * time.Millisecond
	// lag is how old what is known of other gateways is: 0.2 s within a region and 0.4 s
	// between regions that are 80 ms apart, and the time that uses are averaged over. With
	// 0.5 s the fullest window of an account that asks for 4.2 times its rate held 1.01 of
	// what may be, with this one less than all.
	lag = 650 * time.Millisecond
	// returnTime is how fast a bucket is brought back to where it should be, as the time
	// for which its rate would fill it.
	returnTime = time.Second
	// demandShare is how much of a region's share follows what is asked for there; the
	// rest is equal, so that a region that is cut off can serve an account which it
	// hardly knew.
	demandShare = 0.75
	// fullShare is how full a bucket is kept at most where all requests can't be admitted:
	// one that is full loses what flows in. With a full one, 0.93 of what the rate allows
	// was admitted.
	fullShare = 0.8
	// usedOverage is how much of the overage is given to callers. The rest is for what is
	// admitted before others know.
	usedOverage = 0.3
	// lagOverage is how much of the overage and of the slack stands in for the lag: where
	// it would do, a bucket may be emptied by all at once.
	lagOverage = 0.4
	// leastWait and mostWait bound when to come back: a share of the requests gets
	// through at any time, and within a window the whole burst is there again.
	leastWait = 200 * time.Millisecond
	mostWait  = 4 * time.Second
)

// New makes a meter that knows no account.
func New(deps Deps) *Meter {
	return &Meter{Deps: deps, accounts: make(map[string]*bucket), near: near{coverage: 1}, far: make(map[string]word)}
}

// Take takes over the accounts that are declared. A bucket begins empty: this gateway
// may have started again. One that is new or raised fills within the time that its
// burst takes.
func (m *Meter) Take(accounts []catalog.Account, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	named := make(map[string]bool, len(accounts))
	for _, a := range accounts {
		if !a.Allowance.Limited() {
			continue
		}
		named[a.Name] = true
		b, ok := m.accounts[a.Name]
		if !ok {
			b = newBucket(m.equalShares(), now)
			m.accounts[a.Name] = b
		}
		b.rate = a.Allowance.Rate * (1 + usedOverage*m.Policy.Overage)
		b.burst = a.Allowance.Burst * (1 + usedOverage*m.Policy.Overage)
		b.spare = lagOverage * (m.Policy.Overage*(a.Allowance.Rate*m.Policy.Window.Seconds()+a.Allowance.Burst) + m.Policy.Slack)
	}
	for name := range m.accounts {
		if !named[name] {
			delete(m.accounts, name)
		}
	}
}

func (m *Meter) equalShares() map[string]float64 {
	shares := make(map[string]float64, len(m.Regions))
	for _, region := range m.Regions {
		shares[region] = 1 / float64(len(m.Regions))
	}
	return shares
}

// Grant is what was counted for one request.
type Grant struct {
	meter  *Meter
	bucket *bucket
	cost   float64
}

// GiveBack takes a request that was never run off what was admitted. It may be called
// on a nil Grant, and again.
func (g *Grant) GiveBack(now time.Time) {
	if g == nil || g.cost == 0 {
		return
	}
	g.meter.mu.Lock()
	defer g.meter.mu.Unlock()
	g.bucket.level += g.cost
	g.bucket.admitted.add(-g.cost, now)
	g.cost = 0
}

// Ask counts a request of an account. It gives nil where the account has no limit; the
// error is a *request.NotRun where the request is over it.
func (m *Meter) Ask(account string, cost float64, now time.Time) (*Grant, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, ok := m.accounts[account]
	if !ok {
		return nil, nil
	}
	s := m.standing(account, b, now)
	b.asked.add(cost, now)
	if share := s.admits(cost); share < 1 && float64(m.Random()>>11)/(1<<53) >= share {
		b.refused += cost
		return nil, &request.NotRun{
			Reason:     request.ReasonAllowance,
			Message:    fmt.Sprintf("the account asks for %.0f units a second, and %.0f are allowed; %.0f of its burst are left", s.asked, s.rate, s.level),
			RetryAfter: s.wait(cost),
		}
	}
	b.level -= cost
	b.admitted.add(cost, now)
	return &Grant{meter: m, bucket: b, cost: cost}, nil
}

// Uses gives what this gateway's callers do, by account, of those who do anything.
func (m *Meter) Uses(now time.Time) map[string]Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Use)
	for name, b := range m.accounts {
		if u := b.own(now); u.Asked >= 1 || u.Admitted >= 1 {
			out[name] = u
		}
	}
	return out
}

// HearNear takes what the other gateways of this region do. coverage is the share of
// all its gateways that are alive, this one included, that the sums hold.
func (m *Meter) HearNear(uses map[string]Use, coverage float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fill(now)
	m.near = near{uses, min(1, coverage)}
}

// HearFar takes another region's word, which was told at the given time.
func (m *Meter) HearFar(region string, uses map[string]Use, at, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fill(now)
	m.far[region] = word{at, uses}
	m.share(now)
}

// fill brings all buckets up to date before what is known changes. The lock is held.
func (m *Meter) fill(now time.Time) {
	for name, b := range m.accounts {
		m.standing(name, b, now)
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
	for name, b := range m.accounts {
		here := b.own(now).plus(m.near.uses[name])
		asked := map[string]float64{m.Region: here.Asked}
		sum := here.Asked
		for region, w := range m.far {
			asked[region] = w.uses[name].Asked
			sum += asked[region]
		}
		if sum < 1 {
			continue
		}
		for _, region := range m.Regions {
			b.shares[region] = demandShare*asked[region]/sum + (1-demandShare)/float64(len(m.Regions))
		}
	}
}

// standing is what holds of an account at one moment.
type standing struct {
	level    float64 // units
	burst    float64
	rate     float64 // units a second, that this gateway and those it hears share
	asked    float64 // units a second, by all of them
	alone    float64 // share of that which is asked for at this gateway
	admitted float64 // units a second
	spare    float64 // units
}

// standing fills the bucket up to now and gives what holds. The lock is held.
func (m *Meter) standing(name string, b *bucket, now time.Time) standing {
	others := m.near.uses[name]
	part := 1.0
	for _, region := range m.Regions {
		switch {
		case region == m.Region:
		case m.heard(region, now):
			others = others.plus(m.far[region].uses[name])
		default:
			part -= b.shares[region]
		}
	}
	part *= m.near.coverage
	s := standing{rate: part * b.rate, burst: part * b.burst, spare: part * b.spare}
	b.fill(s.rate-others.Admitted, s.burst, now)
	s.level = b.level
	own := b.own(now)
	s.asked, s.admitted = own.Asked+others.Asked, own.Admitted+others.Admitted
	if s.asked > 0 {
		s.alone = own.Asked / s.asked
	}
	return s
}

// admits gives the share of the requests to admit: all while the bucket holds what the
// other gateways may admit before it is known, and then as many as the rate allows.
func (s standing) admits(cost float64) float64 {
	guard := min(s.burst, max(0, (1-s.alone)*lag.Seconds()*(s.asked-s.rate)-s.spare))
	if s.level-guard >= min(cost, s.burst) || s.asked <= 0 {
		return 1
	}
	aim := min(guard, fullShare*s.burst)
	return max(0, s.rate/s.asked*(1+(s.level-aim)/(s.rate*returnTime.Seconds())))
}

// wait gives when a request of that cost should come back.
func (s standing) wait(cost float64) time.Duration {
	if s.rate <= 0 {
		return mostWait
	}
	seconds := (cost - min(0, s.level)) / s.rate
	return max(leastWait, min(mostWait, time.Duration(seconds*float64(time.Second))))
}
