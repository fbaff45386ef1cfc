package dispatchbench

import (
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/ratelimit"
	"github.com/linenscale/linenscale/request"
)

// Strategy is a way to choose regions and engines.
type Strategy interface {
	// region gives where a request runs; here tells whether it may run in the
	// gateway's own region, reachable lists the others.
	chooseRegion(s *Simulation, g *gateway, x *exchange, here bool, reachable []string) (string, error)
	// engine gives the engine and how to tell its end.
	chooseEngine(s *Simulation, g *gateway, x *exchange) (string, ticketCallbacks, error)
}

// ticketCallbacks is what a way wants to be told of a request.
type ticketCallbacks struct {
	limitReceived func(ratelimit.Word) // what the answer's head says of the engine's limit
	firstEvent    func()
	done          func(dispatch.Outcome)
}

var (
	_ Strategy = dispatchStrategy{}
	_ Strategy = baselineStrategy{}
)

// dispatchStrategy is package dispatch.
type dispatchStrategy struct{}

func (dispatchStrategy) chooseRegion(s *Simulation, g *gateway, x *exchange, here bool, reachable []string) (string, error) {
	req := s.dispatchRequest(x)
	placement := g.dispatcher.ChooseRegion(req, here, reachable)
	if placement.Region != g.host.Region {
		x.remote = g.dispatcher.Sent(placement.Region, req)
	}
	if !here && placement.Region == g.host.Region {
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
	return t.Engine, ticketCallbacks{limitReceived: t.HeardLimit, firstEvent: func() { t.Begun(true) }, done: func(o dispatch.Outcome) {
		if !done {
			done = true
			t.Done(o)
		}
	}}, nil
}

// baselineStrategy keeps requests in their own region, or the first where they may run,
// and admits all.
type baselineStrategy struct {
	// choose gives the engine among those of the region that run.
	choose func(s *Simulation, g *gateway, a *arrival, engines []*engine) *engine
}

func (baselineStrategy) chooseRegion(_ *Simulation, g *gateway, _ *exchange, here bool, reachable []string) (string, error) {
	if here {
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
	return e.id, ticketCallbacks{limitReceived: func(ratelimit.Word) {}, firstEvent: func() {}, done: func(dispatch.Outcome) {
		if !done {
			done = true
			g.inFlight[e.id]--
		}
	}}, nil
}

// randomEngine takes any engine.
func randomEngine(s *Simulation, _ *gateway, _ *arrival, engines []*engine) *engine {
	return engines[s.random.IntN(len(engines))]
}

// fewestInFlight takes the engine with the fewest requests of this gateway.
func fewestInFlight(_ *Simulation, g *gateway, _ *arrival, engines []*engine) *engine {
	best := engines[0]
	for _, e := range engines {
		if g.inFlight[e.id] < g.inFlight[best.id] {
			best = e
		}
	}
	return best
}

// twoChoices takes the better of two drawn engines.
func twoChoices(s *Simulation, g *gateway, a *arrival, engines []*engine) *engine {
	first, second := randomEngine(s, g, a, engines), randomEngine(s, g, a, engines)
	if g.inFlight[second.id] < g.inFlight[first.id] {
		return second
	}
	return first
}

// loadBound is how much more than the mean an engine may have in a choice by prefix.
const loadBound = 1.25

// prefixBounded takes the first engine, in the order that the prompt's deepest
// shared part gives, which has no more than a bound over the mean (Mirrokni and
// others, "Consistent hashing with bounded loads", 2018).
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
