package allowance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/catalog"
)

// world is the gateways of three regions in virtual time, who ask for one account.
type world struct {
	now      time.Time
	gateways int
	random   *rand.Rand
	policy   allowance.Policy
	limit    catalog.Allowance
	meters   [][]limiter // by region and gateway
	demand   []float64   // units a second, by region
	cut      map[int]bool
	arrivals []arrival
	admitted float64 // units
	wrongly  float64 // units refused, though the window had room for them
	first    int     // of the arrivals within the last window
	left     float64 // units that were admitted before
}

type arrival struct {
	at    time.Time
	units float64
}

// limiter is one way of keeping an allowance at one gateway.
type limiter interface {
	ask(cost float64, now time.Time) bool
	tick(now time.Time)
}

const (
	regions  = 3
	step     = 10 * time.Millisecond
	nearWord = 200 * time.Millisecond // how old sums of the own region are
	farEvery = 250 * time.Millisecond
	farWord  = 400 * time.Millisecond // and words of others
	averaged = 200 * time.Millisecond // over which rates are told
	mean     = 2500                   // units of a request
)

var names = []string{"lagos", "abuja", "kano"}

func newWorld(gateways int, limit catalog.Allowance, way func(w *world, region int) limiter) *world {
	w := &world{
		now: time.Unix(1000, 0), gateways: gateways, random: rand.New(rand.NewPCG(1, 2)), cut: map[int]bool{}, limit: limit,
		policy: allowance.Policy{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000}, demand: []float64{0, 0, 0},
	}
	for region := range regions {
		var all []limiter
		for range gateways / regions {
			all = append(all, way(w, region))
		}
		w.meters = append(w.meters, all)
	}
	return w
}

// play lets time pass.
func (w *world) play(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); w.now = w.now.Add(step) {
		for region, all := range w.meters {
			for i := range all {
				if (int(w.now.UnixNano()/int64(step))+i)%10 == 0 {
					all[i].tick(w.now)
				}
			}
			w.arrive(region, all)
		}
	}
}

// arrive draws the requests of one step.
func (w *world) arrive(region int, all []limiter) {
	for expected := w.demand[region] * step.Seconds() / w.mean(); expected > 0; expected-- {
		if expected < 1 && w.random.Float64() >= expected {
			return
		}
		cost := w.cost()
		chosen := all[w.random.IntN(len(all))]
		if m, ok := chosen.(*metered); ok && m.paused {
			continue
		}
		if chosen.ask(cost, w.now) {
			w.admitted += cost
			w.arrivals = append(w.arrivals, arrival{w.now, cost})
		} else if w.inWindow()+cost <= w.inside() {
			w.wrongly += cost
		}
	}
}

// mean gives the units of a request on average.
func (w *world) mean() float64 {
	if w.limit.Unit == catalog.UnitRequests {
		return 1
	}
	return mean
}

// cost draws the units of a request.
func (w *world) cost() float64 {
	if w.limit.Unit == catalog.UnitRequests {
		return 1
	}
	return mean * 0.4 * (1 + w.random.ExpFloat64()*1.5)
}

// inside gives what the account may do in a window.
func (w *world) inside() float64 {
	return w.limit.Rate*w.policy.Window.Seconds() + w.limit.Burst
}

// inWindow gives what was admitted in the last window.
func (w *world) inWindow() float64 {
	for w.first < len(w.arrivals) && w.arrivals[w.first].at.Before(w.now.Add(-w.policy.Window)) {
		w.left += w.arrivals[w.first].units
		w.first++
	}
	return w.admitted - w.left
}

// worst gives what was admitted in the fullest window, as a share of what may be.
func (w *world) worst() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, a := range w.arrivals {
		sum += a.units
		for w.arrivals[first].at.Before(a.at.Add(-w.policy.Window)) {
			sum -= w.arrivals[first].units
			first++
		}
		most = max(most, sum)
	}
	return most / (w.inside()*(1+w.policy.Overage) + w.policy.Slack)
}

