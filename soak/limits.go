package soak

import (
	"fmt"
	"time"
)

const (
	// engineLimit is the rate limit, in requests a second, that one engine announces in
	// all its answers.
	engineLimit = 2.0
	// The engine may receive limitFactor times its limit plus limitSlack requests within
	// any limitWindow, once no gateway has been restarted, paused or partitioned for
	// limitSettleTime.
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	limitSettleTime = 6 * time.Second
	// minAtLimit is how many requests it must receive in its busiest window. Callers ask
	// for more than it takes all the time.
	minAtLimit = 4
)

// addLimitedEngine adds an engine that announces a rate limit. The other engines of its
// service serve the requests over that limit.
func (w *World) addLimitedEngine() error {
	e, err := w.addEngine("portal", w.Regions-1)
	if err != nil {
		return err
	}
	e.SetLimit(fmt.Sprint(engineLimit))
	w.removeEngine(e) // no faults are injected into it
	w.Checker.limitedEngine = e
	return nil
}

// checkEngineLimit checks how many requests the rate-limited engine received from
// limitSettleTime after the end of fault injection.
func (c *Checker) checkEngineLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var times []time.Time
	for _, a := range c.limitedEngine.Arrivals() {
		if !c.calmSince.IsZero() && a.At.After(c.calmSince.Add(limitSettleTime)) {
			times = append(times, a.At)
		}
	}
	limit := int(limitFactor*engineLimit*limitWindow.Seconds() + limitSlack)
	c.LimitedEnginePeak = maxInWindow(times, limitWindow)
	if c.LimitedEnginePeak > limit || c.LimitedEnginePeak < minAtLimit {
		c.problems = append(c.problems, fmt.Sprintf("an engine that takes %g requests a second got %d within %v, and %d are the most, %d the least", engineLimit, c.LimitedEnginePeak, limitWindow, limit, minAtLimit))
	}
}
