package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/request"
)

// crashingRequest returns a request that crashes engines.
func (c *clock) crashingRequest() fleet.SlotRequest {
	req := c.request()
	req.Fingerprint = 77
	return req
}

// crashEngine sends the crashing request, and crashes and restarts the engine that f
// chose.
func crashEngine(t *testing.T, f *fleet.Fleet, c *clock) {
	t.Helper()
	ticket, err := f.Acquire(context.Background(), c.crashingRequest())
	must.NoError(t, err)
	ticket.Done(fleet.Result{Outcome: fleet.Broken})
	f.ConnectionRefused(ticket.Engine)
	c.now = c.now.Add(20 * time.Second)
	f.RecordProbe("s", ticket.Engine, c.now, true) // the engine has restarted
}

// rejectionReason returns the reason that f rejects the crashing request, or "" if it
// accepts it.
func rejectionReason(f *fleet.Fleet, c *clock) request.Reason {
	ticket, err := f.Acquire(context.Background(), c.crashingRequest())
	if err == nil {
		ticket.Done(fleet.Result{Outcome: fleet.Unsent})
		return ""
	}
	var rejection *request.NotRun
	errors.As(err, &rejection)
	return rejection.Reason
}

// Guards against a request that crashes an engine after each restart and is never
// quarantined, since each of two hosts detects only some of the crashes. Three crashes in
// total must quarantine it at both hosts, while other requests are served.
func TestRequestIsQuarantinedAfterCrashesSeenByTwoHosts(t *testing.T) {
	a, aClock := newFleet(t, engine("e", 4))
	b, bClock := newFleet(t, engine("e", 4))
	exchange := func() {
		bClock.now = aClock.now
		a.ReceiveCrashReports(b.OutgoingCrashReports(), time.Second)
		b.ReceiveCrashReports(a.OutgoingCrashReports(), time.Second)
	}
	crashEngine(t, a, aClock)
	exchange()
	crashEngine(t, b, bClock)
	aClock.now = bClock.now
	exchange()
	must.Eq(t, "", rejectionReason(a, aClock))
	crashEngine(t, a, aClock)
	exchange()
	must.Eq(t, request.ReasonQuarantined, rejectionReason(a, aClock))
	must.Eq(t, request.ReasonQuarantined, rejectionReason(b, bClock))
	acquire(t, a, aClock).Done(fleet.Result{Outcome: fleet.Answered})
}

// An engine that breaks connections three times, but answers probes, has not crashed.
func TestBrokenConnectionsAreNotCrashes(t *testing.T) {
	f, c := newFleet(t, engine("e", 4))
	for range 3 {
		ticket, err := f.Acquire(context.Background(), c.crashingRequest())
		must.NoError(t, err)
		ticket.Done(fleet.Result{Outcome: fleet.Broken})
		c.now = c.now.Add(time.Second)
		f.RecordProbe("s", "e", c.now, true)
		f.ConnectionRefused("e") // later, for an unrelated reason
	}
	must.Eq(t, "", rejectionReason(f, c))
}
