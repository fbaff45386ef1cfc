package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/ratelimit"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/route"
)

// newFleetsOfRegion returns the fleets of three entry hosts of one region, which have the
// same engines.
func newFleetsOfRegion(t *testing.T, c *clock, engines ...declare.Engine) []*fleet.Fleet {
	t.Helper()
	change := declare.Change{Puts: []declare.Envelope{
		{Object: declare.Region{Name: "r"}},
		{Object: declare.DataCentre{Name: "d", Region: "r"}},
		{Object: declare.Service{Name: "s", Type: declare.ServiceModel}},
	}}
	names := []string{"h1", "h2", "h3"}
	for _, name := range names {
		change.Puts = append(change.Puts, declare.Envelope{Object: declare.Host{Name: name, DataCentre: "d", Callers: "127.0.0.1:1", Handover: "127.0.0.1:2", Control: "127.0.0.1:3", Operators: "127.0.0.1:4"}})
	}
	for _, e := range engines {
		change.Puts = append(change.Puts, declare.Envelope{Object: e})
	}
	config, err := declare.Config{}.Apply(change)
	must.NoError(t, err)
	var fleets []*fleet.Fleet
	for i, name := range names {
		f := fleet.New(name, "r", c.read, nil, route.PrefixBounded{}, uint64(i))
		f.ApplyConfig(config, nil)
		fleets = append(fleets, f)
	}
	return fleets
}

// One of two engines announces a limit of two requests per second to three entry hosts.
// Without the limit, it got half of ten requests per second.
func TestHostsTogetherStayWithinEngineLimit(t *testing.T) {
	c := &clock{time.Unix(1_700_000_000, 0)}
	fleets := newFleetsOfRegion(t, c, engine("needy", 8), engine("well", 8))
	sent := 0
	for i := range 200 {
		c.now = c.now.Add(100 * time.Millisecond)
		f := fleets[i%3]
		f.Tick()
		ticket := acquire(t, f, c)
		if ticket.Engine == "needy" {
			ticket.ApplyLimit(ratelimit.Limited{PerSecond: 2})
			if i >= 60 {
				sent++
			}
		} else {
			ticket.ApplyLimit(ratelimit.Unlimited{})
		}
		ticket.Done(fleet.Result{Outcome: fleet.Answered})
		if i%10 == 0 {
			for _, to := range fleets {
				to.ReceiveLimitReports(f.OutgoingLimitReports(), time.Second)
			}
		}
	}
	must.Between(t, 14, sent, 28+5, must.Sprint("requests sent in 14 seconds"))
}

// The only engine announces a limit. Requests over the limit must be rejected at once
// with a Retry-After, not queued.
func TestRequestIsRejectedAtOnceWhenAllEnginesAreOverLimit(t *testing.T) {
	c := &clock{time.Unix(1_700_000_000, 0)}
	for _, f := range newFleetsOfRegion(t, c, engine("needy", 8)) {
		ticket := acquire(t, f, c)
		ticket.ApplyLimit(ratelimit.Limited{PerSecond: 0.25})
		ticket.Done(fleet.Result{Outcome: fleet.Answered})
		_, err := f.Acquire(context.Background(), c.request())
		var rejection *request.NotRun
		must.True(t, errors.As(err, &rejection))
		must.Eq(t, request.ReasonNoEngine, rejection.Reason)
		must.GreaterEq(t, time.Second, rejection.RetryAfter)
		must.Eq(t, route.ExcludedRateLimited.String(), f.Explain(c.request())[0].Exclusion)
	}
}

// A ticket that is released unsent must not use up the engine's rate limit.
func TestUnsentRequestDoesNotCountAgainstLimit(t *testing.T) {
	c := &clock{time.Unix(1_700_000_000, 0)}
	served := 0
	for _, f := range newFleetsOfRegion(t, c, engine("needy", 8)) {
		ticket := acquire(t, f, c)
		ticket.ApplyLimit(ratelimit.Limited{PerSecond: 1})
		ticket.Done(fleet.Result{Outcome: fleet.Answered})
		c.now = c.now.Add(1500 * time.Millisecond)
		for range 5 {
			if ticket, err := f.Acquire(context.Background(), c.request()); err == nil {
				ticket.Done(fleet.Result{Outcome: fleet.Unsent})
				served++
			}
		}
	}
	must.Eq(t, 5, served, must.Sprint("only one host has a share of the limit"))
}
