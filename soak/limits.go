package soak

import (
	"fmt"
	"time"
)

const (
	// engineLimit is how many requests a second one engine says that it takes, in all its
	// answers.
	engineLimit = 2.0
	// limitWindow, limitFactor and limitSlack are how much it may get within any window, while
	// no gateway has been restarted, paused or cut off for limitSettleTime.
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	limitSettleTime = 6 * time.Second
	// minAtLimit is what it must get within the fullest window, where callers ask for more
	// than it takes: such as the other engines of its service and region get highDemand
	// requests within one.
	minAtLimit = 4
	highDemand = 40
)

// addLimitedEngine adds an engine that names a limit, beside those that serve what is over.
func (w *World) addLimitedEngine() error {
	e, err := w.addEngine("portal", w.Regions-1)
	if err != nil {
		return err
	}
	e.SetLimit(fmt.Sprint(engineLimit))
	w.removeEngine(e) // it is left well
	w.Checker.limitedEngine = e
	return nil
}

// checkEngineLimit checks how many requests reached the engine that names a limit, from when all
// gateways had been left well for long enough.
func (c *Checker) checkEngineLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var times, others []time.Time
	for _, e := range c.engines {
		for _, a := range e.Arrivals() {
			switch {
			case c.calmSince.IsZero() || a.At.Before(c.calmSince.Add(limitSettleTime)):
			case e == c.limitedEngine:
				times = append(times, a.At)
			case e.Service == c.limitedEngine.Service && e.Region == c.limitedEngine.Region:
				others = append(others, a.At)
			}
		}
	}
	most := int(limitFactor*engineLimit*limitWindow.Seconds() + limitSlack)
	c.LimitedEnginePeak = maxInWindow(times, limitWindow)
	wasted := c.LimitedEnginePeak < minAtLimit && maxInWindow(others, limitWindow) >= highDemand
	if c.LimitedEnginePeak > most || wasted {
		c.problems = append(c.problems, fmt.Sprintf("an engine that takes %g requests a second got %d within %v, and %d are the most, %d the least", engineLimit, c.LimitedEnginePeak, limitWindow, most, minAtLimit))
	}
}
