package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/linenscale/linenscale/platform/platformtest"
)

const (
	// poisonBody is the body of the request that crashes each engine that runs it.
	poisonBody = "query of death"
	// poisonInterval is the pause between two such requests. Without quarantine they
	// crash an engine each half second.
	poisonInterval = 500 * time.Millisecond
	// crashReplaceDelay is how long after a crash another engine replaces the crashed one.
	crashReplaceDelay = 2 * time.Second
	// quarantineBound is how long after the third crash all gateways must quarantine the
	// request, and maxAfterQuarantine how often it may still reach engines after that.
	quarantineBound    = 6 * time.Second
	maxAfterQuarantine = 3
)

// sendPoison repeats the request that crashes engines, each time at a randomly drawn
// gateway.
func (w *World) sendPoison(ctx context.Context, r *rand.Rand) {
	var caller platformtest.Caller
	for ctx.Err() == nil {
		h := pick(r, w.gateways(""))
		_, _ = caller.Do(ctx, h.settings.Listen.Callers, platformtest.Request{
			Host: "soak", Path: "/chat/1", IsPrompt: true, Body: poisonBody, Header: platformtest.HeaderWithKeys(memberKey),
		}) // checkPoison counts what the engines received
		pause(ctx, poisonInterval)
	}
}

// replaceCrashed waits until an engine crashes, and starts another one in its place.
func (w *World) replaceCrashed(ctx context.Context, e *Engine, region int) {
	select {
	case <-ctx.Done():
		return
	case <-e.Crashed():
	}
	w.removeEngine(e)
	pause(w.ctx, crashReplaceDelay)
	if w.ctx.Err() != nil {
		return
	}
	if _, err := w.addEngine(e.Service, region); err != nil {
		w.Checker.AddProblem("engine: %v", err)
	}
}

// checkPoison checks how often the request that crashes engines still reached one after all
// gateways had to quarantine it.
func (c *Checker) checkPoison(engines []*Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ran, arrived []time.Time
	for _, e := range engines {
		for _, a := range e.Arrivals() {
			if a.Body != poisonBody {
				continue
			}
			arrived = append(arrived, a.At)
			if a.Ran {
				ran = append(ran, a.At)
			}
		}
	}
	c.PoisonRuns = len(ran)
	if len(ran) < 3 {
		return
	}
	slices.SortFunc(ran, time.Time.Compare)
	after := 0
	for _, at := range arrived {
		if at.After(ran[2].Add(quarantineBound)) {
			after++
		}
	}
	if after > maxAfterQuarantine {
		c.problems = append(c.problems, fmt.Sprintf("a request under which three engines had crashed reached engines %d times later than %v after that", after, quarantineBound))
	}
}
