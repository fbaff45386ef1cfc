package allowance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/catalog"
)

// simulation runs the gateways of three regions, all of which receive requests for one
// account, in virtual time.
type simulation struct {
	now             time.Time
	gateways        int
	random          *rand.Rand
	policy          allowance.Policy
	limit           catalog.Allowance
	limiters        [][]limiter  // by region and gateway
	demand          []float64    // units a second, by region
	partitioned     map[int]bool // by region
	arrivals        []arrival
	admitted        float64 // units
	wronglyRejected float64 // units rejected although they were within the allowance
	firstInWindow   int     // index of the first arrival within the last window
	expired         float64 // units admitted before that arrival
}

type arrival struct {
	at    time.Time
	units float64
}

// limiter is one strategy to enforce an allowance at one gateway.
type limiter interface {
	admit(cost float64, now time.Time) bool
	exchangeReports(now time.Time)
}

const (
	regions              = 3
	step                 = 10 * time.Millisecond
	localReportAge       = 200 * time.Millisecond // of the sums of the own region
	remoteReportInterval = 250 * time.Millisecond // between the reports of another region
	remoteReportAge      = 400 * time.Millisecond // of the sums in them
	ratePeriod           = 200 * time.Millisecond // over which reported rates are averaged
	meanTokens           = 2500                   // per request
)

var regionNames = []string{"lagos", "abuja", "kano"}

func newSimulation(gateways int, limit catalog.Allowance, newLimiter func(sim *simulation, region int) limiter) *simulation {
	sim := &simulation{
		now: time.Unix(1000, 0), gateways: gateways, random: rand.New(rand.NewPCG(1, 2)), partitioned: map[int]bool{}, limit: limit,
		policy: allowance.Policy{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000}, demand: []float64{0, 0, 0},
	}
	for region := range regions {
		var all []limiter
		for range gateways / regions {
			all = append(all, newLimiter(sim, region))
		}
		sim.limiters = append(sim.limiters, all)
	}
	return sim
}

// run advances the simulation by d.
func (sim *simulation) run(d time.Duration) {
	for until := sim.now.Add(d); sim.now.Before(until); sim.now = sim.now.Add(step) {
		for region, all := range sim.limiters {
			for i := range all {
				if (int(sim.now.UnixNano()/int64(step))+i)%10 == 0 {
					all[i].exchangeReports(sim.now)
				}
			}
			sim.generateRequests(region, all)
		}
	}
}

// generateRequests draws the requests of one step at random and sends each to a random
// gateway of the region.
func (sim *simulation) generateRequests(region int, all []limiter) {
	for expected := sim.demand[region] * step.Seconds() / sim.mean(); expected > 0; expected-- {
		if expected < 1 && sim.random.Float64() >= expected {
			return
		}
		cost := sim.cost()
		chosen := all[sim.random.IntN(len(all))]
		if m, ok := chosen.(*meterLimiter); ok && m.paused {
			continue
		}
		if chosen.admit(cost, sim.now) {
			sim.admitted += cost
			sim.arrivals = append(sim.arrivals, arrival{sim.now, cost})
		} else if sim.inWindow()+cost <= sim.nominalLimit() {
			sim.wronglyRejected += cost
		}
	}
}

// mean returns the average units of a request.
func (sim *simulation) mean() float64 {
	if sim.limit.Unit == catalog.UnitRequests {
		return 1
	}
	return meanTokens
}

// cost draws the units of a request at random.
func (sim *simulation) cost() float64 {
	if sim.limit.Unit == catalog.UnitRequests {
		return 1
	}
	return meanTokens * 0.4 * (1 + sim.random.ExpFloat64()*1.5)
}

// nominalLimit returns the units that the account may use in a window without any excess.
func (sim *simulation) nominalLimit() float64 {
	return sim.limit.Rate*sim.policy.Window.Seconds() + sim.limit.Burst
}

// inWindow returns the units admitted within the last window.
func (sim *simulation) inWindow() float64 {
	for sim.firstInWindow < len(sim.arrivals) && sim.arrivals[sim.firstInWindow].at.Before(sim.now.Add(-sim.policy.Window)) {
		sim.expired += sim.arrivals[sim.firstInWindow].units
		sim.firstInWindow++
	}
	return sim.admitted - sim.expired
}

// fullestWindow returns the units admitted in the fullest window, as a fraction of the
// limit with the permitted excess.
func (sim *simulation) fullestWindow() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, a := range sim.arrivals {
		sum += a.units
		for sim.arrivals[first].at.Before(a.at.Add(-sim.policy.Window)) {
			sum -= sim.arrivals[first].units
			first++
		}
		most = max(most, sum)
	}
	return most / (sim.nominalLimit()*(1+sim.policy.Overage) + sim.policy.Slack)
}

