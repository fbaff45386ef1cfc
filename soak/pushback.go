package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/linenscale/linenscale/platform/platformtest"
)

const (
	// backoffTime is the backoff that engines ask for. Requests in the first backoffGrace
	// of it don't count, because they may have been in flight already.
	backoffTime  = 2 * time.Second
	backoffGrace = 500 * time.Millisecond
	// maxDuringBackoff is how many requests a host may send to an engine during a backoff.
	maxDuringBackoff = 2
)

// injectPushback makes randomly drawn engines either reject all requests and ask for
// backoff for a while, or announce in their answers, and nowhere else, that they drain.
func (w *World) injectPushback(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, randomDuration(r, 500, 2500))
		e := pick(r, w.liveEngines())
		if r.IntN(3) == 0 {
			w.drainByAnswer(e)
			continue
		}
		e.SetRetryAfter(fmt.Sprint(backoffTime.Seconds()))
		w.schedule(randomDuration(r, 200, 5000), func() { e.SetRetryAfter("") })
	}
}

// drainByAnswer starts another engine in place of e, and stops e after it has announced
// in its answers for a while that it drains.
func (w *World) drainByAnswer(e *Engine) {
	w.removeEngine(e)
	if _, err := w.addEngine(e.Service, int(e.Region[len(e.Region)-1]-'0')); err != nil {
		w.Checker.AddProblem("engine: %v", err)
	}
	e.SetServerLeaving()
	w.schedule(drainTime+2*time.Second, e.stop)
}

// RecordDisturbance records that a host's process is started, stopped, paused or resumed
// now.
func (c *Checker) RecordDisturbance(ip string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances[ip] = append(c.disturbances[ip], time.Now())
}

// disturbedBetween reports whether a host's process was started, stopped, paused or resumed
// between two times. It may then have missed or lost what an engine announced.
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

// checkPushback checks that hosts which received a backoff or a draining announcement
// from an engine obey it.
func (c *Checker) checkPushback(engines []*Engine) {
	for _, e := range engines {
		arrivals := e.Arrivals()
		for i, a := range arrivals {
			if a.RetryAfter != "" {
				c.Backoffs++
				c.checkBackoff(e, a, arrivals[i:])
			}
			if a.ServerLeaving {
				c.checkDraining(e, a, arrivals[i:])
			}
		}
	}
}

// checkBackoff checks that a host obeys the backoff which one answer asked for.
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

// checkDraining checks that a host sends no requests to an engine more than drainTime
// after one answer announced that the engine drains.
func (c *Checker) checkDraining(e *Engine, announced platformtest.Arrival, later []platformtest.Arrival) {
	for _, a := range later {
		if a.From == announced.From && a.At.After(announced.At.Add(drainTime)) && !c.disturbedBetween(announced.From, announced.At, a.At) {
			c.AddProblem("engine %s had told %s that it leaves, and got request %s from it %v later", e.ID, announced.From, a.Request, a.At.Sub(announced.At))
			return
		}
	}
}
