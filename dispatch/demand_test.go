package dispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/ledger"
)

// newRankedEnv returns two gateways with a route of priority 1 and an account of priority 0.
func newRankedEnv() *testEnv {
	env := newTestEnv(2, 1)
	urgent := 0
	c := catalog.Catalog{
		Version: 1, Services: services, Accounts: []catalog.Account{{Name: "club", Priority: &urgent}},
		Routes: []catalog.Route{{Name: "route", Target: 800 * time.Millisecond, Priority: 1, Backends: []catalog.Backend{{Service: "review", Weight: 1}}}},
	}
	for _, g := range env.gateways {
		g.ApplyState(ledger.State{Index: 2, Catalog: c}, catalog.NewTable(c))
	}
	return env
}

func rankedOnRoute(priority int) dispatch.Request {
	req := rankedRequest(notYielding, priority, 800*time.Millisecond)
	req.Route = "route"
	return req
}

// TestAccountsPriorityReachesOtherGateways guards against room that is kept by the priority of
// the route where the account has its own, and against a gateway that knows nothing of requests
// which another region has handed over to its neighbours.
func TestAccountsPriorityReachesOtherGateways(t *testing.T) {
	for name, countAt := range map[string]func(*dispatch.Dispatcher, dispatch.Request){
		"from a caller": (*dispatch.Dispatcher).CountArrival, "handed over": (*dispatch.Dispatcher).CountHandover,
	} {
		t.Run(name, func(t *testing.T) {
			env := newRankedEnv()
			alone := fillQueue(newRankedEnv().gateways[0], 1, 4*time.Second)
			countAt(env.gateways[1], rankedOnRoute(0))
			env.exchangeReports()
			must.Less(t, alone, fillQueue(env.gateways[0], 1, 4*time.Second))
		})
	}
}

// TestRoomIsKeptForASecond guards against room that is kept for a priority that nobody has
// asked for lately: a report tells of one request for much longer than it counts.
func TestRoomIsKeptForASecond(t *testing.T) {
	env := newRankedEnv()
	alone := fillQueue(newRankedEnv().gateways[0], 1, 4*time.Second)
	env.gateways[1].CountArrival(rankedOnRoute(0))
	for range 6 {
		env.propagateReports()
	}
	must.Eq(t, alone, fillQueue(env.gateways[0], 1, 4*time.Second))
}
