package dispatchbench

import (
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/ratelimit"
	"github.com/linenscale/linenscale/request"
)

// Way is a way to choose regions and engines.
type Way interface {
	// region gives where a request runs; here tells whether it may run in the
	// gateway's own region, reachable lists the others.
	region(w *World, g *gateway, x *exchange, here bool, reachable []string) (string, error)
	// engine gives the engine and how to tell its end.
	engine(w *World, g *gateway, x *exchange) (string, ticket, error)
}

// ticket is what a way wants to be told of a request.
type ticket struct {
	heard func(ratelimit.Signal) // what the answer's head says of the engine's limit
	begun func()
	end   func(dispatch.Outcome)
}

var (
	_ Way = ours{}
	_ Way = baseline{}
)

// ours is package dispatch.
type ours struct{}

func (ours) region(w *World, g *gateway, x *exchange, here bool, reachable []string) (string, error) {
	ask := w.ask(x)
	place := g.dispatcher.ChooseRegion(ask, here, reachable)
	if place.Region != g.host.Region {
		x.away = g.dispatcher.BeginRemote(place.Region, ask)
	}
	if !here && place.Region == g.host.Region {
		place.Region = reachable[0]
	}
	return place.Region, place.Refusal
}

func (ours) engine(w *World, g *gateway, x *exchange) (string, ticket, error) {
	t, err := g.dispatcher.Acquire(w.ask(x))
	if err != nil {
		return "", ticket{}, err
	}
	ended := false
	return t.Engine, ticket{heard: t.ApplyLimit, begun: func() { t.FirstByte(true) }, end: func(o dispatch.Outcome) {
		if !ended {
			ended = true
			t.Done(o)
		}
	}}, nil
}

// baseline keeps requests in their own region, or the first where they may run,
// and admits all.
type baseline struct {
	// choose gives the engine among those of the region that run.
	choose func(w *World, g *gateway, a *arrival, engines []*engine) *engine
}

func (baseline) region(_ *World, g *gateway, _ *exchange, here bool, reachable []string) (string, error) {
	if here {
		return g.host.Region, nil
	}
	return reachable[0], nil
}

func (b baseline) engine(w *World, g *gateway, x *exchange) (string, ticket, error) {
	var up []*engine
	for _, e := range w.order[g.host.Region] {
		if !w.time.Now().Before(e.cold) {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return "", ticket{}, &request.NotRun{Reason: request.ReasonNoEngine, RetryAfter: beatDelay}
	}
	e := b.choose(w, g, x.a, up)
	g.own[e.id]++
	ended := false
	return e.id, ticket{heard: func(ratelimit.Signal) {}, begun: func() {}, end: func(dispatch.Outcome) {
		if !ended {
			ended = true
			g.own[e.id]--
		}
	}}, nil
}

// random takes any engine.
func random(w *World, _ *gateway, _ *arrival, engines []*engine) *engine {
	return engines[w.random.IntN(len(engines))]
}

// fewestInFlight takes the engine with the fewest requests of this gateway.
func fewestInFlight(_ *World, g *gateway, _ *arrival, engines []*engine) *engine {
	best := engines[0]
	for _, e := range engines {
		if g.own[e.id] < g.own[best.id] {
			best = e
		}
	}
	return best
}

// twoChoices takes the better of two drawn engines.
func twoChoices(w *World, g *gateway, a *arrival, engines []*engine) *engine {
	one, two := random(w, g, a, engines), random(w, g, a, engines)
	if g.own[two.id] < g.own[one.id] {
		return two
	}
	return one
}

// bound is how much more than the mean an engine may have in a choice by prefix.
const bound = 1.25

// prefixBounded takes the first engine, in the order that the prompt's deepest
// shared part gives, which has no more than a bound over the mean (Mirrokni and
// others, "Consistent hashing with bounded loads", 2018).
func prefixBounded(_ *World, g *gateway, a *arrival, engines []*engine) *engine {
	key := a.parts[max(0, len(a.parts)-2)].id
	total := 0
	for _, e := range engines {
		total += g.own[e.id]
	}
	most := int(bound*float64(total)/float64(len(engines))) + 1
	var best *engine
	var highest uint64
	for _, e := range engines {
		if r := dispatch.Rank(key, e.id); g.own[e.id] < most && (best == nil || r > highest) {
			best, highest = e, r
		}
	}
	if best == nil {
		return engines[0]
	}
	return best
}
