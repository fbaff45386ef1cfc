package soak

import (
	"fmt"
	"time"
)

const (
	// needyLimit is how many requests a second one engine says that it takes, in all its
	// answers.
	needyLimit = 2.0
	// limitWindow, limitTimes and limitSlack are how much it may get within any window, while
	// no gateway has been restarted, paused or cut off for limitSettles.
	limitWindow  = 4 * time.Second
	limitTimes   = 1.5
	limitSlack   = 5
	limitSettles = 6 * time.Second
	// needyLeast is what it must get within the fullest window: callers ask for more than it
	// takes all the time.
	needyLeast = 4
)

// addNeedy adds an engine that names a limit, beside those that serve what is over.
func (w *World) addNeedy() error {
	e, err := w.addEngine("portal", w.Regions-1)
	if err != nil {
		return err
	}
	e.SetLimit(fmt.Sprint(needyLimit))
	w.removeEngine(e) // it is left well
	w.Check.needy = e
	return nil
}

// limited checks how many requests reached the engine that names a limit, from when all
// gateways had been left well for long enough.
func (c *Checker) limited() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var times []time.Time
	for _, a := range c.needy.Arrivals() {
		if !c.calm.IsZero() && a.At.After(c.calm.Add(limitSettles)) {
			times = append(times, a.At)
		}
	}
	most := int(limitTimes*needyLimit*limitWindow.Seconds() + limitSlack)
	c.NeedyMost = fullest(times, limitWindow)
	if c.NeedyMost > most || c.NeedyMost < needyLeast {
		c.problems = append(c.problems, fmt.Sprintf("an engine that takes %g requests a second got %d within %v, and %d are the most, %d the least", needyLimit, c.NeedyMost, limitWindow, most, needyLeast))
	}
}
