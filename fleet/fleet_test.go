package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/route"
)

// clock is a manually set clock.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func config(t *testing.T, engines ...declare.Engine) declare.Config {
	t.Helper()
	change := declare.Change{Puts: []declare.Envelope{
		{Object: declare.Region{Name: "r"}},
		{Object: declare.DataCentre{Name: "d", Region: "r"}},
		{Object: declare.Service{Name: "s", Type: declare.ServiceModel}},
	}}
	for _, e := range engines {
		change.Puts = append(change.Puts, declare.Envelope{Object: e})
	}
	c, err := declare.Config{}.Apply(change)
	must.NoError(t, err)
	return c
}

func engine(name string, slots int) declare.Engine {
	return declare.Engine{Name: name, Service: "s", DataCentre: "d", Address: "127.0.0.1:1", Slots: slots}
}

func newFleet(t *testing.T, engines ...declare.Engine) (*fleet.Fleet, *clock) {
	t.Helper()
	c := &clock{time.Unix(1_700_000_000, 0)}
	f := fleet.New("h", "r", c.read, nil, route.PrefixBounded{}, 1)
	f.ApplyConfig(config(t, engines...), nil)
	return f, c
}

func (c *clock) request() fleet.SlotRequest {
	return fleet.SlotRequest{Request: request.Request{Service: "s", Class: request.ClassStandard, Deadline: c.now.Add(time.Minute)}}
}

func acquire(t *testing.T, f *fleet.Fleet, c *clock) *fleet.Ticket {
	t.Helper()
	ticket, err := f.Acquire(context.Background(), c.request())
	must.NoError(t, err)
	return ticket
}

func TestWaiterGetsReleasedSlot(t *testing.T) {
	f, c := newFleet(t, engine("e", 1))
	first := acquire(t, f, c)
	served := make(chan fleet.SubmitResult, 1)
	f.Submit(c.request(), func(s fleet.SubmitResult) { served <- s })
	must.Eq(t, 0, len(served))
	first.Done(fleet.Result{Outcome: fleet.Answered})
	must.Eq(t, "e", (<-served).Ticket.Engine)
}

func TestCancelledWaiterLeaksNoSlot(t *testing.T) {
	f, c := newFleet(t, engine("e", 1))
	first := acquire(t, f, c)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := f.Acquire(ctx, c.request())
	var refusal *request.NotRun
	must.True(t, errors.As(err, &refusal))
	first.Done(fleet.Result{Outcome: fleet.Answered})
	must.Eq(t, 0, f.InFlight("e"))
	acquire(t, f, c)
}

func TestStoppingEngineFinishesAndGetsNoNewRequests(t *testing.T) {
	f, c := newFleet(t, engine("a", 8), engine("b", 8))
	var ticketOnA *fleet.Ticket
	for ticketOnA == nil {
		if ticket := acquire(t, f, c); ticket.Engine == "a" {
			ticketOnA = ticket
		}
	}
	before := f.InFlight("a")
	f.ApplyConfig(config(t, engine("a", 8).WithState(declare.EngineStopping), engine("b", 8)), nil)
	for range 4 {
		must.Eq(t, "b", acquire(t, f, c).Engine)
	}
	must.Eq(t, before, f.InFlight("a"))
	ticketOnA.Done(fleet.Result{Outcome: fleet.Answered})
	must.Eq(t, before-1, f.InFlight("a"))
}

func TestEngineOfAnUndecidedChangeIsHeld(t *testing.T) {
	f, c := newFleet(t, engine("a", 8), engine("b", 8))
	f.ApplyConfig(config(t, engine("a", 8), engine("b", 8)), func(name string) bool { return name == "a" })
	for range 4 {
		must.Eq(t, "b", acquire(t, f, c).Engine)
	}
}

func TestDrainingEngineGetsNoNewRequests(t *testing.T) {
	f, c := newFleet(t, engine("a", 8))
	f.SetDraining(func(string) bool { return true })
	_, err := f.Acquire(context.Background(), c.request())
	var refusal *request.NotRun
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, request.ReasonNoEngine, refusal.Reason)
}

// One engine is stopping while the host of the other is reclaimed: running requests
// finish, and new requests are rejected as not run.
func TestReclaimDuringDrain(t *testing.T) {
	f, c := newFleet(t, engine("a", 8), engine("b", 8))
	running := []*fleet.Ticket{acquire(t, f, c), acquire(t, f, c), acquire(t, f, c)}
	f.ApplyConfig(config(t, engine("a", 8).WithState(declare.EngineStopping), engine("b", 8)), nil)
	f.SetDraining(func(string) bool { return true })
	_, err := f.Acquire(context.Background(), c.request())
	must.ErrorContains(t, err, "no engine here is healthy and permitted")
	must.Eq(t, 3, f.InFlight("a")+f.InFlight("b"))
	for _, ticket := range running {
		ticket.Done(fleet.Result{Outcome: fleet.Answered})
	}
	must.Eq(t, 0, f.InFlight("a")+f.InFlight("b"))
}

func TestTickRejectsLateWaiter(t *testing.T) {
	f, c := newFleet(t, engine("e", 1))
	acquire(t, f, c)
	req := c.request()
	req.Request.Deadline = c.now.Add(3 * time.Second)
	var got fleet.SubmitResult
	f.Submit(req, func(s fleet.SubmitResult) { got = s })
	f.Tick()
	must.Nil(t, got.Err)
	c.now = c.now.Add(3*time.Second + 1)
	f.Tick()
	must.ErrorContains(t, got.Err, "no slot was free in time")
}

func TestTicketOfReplacedEngineStaysValid(t *testing.T) {
	f, c := newFleet(t, engine("a", 8))
	ticket := acquire(t, f, c)
	f.ApplyConfig(config(t, engine("b", 8)), nil)
	must.Eq(t, "b", acquire(t, f, c).Engine)
	must.Eq(t, 1, f.InFlight("a"))
	ticket.Done(fleet.Result{Outcome: fleet.Answered})
	must.Eq(t, 1, f.InFlight("b"))
}

// TestSuspensionIsNotTheEnginesTime guards against service times and failures that include
// time in which this host didn't run.
func TestSuspensionIsNotTheEnginesTime(t *testing.T) {
	c := &clock{time.Unix(1_700_000_000, 0)}
	suspended := false
	f := fleet.New("h", "r", c.read, func(time.Time) bool { return suspended }, route.PrefixBounded{}, 1)
	f.ApplyConfig(config(t, engine("e", 4), engine("o", 4)), nil)
	run := func(took time.Duration, outcome fleet.Outcome) {
		ticket := acquire(t, f, c)
		c.now = c.now.Add(took)
		ticket.Done(fleet.Result{Outcome: outcome, TimeToFirstByte: took})
	}
	for range 10 {
		run(20*time.Millisecond, fleet.Answered)
	}
	before := f.Digests()
	suspended = true
	for range 10 {
		run(3*time.Second, fleet.Answered)
		run(3*time.Second, fleet.Failed)
	}
	after := f.Digests()
	must.Eq(t, before[0].Digest.ServiceTime, after[0].Digest.ServiceTime)
	must.Eq(t, before[0].Digest.Slots, after[0].Digest.Slots, must.Sprint("no engine is ejected"))
}
