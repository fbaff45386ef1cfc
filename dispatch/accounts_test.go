package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/roster"
)

// TestGatewaysKnowOfFewRequestsOfAnAccount lets each of twenty gateways admit a request
// of an account now and then, which is counted in requests: each must know of all, though
// none does more than one in two seconds.
func TestGatewaysKnowOfFewRequestsOfAnAccount(t *testing.T) {
	w := &world{now: time.Unix(1000, 0)}
	const gateways = 20
	var meters []*allowance.Meter
	for i := range gateways {
		name := fmt.Sprintf("g%d", i)
		w.hosts = append(w.hosts, roster.Host{Name: name, Role: roster.RoleGateway, Region: "lagos", DataCentre: "a", Peer: name})
		meters = append(meters, allowance.New(allowance.Deps{
			Region: "lagos", Regions: []string{"lagos"}, Policy: allowance.Policy{Window: 8 * time.Second, Overage: 0.1}, Random: func() uint64 { return 0 },
		}))
		w.gateways = append(w.gateways, dispatch.New(dispatch.Deps{
			Name: name, Region: "lagos", DataCentre: "a", RegionOf: map[string]string{"a": "lagos"}, Engines: registry.New("life", time.Second, w.clock),
			Peers: func() []roster.Host { return w.hosts }, RoundTripTo: knownTrip, RetryBudget: retry.Policy{Window: time.Second}, Allowances: meters[i],
			Log: zap.NewNop(), Clock: w.clock,
		}))
	}
	state := ledger.State{Index: 1, Catalog: catalog.Catalog{Version: 1, Accounts: []catalog.Account{
		{Name: "club", Allowance: catalog.Allowance{Unit: catalog.UnitRequests, Rate: 1000, Burst: 1000}},
	}}}
	for _, g := range w.gateways {
		g.ApplyState(state, catalog.NewTable(state.Catalog))
	}
	asked := 0.0
	for step := range 100 { // ten seconds; each gateway asks each two seconds
		for i, m := range meters {
			if step%gateways == i {
				_, err := m.Admit("club", 1, w.now)
				must.NoError(t, err)
			}
		}
		w.tell()
		w.pass(rollup.ReportInterval)
		if step >= 50 {
			asked += meters[0].Statuses(w.now)[0].Requested / 50
		}
	}
	must.Between(t, 7, asked, 13, must.Sprint("ten requests a second"))
}