// meterLimiter is the strategy of the gateways: a Meter that receives the reports of the
// others with a delay.
type meterLimiter struct {
	*allowance.Meter
	sim              *simulation
	region           int
	history          []usageSample
	lastRemoteReport time.Time
	paused           bool
	isolated         bool // from all other gateways; callers still reach it
}

type usageSample struct {
	at  time.Time
	use allowance.Usage
}

func newMeterLimiter(sim *simulation, region int) limiter {
	m := &meterLimiter{sim: sim, region: region, Meter: allowance.New(allowance.Deps{
		Region: regionNames[region], Regions: regionNames, Policy: sim.policy, Random: sim.random.Uint64,
	})}
	m.SetGateways(sim.gateways)
	m.SetAccounts([]catalog.Account{{Name: "club", Allowance: sim.limit}}, sim.now)
	m.ReceiveLocal(nil, float64(regions)/float64(sim.gateways), sim.now)
	return m
}

func (m *meterLimiter) admit(cost float64, now time.Time) bool {
	_, err := m.Admit("club", cost, now)
	return err == nil
}

// exchangeReports records this gateway's usage, and applies the reports that have arrived
// from the others.
func (m *meterLimiter) exchangeReports(now time.Time) {
	if m.paused {
		return
	}
	m.history = append(m.history, usageSample{now, m.OwnUsage(now)["club"]})
	if m.isolated {
		m.ReceiveLocal(map[string]allowance.Usage{}, float64(regions)/float64(m.sim.gateways), now)
		return
	}
	sums := make([]allowance.Usage, regions)
	reporting := 1
	for region, all := range m.sim.limiters {
		age := remoteReportAge
		if region == m.region {
			age = localReportAge
		}
		for _, l := range all {
			if o := l.(*meterLimiter); o != m && !o.isolated {
				u, known := o.usageAt(now.Add(-age))
				sums[region].AdmittedRate += u.AdmittedRate
				sums[region].SmoothedRate += u.SmoothedRate
				sums[region].RequestedRate += u.RequestedRate
				sums[region].WindowTotal += u.WindowTotal
				if known && region == m.region {
					reporting++
				}
			}
		}
	}
	m.ReceiveLocal(map[string]allowance.Usage{"club": sums[m.region]}, float64(reporting)/float64(m.sim.gateways/regions), now)
	if now.Sub(m.lastRemoteReport) < remoteReportInterval {
		return
	}
	m.lastRemoteReport = now
	for region, sum := range sums {
		if region != m.region && !m.sim.partitioned[region] && !m.sim.partitioned[m.region] {
			m.ReceiveRemote(regionNames[region], map[string]allowance.Usage{"club": sum}, now.Add(-remoteReportAge), now)
		}
	}
}

// usageAt returns the last usage that the gateway had reported by then, if any.
func (m *meterLimiter) usageAt(when time.Time) (use allowance.Usage, known bool) {
	for i := len(m.history) - 1; i >= 0; i-- {
		if !m.history[i].at.After(when) {
			return m.history[i].use, true
		}
	}
	return allowance.Usage{}, false
}

// equalLimiter gives each gateway a token bucket with an equal share of the rate.
type equalLimiter struct {
	sim    *simulation
	tokens float64
	last   time.Time
}

func newEqualLimiter(sim *simulation, _ int) limiter { return &equalLimiter{sim: sim, last: sim.now} }

func (e *equalLimiter) exchangeReports(time.Time) {}

func (e *equalLimiter) admit(cost float64, now time.Time) bool {
	n := float64(len(e.sim.limiters) * len(e.sim.limiters[0]))
	e.tokens = min(e.sim.limit.Burst/n, e.tokens+e.sim.limit.Rate/n*now.Sub(e.last).Seconds())
	e.last = now
	if e.tokens <= 0 {
		return false
	}
	e.tokens -= cost
	return true
}

// globalCountLimiter counts everything that was admitted anywhere, with a delay. It
// admits all requests below the allowance and none above.
type globalCountLimiter struct {
	sim   *simulation
	first int
	last  int
	sum   float64
}

func newGlobalCountLimiter(sim *simulation, _ int) limiter { return &globalCountLimiter{sim: sim} }

func (c *globalCountLimiter) exchangeReports(time.Time) {}

func (c *globalCountLimiter) admit(cost float64, now time.Time) bool {
	for ; c.last < len(c.sim.arrivals) && c.sim.arrivals[c.last].at.Before(now.Add(-remoteReportAge-ratePeriod)); c.last++ {
		c.sum += c.sim.arrivals[c.last].units
	}
	for ; c.first < c.last && c.sim.arrivals[c.first].at.Before(now.Add(-c.sim.policy.Window)); c.first++ {
		c.sum -= c.sim.arrivals[c.first].units
	}
	return c.sum+cost <= c.sim.nominalLimit()
}

func (sim *simulation) String() string {
	return fmt.Sprintf("fullest window %.2f of the limit, wrongly rejected %.3f of %.0f units admitted", sim.fullestWindow(), sim.wronglyRejected/sim.admitted, sim.admitted)
}
