package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/linenscale/linenscale/platform/platformtest"
)

const (
	// backoffTime is the rest that engines ask for, and backoffGrace after which they want it to be
	// kept: what is on its way may come before.
	backoffTime  = 2 * time.Second
	backoffGrace = 500 * time.Millisecond
	// maxDuringBackoff is how many requests a host may send an engine within a rest.
	maxDuringBackoff = 2
)

// injectPushback has one engine after the other refuse all and ask for rest for some seconds, or say in
// its answers, and nowhere else, that it leaves.
func (w *World) injectPushback(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, randomDuration(r, 500, 2500))
		e := pick(r, w.liveEngines())
		if r.IntN(3) == 0 {
			w.drainByAnswer(e)
			continue
		}
		e.SetRest(fmt.Sprint(backoffTime.Seconds()))
		w.schedule(randomDuration(r, 200, 5000), func() { e.SetRest("") })
	}
}

// drainByAnswer ends an engine after it has said so in its answers, and starts another in its
// place.
func (w *World) drainByAnswer(e *Engine) {
	w.removeEngine(e)
	if _, err := w.addEngine(e.Service, int(e.Region[len(e.Region)-1]-'0')); err != nil {
		w.Checker.AddProblem("engine: %v", err)
	}
	e.SetLeaving()
	w.schedule(drainTime+2*time.Second, e.stop)
}

// RecordDisturbance notes that a host's process is started, stopped, paused or woken now.
func (c *Checker) RecordDisturbance(ip string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances[ip] = append(c.disturbances[ip], time.Now())
}

// disturbedBetween tells whether a host was disturbed between two times: its process then may not have
// heard, or no longer know, what an engine said.
func (c *Checker) disturbedBetween(ip string, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.disturbances[ip] {
		if !at.Before(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// checkPushback checks what arrived at engines that had asked for rest, or said that they leave, from
// the hosts that they had said it to.
func (c *Checker) checkPushback(engines []*Engine) {
	for _, e := range engines {
		arrivals := e.Arrivals()
		for i, a := range arrivals {
			if a.Rest != "" {
				c.Backoffs++
				c.checkBackoff(e, a, arrivals[i:])
			}
			if a.Leaving {
				c.checkDraining(e, a, arrivals[i:])
			}
		}
	}
}

// checkBackoff checks the rest that one answer asked for.
func (c *Checker) checkBackoff(e *Engine, asked platformtest.Arrival, later []platformtest.Arrival) {
	end, n := asked.At.Add(backoffTime), 0
	for _, a := range later {
		if a.From == asked.From && a.At.After(asked.At.Add(backoffGrace)) && a.At.Before(end) {
			n++
		}
	}
	if n > maxDuringBackoff && !c.disturbedBetween(asked.From, asked.At, end) {
		c.AddProblem("engine %s had asked %s for %v of rest, and got %d requests from it in that time", e.ID, asked.From, backoffTime, n)
	}
}

// checkDraining checks what comes after one answer that said that its engine leaves.
func (c *Checker) checkDraining(e *Engine, said platformtest.Arrival, later []platformtest.Arrival) {
	for _, a := range later {
		if a.From == said.From && a.At.After(said.At.Add(drainTime)) && !c.disturbedBetween(said.From, said.At, a.At) {
			c.AddProblem("engine %s had told %s that it leaves, and got request %s from it %v later", e.ID, said.From, a.Request, a.At.Sub(said.At))
			return
		}
	}
}
