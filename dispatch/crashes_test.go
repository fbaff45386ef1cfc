package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/roster"
)

// TestEngineIsSuspectedOnce breaks two connections to an engine, which must make it a
// suspect once. After an answer to a later request, the next broken connection makes it a
// suspect again, and so does one to its next incarnation.
func TestEngineIsSuspectedOnce(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	acquire(t, g, longRequest("r0", "p")).Done(dispatch.Broken)
	acquire(t, g, longRequest("r1", "p")).Done(dispatch.Broken)
	must.Eq(t, 1, len(g.SuspectEngines()))
	must.Eq(t, "i-0", (<-g.SuspectEngines()).Incarnation)
	env.advance(1) // so that the next request is later than the breaks
	acquire(t, g, longRequest("r2", "p")).RecordFirstByte(true)
	acquire(t, g, longRequest("r3", "p")).Done(dispatch.Broken)
	must.Eq(t, 1, len(g.SuspectEngines()), must.Sprint("suspected again: it had answered after the first breaks"))
	env.heartbeat(registry.Engine{ID: "i-0", Born: 5})
	acquire(t, g, longRequest("r4", "p")).Done(dispatch.Broken)
	must.Eq(t, 2, len(g.SuspectEngines()), must.Sprint("another incarnation is another engine"))
}

// newTwoRegionEnv is newTestEnv with a second region, kano, that has the given number of
// gateways and one engine.
func newTwoRegionEnv(lagos, kano, engines int) *testEnv {
	env := newTestEnv(lagos, engines)
	env.heartbeat(registry.Engine{ID: "i-far", Service: "review", Slots: 16, DataCentre: "c"})
	for i := range kano {
		name := fmt.Sprint("k", i)
		env.hosts = append(env.hosts, roster.Host{Name: name, Role: roster.RoleGateway, Region: "kano", Peer: "10.9.0." + fmt.Sprint(i) + ":1"})
		env.gateways = append(env.gateways, dispatch.New(dispatch.Deps{
			Name: name, Region: "kano", RegionOf: map[string]string{"a": "lagos", "b": "lagos", "c": "kano"}, Engines: env.engines,
			Peers: func() []roster.Host { return env.hosts }, RoundTripTo: fixedRoundTrip, RetryBudget: retry.Policy{Share: 0.2, Extra: 10, Window: 10 * time.Second},
			Log: zap.NewNop(), Clock: env.clock,
		}))
	}
	env.applyState()
	return env
}

// crashEngine has the engine that a gateway chooses for the request crash while the
// request runs.
func (env *testEnv) crashEngine(t *testing.T, g *dispatch.Dispatcher, req dispatch.Request) {
	t.Helper()
	ticket := acquire(t, g, req)
	ticket.Done(dispatch.Broken)
	g.ConnectionRefused(<-g.SuspectEngines())
	env.engines.MarkLeft(ticket.Engine, 0)
	env.tick()
}

// isQuarantined reports whether a gateway rejects a request because it is quarantined.
func isQuarantined(g *dispatch.Dispatcher, req dispatch.Request) bool {
	ticket, err := g.Acquire(req)
	if err == nil {
		ticket.Done(dispatch.Abandoned)
	}
	var rejection *request.NotRun
	return errors.As(err, &rejection) && rejection.Reason == request.ReasonQuarantined
}

// TestCrashReportsReachAllRegions has three of forty gateways of a region each lose an
// engine under the same request; no gateway alone sees enough crashes. Within a second
// all gateways of both regions must quarantine the request. An isolated gateway must do
// so within two seconds after it is connected again.
func TestCrashReportsReachAllRegions(t *testing.T) {
	env := newTwoRegionEnv(40, 12, 30)
	env.propagateReports()
	isolated := env.gateways[39]
	allHosts, allGateways := slices.Clone(env.hosts), slices.Clone(env.gateways)
	crashing := longRequest("r", "p")
	crashing.Fingerprint = 77
	for _, g := range env.gateways[:3] {
		env.crashEngine(t, g, crashing)
		for range 3 {
			must.False(t, isQuarantined(env.gateways[10], crashing), must.Sprint("fewer than three crashes known"))
		}
	}
	env.hosts = slices.Delete(env.hosts, 39, 40)
	env.gateways = slices.Delete(env.gateways, 39, 40)
	for range 10 {
		env.exchangeReports()
		env.advance(rollup.ReportInterval)
	}
	for i, g := range env.gateways {
		must.True(t, isQuarantined(g, crashing), must.Sprint("gateway ", env.hosts[i].Name))
	}
	must.False(t, isQuarantined(isolated, crashing))
	env.hosts, env.gateways = allHosts, allGateways
	for range 20 {
		env.exchangeReports()
		env.advance(rollup.ReportInterval)
	}
	must.True(t, isQuarantined(isolated, crashing))
	harmless := longRequest("r9", "p")
	harmless.Fingerprint = 78
	must.False(t, isQuarantined(isolated, harmless))
}

// TestEndOfDrainingEngineIsNoCrash checks that the end of a draining engine doesn't count
// as a crash against the request that was running there.
func TestEndOfDrainingEngineIsNoCrash(t *testing.T) {
	env := newTestEnv(1, 4)
	g := env.gateways[0]
	req := longRequest("r", "p")
	req.Fingerprint = 77
	for i := range 3 {
		ticket := acquire(t, g, req)
		env.heartbeat(registry.Engine{ID: ticket.Engine, Phase: registry.Draining})
		ticket.Done(dispatch.Broken)
		g.ConnectionRefused(<-g.SuspectEngines())
		must.False(t, isQuarantined(g, req), must.Sprint("engines ended: ", i+1))
	}
}

// TestManyCrashesKeepMessagesSmall has each of forty gateways lose an engine with fifty
// requests at the same time, and measures the messages until all crashes are reported.
// All traffic between two regions shares a link, which drops datagrams first. So no
// message may grow with the number of crashes, and messages between regions must stay
// small beside answers.
func TestManyCrashesKeepMessagesSmall(t *testing.T) {
	env := newTwoRegionEnv(40, 12, 60)
	env.propagateReports()
	for i, g := range env.gateways[:40] {
		var tickets []*dispatch.Ticket
		for j := range 50 {
			req := longRequest(fmt.Sprint("r", i, j), "p")
			req.Fingerprint = quarantine.Fingerprint(1 + i*50 + j)
			tickets = append(tickets, acquire(t, g, req))
		}
		for _, ticket := range tickets {
			ticket.Done(dispatch.Broken)
		}
		for len(g.SuspectEngines()) > 0 {
			g.ConnectionRefused(<-g.SuspectEngines())
		}
	}
	largest, crossRegion := 0, 0
	const seconds = 5
	for range seconds * int(time.Second/rollup.ReportInterval) {
		for _, g := range env.gateways {
			for _, out := range g.Outgoing() {
				data, err := cbor.Marshal(out.Message)
				must.NoError(t, err)
				largest = max(largest, len(data))
				if len(out.Message.Members) == 0 { // only messages between regions have none
					crossRegion += len(data) * len(out.To)
				}
				env.deliver(out)
			}
		}
		env.advance(rollup.ReportInterval)
	}
	t.Log("largest message", largest, "bytes; between regions", crossRegion/seconds, "bytes per second")
	must.LessEq(t, 16<<10, largest)
	must.LessEq(t, 100<<10, crossRegion/seconds)
}
