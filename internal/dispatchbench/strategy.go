package dispatchbench

import (
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/ratelimit"
	"github.com/linenscale/linenscale/request"
)

// Strategy chooses the regions and the engines for requests.
type Strategy interface {
	// chooseRegion returns the region where a request runs. localPermitted reports whether
	// the gateway's own region is permitted; reachable lists the other permitted ones.
	chooseRegion(s *Simulation, g *gateway, x *exchange, localPermitted bool, reachable []string) (string, error)
	// chooseEngine returns the ID of the engine for a request, and the callbacks for the
	// request's events.
	chooseEngine(s *Simulation, g *gateway, x *exchange) (string, ticketCallbacks, error)
}

// ticketCallbacks are called for the events of a request that was sent to an engine.
type ticketCallbacks struct {
	limitReceived func(ratelimit.Signal) // with the rate limit in the answer's header
	firstEvent    func()
	event         func() // each event, after firstEvent
	done          func(dispatch.Outcome)
}

var (
	_ Strategy = dispatchStrategy{}
	_ Strategy = baselineStrategy{}
)

// dispatchStrategy uses package dispatch.
type dispatchStrategy struct{}

func (dispatchStrategy) chooseRegion(s *Simulation, g *gateway, x *exchange, localPermitted bool, reachable []string) (string, error) {
	req := s.dispatchRequest(x)
	placement := g.dispatcher.ChooseRegion(req, localPermitted, reachable)
	if placement.Region != g.host.Region {
		x.remote = g.dispatcher.BeginRemote(placement.Region, req)
	}
	if !localPermitted && placement.Region == g.host.Region {
		placement.Region = reachable[0]
	}
	return placement.Region, placement.Refusal
}

func (dispatchStrategy) chooseEngine(s *Simulation, g *gateway, x *exchange) (string, ticketCallbacks, error) {
	t, err := g.dispatcher.Acquire(s.dispatchRequest(x))
	if err != nil {
		return "", ticketCallbacks{}, err
	}
	done := false
	return t.Engine, ticketCallbacks{limitReceived: t.ApplyLimit, firstEvent: func() { t.RecordFirstByte(true) }, event: func() { t.RecordEvents(1, false) }, done: func(o dispatch.Outcome) {
		if !done {
			done = true
			t.Done(o)
		}
	}}, nil
}

// baselineStrategy runs requests in the region where they arrive, or else in the first
// permitted one, and admits all.
type baselineStrategy struct {
	// choose returns one of the region's warm engines.
	choose func(s *Simulation, g *gateway, a *arrival, engines []*engine) *engine
}

func (baselineStrategy) chooseRegion(_ *Simulation, g *gateway, _ *exchange, localPermitted bool, reachable []string) (string, error) {
	if localPermitted {
		return g.host.Region, nil
	}
	return reachable[0], nil
}

func (b baselineStrategy) chooseEngine(s *Simulation, g *gateway, x *exchange) (string, ticketCallbacks, error) {
	var warm []*engine
	for _, e := range s.enginesByRegion[g.host.Region] {
		if !s.clock.Now().Before(e.coldUntil) {
			warm = append(warm, e)
		}
	}
	if len(warm) == 0 {
		return "", ticketCallbacks{}, &request.NotRun{Reason: request.ReasonNoEngine, RetryAfter: registrationDelay}
	}
	e := b.choose(s, g, x.arrival, warm)
	g.inFlight[e.id]++
	done := false
	return e.id, ticketCallbacks{limitReceived: func(ratelimit.Signal) {}, firstEvent: func() {}, event: func() {}, done: func(dispatch.Outcome) {
		if !done {
			done = true
			g.inFlight[e.id]--
		}
	}}, nil
}

// randomEngine returns a random engine.
func randomEngine(s *Simulation, _ *gateway, _ *arrival, engines []*engine) *engine {
	return engines[s.random.IntN(len(engines))]
}

// fewestInFlight returns the engine with the fewest requests in flight from this gateway.
func fewestInFlight(_ *Simulation, g *gateway, _ *arrival, engines []*engine) *engine {
	best := engines[0]
	for _, e := range engines {
		if g.inFlight[e.id] < g.inFlight[best.id] {
			best = e
		}
	}
	return best
}

// twoChoices draws two engines, and returns the one with fewer requests in flight from
// this gateway.
func twoChoices(s *Simulation, g *gateway, a *arrival, engines []*engine) *engine {
	first, second := randomEngine(s, g, a, engines), randomEngine(s, g, a, engines)
	if g.inFlight[second.id] < g.inFlight[first.id] {
		return second
	}
	return first
}

// loadBound is the load that prefixBounded allows an engine, relative to the mean.
const loadBound = 1.25

// prefixBounded returns the engine that ranks highest for the prompt's deepest shared
// block, of those whose load is below the bound (Mirrokni and others, "Consistent hashing
// with bounded loads", 2018).
func prefixBounded(_ *Simulation, g *gateway, a *arrival, engines []*engine) *engine {
	key := a.blocks[max(0, len(a.blocks)-2)].id
	total := 0
	for _, e := range engines {
		total += g.inFlight[e.id]
	}
	limit := int(loadBound*float64(total)/float64(len(engines))) + 1
	var best *engine
	var highest uint64
	for _, e := range engines {
		if r := dispatch.Rank(key, e.id); g.inFlight[e.id] < limit && (best == nil || r > highest) {
			best, highest = e, r
		}
	}
	if best == nil {
		return engines[0]
	}
	return best
}
