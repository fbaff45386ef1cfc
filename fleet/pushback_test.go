package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/route"
)

// mustReject checks that the next request is rejected, and returns the error.
func mustReject(t *testing.T, f *fleet.Fleet, c *clock) *request.NotRun {
	t.Helper()
	_, err := f.Acquire(context.Background(), c.request())
	var rejection *request.NotRun
	must.True(t, errors.As(err, &rejection))
	return rejection
}

// The only engine asks for backoff. Requests must be rejected at once, with the remaining
// backoff as Retry-After. After the backoff, a single request must test the engine first.
func TestEngineInBackoffIsExcludedThenTriedOnce(t *testing.T) {
	f, c := newFleet(t, engine("e", 8))
	ticket := acquire(t, f, c)
	ticket.ApplyPushback(pushback.Backoff{Duration: 3 * time.Second}, false)
	ticket.Done(fleet.Result{Outcome: fleet.Shed})
	c.now = c.now.Add(time.Second)
	rejection := mustReject(t, f, c)
	must.Eq(t, request.ReasonNoEngine, rejection.Reason)
	must.Eq(t, 2*time.Second, rejection.RetryAfter)
	must.Eq(t, route.ExcludedBackingOff.String(), f.Explain(c.request())[0].Exclusion)
	must.Eq(t, 0, f.Digests()[0].Digest.Slots, must.Sprint("no capacity for other regions"))
	c.now = c.now.Add(2 * time.Second)
	for i := range 20 { // one report without load is not trusted after the overload
		f.ApplyLoadReport("s", "e", fleet.LoadReport{At: c.now.Add(time.Duration(i-20) * time.Millisecond)})
	}
	f.Tick()
	first := acquire(t, f, c)
	mustReject(t, f, c)
	first.RecordAccepted()
	acquire(t, f, c)
}

// Requests wait for a slot of an engine that then asks for a backoff. One that can't meet
// its deadline after the backoff must be rejected at the next tick; the other keeps
// waiting.
func TestWaiterIsRejectedWhenBackoffOutlastsItsDeadline(t *testing.T) {
	f, c := newFleet(t, engine("e", 1))
	ticket := acquire(t, f, c)
	var shortDeadline, longDeadline fleet.SubmitResult
	req := c.request()
	req.Request.Deadline = c.now.Add(2 * time.Second)
	f.Submit(req, func(s fleet.SubmitResult) { shortDeadline = s })
	f.Submit(c.request(), func(s fleet.SubmitResult) { longDeadline = s })
	ticket.ApplyPushback(pushback.Backoff{Duration: 5 * time.Second}, false)
	ticket.Done(fleet.Result{Outcome: fleet.Shed})
	f.Tick()
	must.ErrorContains(t, shortDeadline.Err, "no slot was free in time")
	must.Nil(t, longDeadline.Err)
	must.Nil(t, longDeadline.Ticket)
}

// An engine announces that it is draining. The answer to a probe that was sent before
// must not revoke that. The answer to a later probe does, as it comes from the next
// incarnation.
func TestEngineDrainsUntilItsNextIncarnation(t *testing.T) {
	f, c := newFleet(t, engine("e", 8))
	probed := c.now
	c.now = c.now.Add(time.Second)
	ticket := acquire(t, f, c)
	ticket.ApplyPushback(pushback.NoSignal{}, true)
	ticket.Done(fleet.Result{Outcome: fleet.Answered})
	f.RecordProbeDraining("s", "e", false, probed)
	mustReject(t, f, c)
	must.Eq(t, route.ExcludedDraining.String(), f.Explain(c.request())[0].Exclusion)
	c.now = c.now.Add(time.Second)
	f.RecordProbeDraining("s", "e", true, c.now)
	mustReject(t, f, c)
	f.RecordProbeDraining("s", "e", false, c.now.Add(time.Millisecond))
	acquire(t, f, c)
}
