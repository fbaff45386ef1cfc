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

// The client accounts of every declaration: "members" has a permanent key and a key that
// changes with each version; "small" has a small allowance.
const (
	memberKey          = "member"
	smallKey           = "small"
	smallName          = "small"
	smallRate          = 20 // requests a second; also the burst
	keyRevocationBound = 5 * time.Second
	// maxKeyAge is how many versions back the keys that callers present may go.
	maxKeyAge      = 6
	smallCallPause = 20 * time.Millisecond
)

// allowanceBounds are the hosts' settings that bound how far an account may exceed its
// allowance.
var allowanceBounds = settings.Allowances{Window: 4 * time.Second, Overage: 0.1, Slack: 20}

// rotatingKey returns the key that only the given version of the declaration contains.
func rotatingKey(version int64) string { return fmt.Sprintf("fleeting-%d", version) }

// tenants returns the client accounts that a version declares.
func tenants(version int64) []platformtest.Tenant {
	return []platformtest.Tenant{
		{Name: "members", APIKeys: []string{memberKey, rotatingKey(version)}},
		{Name: smallName, APIKeys: []string{smallKey}, Unit: "requests", RatePerS: smallRate, Burst: smallRate},
	}
}

// keyUse is a request that presented a key which the next version revokes.
type keyUse struct {
	sent    time.Time
	version int64 // the version that declares the key
}

// callWithRotatingKeys sends requests with keys of recent versions to one gateway.
func (w *World) callWithRotatingKeys(ctx context.Context, h *Host, r *rand.Rand) {
	var caller platformtest.Caller
	for ctx.Err() == nil {
		version := max(1, w.Checker.NewestVersion()-r.Int64N(maxKeyAge))
		began := time.Now()
		result, err := caller.Do(ctx, h.settings.Listen.Callers, platformtest.Request{Host: "soak", Path: "/safe/1", Header: platformtest.HeaderWithKeys(rotatingKey(version)), Deadline: 3 * time.Second})
		w.Checker.RecordKeyUse(result.ID, keyUse{began, version})
		if err == nil && result.Status == 200 {
			w.Checker.CheckAnswer(kinds[0], h.Name, result)
		}
		pause(ctx, callPause)
	}
}

// exceedAllowance sends requests of the small account faster than its allowance permits.
func (w *World) exceedAllowance(ctx context.Context, h *Host) {
	var caller platformtest.Caller
	for ctx.Err() == nil {
		_, _ = caller.Do(ctx, h.settings.Listen.Callers, platformtest.Request{Host: "soak", Path: "/safe/1", Header: platformtest.HeaderWithKeys(smallKey)}) // the checker counts what the engines ran
		pause(ctx, smallCallPause)
	}
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// RecordKeyUse records a request whose key the next version revokes.
func (c *Checker) RecordKeyUse(request string, s keyUse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyUses[request] = s
}

// revokedAt returns when a version later than the given one was first accepted, which is
// when the key of that version was revoked. It returns false if there is none. c.mu is
// held.
func (c *Checker) revokedAt(version int64) (at time.Time, ok bool) {
	for later, accepted := range c.acceptedAt {
		if later > version && (!ok || accepted.Before(at)) {
			at, ok = accepted, true
		}
	}
	return at, ok
}

// checkAccounts checks the requests that the engines received: no request runs with a key
// that was revoked more than keyRevocationBound before it was sent, no caller's key is
// forwarded to an engine, and the small account stays within its limit in every window.
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
	limit := (smallRate*allowanceBounds.Window.Seconds()+smallRate)*(1+allowanceBounds.Overage) + allowanceBounds.Slack
	if peak := maxInWindow(small, allowanceBounds.Window); float64(peak) > limit {
		c.problems = append(c.problems, fmt.Sprintf("%d requests of account %s ran within %v, and %.0f are the most", peak, smallName, allowanceBounds.Window, limit))
	}
	c.SmallAccountRuns = len(small)
}

// maxInWindow returns the largest number of times within any one window. It sorts times.
func maxInWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	peak, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}
