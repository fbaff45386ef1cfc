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

// TestLowAccountUsageReachesAllGateways has each of twenty gateways admit one request of
// an account every two seconds. Usage below one request per second must not be rounded to
// nothing in the reports: each gateway must see the sum.
func TestLowAccountUsageReachesAllGateways(t *testing.T) {
	env := &testEnv{now: time.Unix(1000, 0)}
	const gateways = 20
	var meters []*allowance.Meter
	for i := range gateways {
		name := fmt.Sprintf("g%d", i)
		env.hosts = append(env.hosts, roster.Host{Name: name, Role: roster.RoleGateway, Region: "lagos", DataCentre: "a", Peer: name})
		meters = append(meters, allowance.New(allowance.Deps{
			Region: "lagos", Regions: []string{"lagos"}, Policy: allowance.Policy{Window: 8 * time.Second, Overage: 0.1}, Random: func() uint64 { return 0 },
		}))
		env.gateways = append(env.gateways, dispatch.New(dispatch.Deps{
			Name: name, Region: "lagos", DataCentre: "a", RegionOf: map[string]string{"a": "lagos"}, Engines: registry.New("life", time.Second, env.clock),
			Peers: func() []roster.Host { return env.hosts }, RoundTripTo: fixedRoundTrip, RetryBudget: retry.Policy{Window: time.Second}, Allowances: meters[i],
			Log: zap.NewNop(), Clock: env.clock,
		}))
	}
	state := ledger.State{Index: 1, Catalog: catalog.Catalog{Version: 1, Accounts: []catalog.Account{
		{Name: "club", Allowance: catalog.Allowance{Unit: catalog.UnitRequests, Rate: 1000, Burst: 1000}},
	}}}
	for _, g := range env.gateways {
		g.ApplyState(state, catalog.NewTable(state.Catalog))
	}
	meanRequested := 0.0
	for step := range 100 { // ten seconds; each gateway admits one request every two seconds
		for i, m := range meters {
			if step%gateways == i {
				_, err := m.Admit("club", 1, env.now)
				must.NoError(t, err)
			}
		}
		env.exchangeReports()
		env.advance(rollup.ReportInterval)
		if step >= 50 {
			meanRequested += meters[0].Statuses(env.now)[0].Requested / 50
		}
	}
	must.Between(t, 7, meanRequested, 13, must.Sprint("ten requests per second"))
}
