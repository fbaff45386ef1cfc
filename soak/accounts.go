package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/linenscale/linenscale/platform/platformtest"
	"github.com/linenscale/linenscale/settings"
)

// Client accounts of every declaration: one whose key always holds, one whose key is
// another with each version, and one that may ask for little.
const (
	memberKey          = "member"
	smallKey           = "small"
	smallName          = "small"
	smallRate          = 20 // requests a second, and as many on top
	keyRevocationBound = 5 * time.Second
	// maxKeyAge is how many versions ago a key may have been declared that is shown.
	maxKeyAge      = 6
	smallCallPause = 20 * time.Millisecond
)

// allowanceBounds are those of the hosts' settings.
var allowanceBounds = settings.Allowances{Window: 4 * time.Second, Overage: 0.1, Slack: 20}

// rotatingKey is held by one version of the declaration only.
func rotatingKey(version int64) string { return fmt.Sprintf("fleeting-%d", version) }

// tenants gives the accounts of a version.
func tenants(version int64) []platformtest.Tenant {
	return []platformtest.Tenant{
		{Name: "members", APIKeys: []string{memberKey, rotatingKey(version)}},
		{Name: smallName, APIKeys: []string{smallKey}, Unit: "requests", RatePerS: smallRate, Burst: smallRate},
	}
}

// keyUse is a request with a key that is taken away by the next version.
type keyUse struct {
	sent    time.Time
	version int64 // that holds the key
}

// callWithRotatingKeys sends requests with keys of late versions to one gateway.
func (w *World) callWithRotatingKeys(ctx context.Context, h *Host, r *rand.Rand) {
	var caller platformtest.Caller
	for ctx.Err() == nil {
		version := max(1, w.Checker.NewestVersion()-r.Int64N(maxKeyAge))
		began := time.Now()
		result, err := caller.Do(ctx, h.settings.Listen.Callers, platformtest.Request{Host: "soak", Path: "/safe/1", Header: platformtest.Showing(rotatingKey(version)), Deadline: 3 * time.Second})
		w.Checker.RecordKeyUse(result.ID, keyUse{began, version})
		if err == nil && result.Status == 200 {
			w.Checker.CheckAnswer(kinds[0], h.Name, result)
		}
		pause(ctx, callPause)
	}
}

// exceedAllowance sends requests of the account that may ask for little.
func (w *World) exceedAllowance(ctx context.Context, h *Host) {
	var caller platformtest.Caller
	for ctx.Err() == nil {
		_, _ = caller.Do(ctx, h.settings.Listen.Callers, platformtest.Request{Host: "soak", Path: "/safe/1", Header: platformtest.Showing(smallKey)}) // how it ends is seen at the engines
		pause(ctx, smallCallPause)
	}
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// RecordKeyUse notes a request whose key is taken away by the next version.
func (c *Checker) RecordKeyUse(request string, s keyUse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyUses[request] = s
}

// revokedAt gives when a later version than this was first accepted; false where none
// has been.
func (c *Checker) revokedAt(version int64) (at time.Time, ok bool) {
	for later, accepted := range c.acceptedAt {
		if later > version && (!ok || accepted.Before(at)) {
			at, ok = accepted, true
		}
	}
	return at, ok
}

// checkAccounts checks what the engines ran for accounts: no key that was taken away too long
// before the request was sent, no key passed on, and no more than may be in any window.
func (c *Checker) checkAccounts(engines []*Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var small []time.Time
	for _, e := range engines {
		for _, a := range e.Arrivals() {
			if len(a.Keys()) > 0 {
				c.problems = append(c.problems, fmt.Sprintf("request %s brought its key to %s", a.Request, e.ID))
			}
			if !a.Ran {
				continue
			}
			if a.Account() == smallName {
				small = append(small, a.At)
			}
			s, known := c.keyUses[a.Request]
			if at, taken := c.revokedAt(s.version); known && taken && s.sent.Sub(at) > keyRevocationBound {
				c.problems = append(c.problems, fmt.Sprintf("request %s ran at %s with the key of version %d, which was taken away %v before it was sent", a.Request, e.ID, s.version, s.sent.Sub(at)))
			}
		}
	}
	most := (smallRate*allowanceBounds.Window.Seconds()+smallRate)*(1+allowanceBounds.Overage) + allowanceBounds.Slack
	if fullest := maxInWindow(small, allowanceBounds.Window); float64(fullest) > most {
		c.problems = append(c.problems, fmt.Sprintf("%d requests of account %s ran within %v, and %.0f are the most", fullest, smallName, allowanceBounds.Window, most))
	}
	c.SmallAccountRuns = len(small)
}

// maxInWindow gives the most times within any window.
func maxInWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
