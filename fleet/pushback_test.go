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

// refused gives the refusal of the next request.
func refused(t *testing.T, f *fleet.Fleet, c *clock) *request.NotRun {
	t.Helper()
	_, err := f.Acquire(context.Background(), c.ask())
	var refusal *request.NotRun
	must.True(t, errors.As(err, &refusal))
	return refusal
}

// TestARestingEngineIsLeftAloneAndThenTriedOnce has the only engine ask for rest: callers are
// refused at once and told when it ends, and then one request goes first.
func TestARestingEngineIsLeftAloneAndThenTriedOnce(t *testing.T) {
	f, c := newFleet(t, engine("e", 8))
	ticket := acquire(t, f, c)
	ticket.ApplyPushback(pushback.Rest{For: 3 * time.Second}, false)
	ticket.Done(fleet.Result{Outcome: fleet.Shed})
	c.now = c.now.Add(time.Second)
	refusal := refused(t, f, c)
	must.Eq(t, request.ReasonNoEngine, refusal.Reason)
	must.Eq(t, 2*time.Second, refusal.RetryAfter)
	must.Eq(t, route.RefusedResting.String(), f.Explain(c.ask())[0].Refused)
	must.Eq(t, 0, f.Digests()[0].Digest.Slots, must.Sprint("no capacity for other regions"))
	c.now = c.now.Add(2 * time.Second)
	for i := range 20 { // it has nothing to do, which isn't believed at once
		f.SetReport("s", "e", fleet.Report{At: c.now.Add(time.Duration(i-20) * time.Millisecond)})
	}
	f.Tick()
	first := acquire(t, f, c)
	refused(t, f, c)
	first.Accepted()
	acquire(t, f, c)
}

// TestWhoWaitsForARestingEngineInVainIsRefusedAtOnce has requests wait for a slot of an engine that
// then asks for a longer rest than one of them has time.
func TestWhoWaitsForARestingEngineInVainIsRefusedAtOnce(t *testing.T) {
	f, c := newFleet(t, engine("e", 1))
	holds := acquire(t, f, c)
	var short, long fleet.Served
	ask := c.ask()
	ask.Request.Deadline = c.now.Add(2 * time.Second)
	f.Submit(ask, func(s fleet.Served) { short = s })
	f.Submit(c.ask(), func(s fleet.Served) { long = s })
	holds.ApplyPushback(pushback.Rest{For: 5 * time.Second}, false)
	holds.Done(fleet.Result{Outcome: fleet.Shed})
	f.Tick()
	must.ErrorContains(t, short.Err, "no slot was free in time")
	must.Nil(t, long.Err)
	must.Nil(t, long.Ticket)
}

// TestADeclaredEngineLeavesUntilItsNextLife has an engine say that it leaves, and an answer to a
// probe that was sent before pass it. The answer to one sent later that says nothing comes from
// an engine that has started again.
func TestADeclaredEngineLeavesUntilItsNextLife(t *testing.T) {
	f, c := newFleet(t, engine("e", 8))
	probed := c.now
	c.now = c.now.Add(time.Second)
	ticket := acquire(t, f, c)
	ticket.ApplyPushback(pushback.Nothing{}, true)
	ticket.Done(fleet.Result{Outcome: fleet.Answered})
	f.ProbedLeaving("s", "e", false, probed)
	refused(t, f, c)
	must.Eq(t, route.RefusedLeaving.String(), f.Explain(c.ask())[0].Refused)
	c.now = c.now.Add(time.Second)
	f.ProbedLeaving("s", "e", true, c.now)
	refused(t, f, c)
	f.ProbedLeaving("s", "e", false, c.now.Add(time.Millisecond))
	acquire(t, f, c)
}