// metered is the way that the gateways take: a Meter told of the others late.
type metered struct {
	*allowance.Meter
	w        *world
	region   int
	history  []stamped
	heardFar time.Time
	paused   bool
	alone    bool // cut off from all others; callers still reach it
}

type stamped struct {
	at  time.Time
	use allowance.Use
}

func newMetered(w *world, region int) limiter {
	m := &metered{w: w, region: region, Meter: allowance.New(allowance.Deps{
		Region: names[region], Regions: names, Policy: w.policy, Random: w.random.Uint64,
	})}
	m.SetGateways(w.gateways)
	m.Take([]catalog.Account{{Name: "club", Allowance: w.limit}}, w.now)
	m.HearNear(nil, float64(regions)/float64(w.gateways), w.now)
	return m
}

func (m *metered) ask(cost float64, now time.Time) bool {
	_, err := m.Ask("club", cost, now)
	return err == nil
}

// tick tells what this gateway does, and hears of the others.
func (m *metered) tick(now time.Time) {
	if m.paused {
		return
	}
	m.history = append(m.history, stamped{now, m.Uses(now)["club"]})
	if m.alone {
		m.HearNear(map[string]allowance.Use{}, float64(regions)/float64(m.w.gateways), now)
		return
	}
	sums := make([]allowance.Use, regions)
	heard := 1
	for region, all := range m.w.meters {
		age := farWord
		if region == m.region {
			age = nearWord
		}
		for _, l := range all {
			if o := l.(*metered); o != m && !o.alone {
				u, known := o.at(now.Add(-age))
				sums[region].Admitted += u.Admitted
				sums[region].Steady += u.Steady
				sums[region].Asked += u.Asked
				sums[region].Window += u.Window
				if known && region == m.region {
					heard++
				}
			}
		}
	}
	m.HearNear(map[string]allowance.Use{"club": sums[m.region]}, float64(heard)/float64(m.w.gateways/regions), now)
	if now.Sub(m.heardFar) < farEvery {
		return
	}
	m.heardFar = now
	for region, sum := range sums {
		if region != m.region && !m.w.cut[region] && !m.w.cut[m.region] {
			m.HearFar(names[region], map[string]allowance.Use{"club": sum}, now.Add(-farWord), now)
		}
	}
}

// at gives what the gateway had told by then, and whether it had told anything.
func (m *metered) at(when time.Time) (use allowance.Use, known bool) {
	for i := len(m.history) - 1; i >= 0; i-- {
		if !m.history[i].at.After(when) {
			return m.history[i].use, true
		}
	}
	return allowance.Use{}, false
}

// equal gives each gateway an equal share as a bucket of its own.
type equal struct {
	w     *world
	level float64
	last  time.Time
}

func newEqual(w *world, _ int) limiter { return &equal{w: w, last: w.now} }

func (e *equal) tick(time.Time) {}

func (e *equal) ask(cost float64, now time.Time) bool {
	n := float64(len(e.w.meters) * len(e.w.meters[0]))
	e.level = min(e.w.limit.Burst/n, e.level+e.w.limit.Rate/n*now.Sub(e.last).Seconds())
	e.last = now
	if e.level <= 0 {
		return false
	}
	e.level -= cost
	return true
}

// counted knows all that was admitted until some time ago, and admits all or nothing.
type counted struct {
	w     *world
	first int
	last  int
	sum   float64
}

func newCounted(w *world, _ int) limiter { return &counted{w: w} }

func (c *counted) tick(time.Time) {}

func (c *counted) ask(cost float64, now time.Time) bool {
	for ; c.last < len(c.w.arrivals) && c.w.arrivals[c.last].at.Before(now.Add(-farWord-averaged)); c.last++ {
		c.sum += c.w.arrivals[c.last].units
	}
	for ; c.first < c.last && c.w.arrivals[c.first].at.Before(now.Add(-c.w.policy.Window)); c.first++ {
		c.sum -= c.w.arrivals[c.first].units
	}
	return c.sum+cost <= c.w.inside()
}

func (w *world) String() string {
	return fmt.Sprintf("fullest window %.2f of what may be, wrongly refused %.3f of %.0f units admitted", w.worst(), w.wrongly/w.admitted, w.admitted)
}
