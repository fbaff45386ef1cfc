package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/linenscale/linenscale/platform/platformtest"
)

const (
	// firstPart is the first part of all prompts, and crashingPart the one that crashes each
	// engine that begins to answer a prompt with it.
	firstPart    = "a"
	crashingPart = "dead"
	// crashingPartDelay is when the first request with it is sent, and crashingPartInterval the
	// pause between two.
	crashingPartDelay    = 4 * time.Second
	crashingPartInterval = 300 * time.Millisecond
	// countedCrashes is the number of crashes under the part after which, from contactTime on,
	// at most maxAfterPartCrashes requests with it may reach engines.
	countedCrashes      = 5
	maxAfterPartCrashes = 3
	// minSoundRequests is how many sound requests must count before and after the crashes for
	// their shares to be compared.
	minSoundRequests = 20
)

// sendCrashingPart sends requests that are all different and have the crashing part, each at a
// randomly drawn gateway.
func (w *World) sendCrashingPart(ctx context.Context, r *rand.Rand) {
	var caller platformtest.Caller
	pause(ctx, crashingPartDelay)
	for n := 0; ctx.Err() == nil; n++ {
		h := pick(r, w.gateways(""))
		_, _ = caller.Do(ctx, h.settings.Listen.Callers, platformtest.Request{
			Host: "soak", Path: "/chat/1", IsPrompt: true, Body: fmt.Sprint("crashing ", n), PromptBlocks: fmt.Sprintf("%s:400,b%d:600,%s:300,own%d:50", firstPart, r.IntN(5), crashingPart, n), Header: platformtest.HeaderWithKeys(memberKey),
		}) // checkCrashingPart counts what the engines received
		pause(ctx, crashingPartInterval)
	}
}

// RecordSoundRequest records a request without the crashing part, at a gateway.
func (c *Checker) RecordSoundRequest(at *Host, r platformtest.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sound = append(c.sound, newStreamStart(at, r))
}

// checkCrashingPart checks how often the part still reached engines after five had crashed under
// it, sent by undisturbed gateways, and that sound requests with the same first part began at
// least half as often as before.
func (c *Checker) checkCrashingPart(engines []*Engine) {
	crashes, arrivals := partArrivals(engines)
	c.mu.Lock()
	c.PartCrashes = len(crashes)
	sound := slices.Clone(c.sound)
	c.mu.Unlock()
	if len(crashes) < countedCrashes {
		return
	}
	fifth := crashes[countedCrashes-1]
	late := 0
	for _, a := range arrivals {
		if a.At.After(fifth.Add(contactTime)) && !c.disturbedBetween(a.From, a.At.Add(-contactTime), a.At) {
			late++
		}
	}
	if late > maxAfterPartCrashes {
		c.AddProblem("requests with a part under which five engines had crashed reached engines %d times later than %v after that; %d crashed in all", late, contactTime, len(crashes))
	}
	before := c.shareOf(slices.DeleteFunc(slices.Clone(sound), func(s streamStart) bool { return s.to.After(crashes[0]) }))
	after := c.shareOf(slices.DeleteFunc(slices.Clone(sound), func(s streamStart) bool { return s.from.Before(fifth.Add(2 * contactTime)) }))
	if before.count >= minSoundRequests && after.count >= minSoundRequests && after.share() < before.share()/2 {
		c.AddProblem("%d of %d sound requests with the same first part as one that crashes engines began, and %d of %d before", after.succeeded, after.count, before.succeeded, before.count)
	}
}

// partArrivals returns when engines crashed under the crashing part, in order of time, and the
// requests with it that they received.
func partArrivals(engines []*Engine) (crashes []time.Time, arrivals []platformtest.Arrival) {
	for _, e := range engines {
		for _, a := range e.Arrivals() {
			if !a.HasPart(crashingPart) {
				continue
			}
			arrivals = append(arrivals, a)
			if a.Ran {
				crashes = append(crashes, a.At)
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes, arrivals
}

// hasBegun reports whether an answer to a prompt has begun.
func hasBegun(r platformtest.Result) bool { return r.Status == http.StatusOK && r.Body != "" }
