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
	ideal    float64 // of a bucket that knows everything
	idealAt  time.Time
	inside   float64 // units that it admits
	lost     float64 // units by which less was admitted than it would have by then, at worst
	admitted float64
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
	w.idealAt = w.now
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
	for expected := w.demand[region] * step.Seconds() / mean; expected > 0; expected-- {
		if expected < 1 && w.random.Float64() >= expected {
			return
		}
		cost := mean * 0.4 * (1 + w.random.ExpFloat64()*1.5)
		fits := w.fits(cost)
		if fits {
			w.inside += cost
		}
		if all[w.random.IntN(len(all))].ask(cost, w.now) {
			w.admitted += cost
			w.arrivals = append(w.arrivals, arrival{w.now, cost})
		}
		w.lost = max(w.lost, w.inside-w.admitted)
	}
}

// fits asks the bucket that knows everything.
func (w *world) fits(cost float64) bool {
	w.ideal = min(w.limit.Burst, w.ideal+w.limit.Rate*w.now.Sub(w.idealAt).Seconds())
	w.idealAt = w.now
	if w.ideal < cost {
		return false
	}
	w.ideal -= cost
	return true
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
	return most / ((w.limit.Rate*w.policy.Window.Seconds()+w.limit.Burst)*(1+w.policy.Overage) + w.policy.Slack)
}

// metered is the way that the gateways take: a Meter told of the others late.
type metered struct {
	*allowance.Meter
	w       *world
	region  int
	history []stamped
}

type stamped struct {
	at  time.Time
	use allowance.Use
}

func newMetered(w *world, region int) limiter {
	m := &metered{w: w, region: region, Meter: allowance.New(allowance.Deps{
		Region: names[region], Regions: names, Policy: w.policy, Random: w.random.Uint64,
	})}
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
	m.history = append(m.history, stamped{now, m.Uses(now)["club"]})
	sums := make([]allowance.Use, regions)
	heard := 1
	for region, all := range m.w.meters {
		age := farWord
		if region == m.region {
			age = nearWord
		}
		for _, l := range all {
			if o := l.(*metered); o != m {
				u, known := o.at(now.Add(-age))
				sums[region].Admitted += u.Admitted
				sums[region].Asked += u.Asked
				if known && region == m.region {
					heard++
				}
			}
		}
	}
	m.HearNear(map[string]allowance.Use{"club": sums[m.region]}, float64(heard)/float64(len(m.w.meters[m.region])), now)
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
	w       *world
	region  int
	own     []arrival
	level   float64
	last    time.Time
	counted int
}

func newCounted(w *world, region int) limiter { return &counted{w: w, region: region, last: w.now} }

func (c *counted) tick(now time.Time) {
	c.level = min(c.w.limit.Burst, c.level+c.w.limit.Rate*now.Sub(c.last).Seconds())
	c.last = now
	for ; c.counted < len(c.w.arrivals) && c.w.arrivals[c.counted].at.Before(now.Add(-farWord-averaged)); c.counted++ {
		c.level -= c.w.arrivals[c.counted].units
	}
}

func (c *counted) ask(_ float64, now time.Time) bool {
	c.tick(now)
	return c.level > 0
}

func (w *world) String() string {
	return fmt.Sprintf("worst window %.2f of what may be, refused inside the allowance %.0f of %.0f units, admitted %.0f", w.worst(), w.lost, w.inside, w.admitted)
}
