package allowance_test

import (
	"cmp"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/catalog"
)

// deployment is a deployment of some size, and an account whose callers begin to request
// many times its rate.
type deployment struct {
	name       string
	gateways   int
	unit       catalog.Unit
	rate       float64
	slack      float64
	window     time.Duration
	rateFactor float64 // demand as a multiple of the rate
}

var deployments = []deployment{
	{"6 gateways, requests", 6, catalog.UnitRequests, 20, 20, 4 * time.Second, 12},
	{"12 gateways, requests", 12, catalog.UnitRequests, 40, 20, 4 * time.Second, 12},
	{"18 gateways, tokens", 18, catalog.UnitTokens, 120_000, 110_000, 8 * time.Second, 4.2},
	{"60 gateways, tokens", 60, catalog.UnitTokens, 120_000, 110_000, 8 * time.Second, 4.2},
}

func (d deployment) newSimulation(seed uint64) *simulation {
	sim := newSimulation(d.gateways, catalog.Allowance{Unit: d.unit, Rate: d.rate, Burst: d.rate}, func(sim *simulation, region int) limiter {
		sim.policy = allowance.Policy{Window: d.window, Overage: 0.1, Slack: d.slack}
		return newMeterLimiter(sim, region)
	})
	sim.random = rand.New(rand.NewPCG(seed, 1))
	for region, all := range sim.limiters {
		for i := range all {
			all[i] = newMeterLimiter(sim, region)
		}
	}
	return sim
}

// fault is one kind of fault, which inject applies for some time.
type fault struct {
	name   string
	inject func(sim *simulation, r *rand.Rand, length time.Duration)
}

func randomGateway(sim *simulation, r *rand.Rand) *meterLimiter {
	all := sim.limiters[r.IntN(regions)]
	return all[r.IntN(len(all))].(*meterLimiter)
}

var faults = []fault{
	{"none", func(sim *simulation, _ *rand.Rand, length time.Duration) { sim.run(length) }},
	{"isolated", func(sim *simulation, r *rand.Rand, length time.Duration) {
		m := randomGateway(sim, r)
		m.isolated = true
		sim.run(length)
		m.isolated = false
	}},
	{"partition", func(sim *simulation, r *rand.Rand, length time.Duration) {
		region := r.IntN(regions)
		sim.partitioned[region] = true
		sim.run(length)
		sim.partitioned[region] = false
	}},
	{"pause", func(sim *simulation, r *rand.Rand, length time.Duration) {
		m := randomGateway(sim, r)
		m.paused = true
		sim.run(length)
		m.paused = false
	}},
	{"pause and partition", func(sim *simulation, r *rand.Rand, length time.Duration) {
		m := randomGateway(sim, r)
		m.paused = true
		sim.run(length / 2)
		sim.partitioned[m.region] = true
		m.paused = false
		sim.run(length / 2)
		sim.partitioned[m.region] = false
	}},
	{"restart", func(sim *simulation, r *rand.Rand, length time.Duration) {
		region := r.IntN(regions)
		sim.limiters[region][r.IntN(len(sim.limiters[region]))] = newMeterLimiter(sim, region)
		sim.run(length)
	}},
	{"moved callers", func(sim *simulation, r *rand.Rand, length time.Duration) {
		a, b := r.IntN(regions), r.IntN(regions)
		sim.demand[a], sim.demand[b] = sim.demand[b]+0.5*sim.demand[a], 0.5*sim.demand[a]
		sim.run(length)
	}},
}

// simulateFaults lets the account turn hot, and then injects random faults of the given
// kinds one after another.
func simulateFaults(d deployment, kinds []fault, seed uint64) *simulation {
	sim := d.newSimulation(seed)
	r := rand.New(rand.NewPCG(seed, 7))
	sim.demand = []float64{0.2 * d.rate, 0.15 * d.rate, 0.15 * d.rate}
	sim.run(time.Duration(1+r.IntN(8)) * time.Second)
	third := d.rateFactor * d.rate / regions
	sim.demand = []float64{third, third, third}
	sim.run(time.Duration(r.IntN(600)) * time.Millisecond)
	for range 8 {
		kinds[r.IntN(len(kinds))].inject(sim, r, time.Duration(300+r.IntN(2700))*time.Millisecond)
	}
	return sim
}

// defaultRuns is the number of runs per fault if LINENSCALE_SEEDS is not set. Accounts
// counted in tokens, whose deployments are larger, get a fifth of the runs.
const defaultRuns = 10

// checkLimit simulates many runs and checks that no window exceeds the limit.
func checkLimit(t *testing.T, d deployment, kinds []fault) {
	t.Helper()
	seeds, err := strconv.Atoi(cmp.Or(os.Getenv("LINENSCALE_SEEDS"), strconv.Itoa(defaultRuns)))
	must.NoError(t, err)
	if d.unit == catalog.UnitTokens {
		seeds /= 5
	}
	worst, admitted := 0.0, 0.0
	for seed := range uint64(seeds) {
		sim := simulateFaults(d, kinds, seed)
		admitted += sim.admitted / float64(seeds)
		worst = max(worst, sim.fullestWindow())
		must.LessEq(t, 1, sim.fullestWindow(), must.Sprint("seed ", seed, ": ", sim))
	}
	t.Logf("fullest window %.3f of the limit, %.0f units admitted on average", worst, admitted)
}

// TestAnAccountInUseThatTurnsHotIsHeld guards against a surge that isn't bounded because
// other gateways have already reported some use of the account.
func TestAnAccountInUseThatTurnsHotIsHeld(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) { checkLimit(t, d, faults[:1]) })
	}
}

// TestAnIsolatedGatewayHoldsAHotAccount guards against gateways that use what others have
// left while no reports are exchanged.
func TestAnIsolatedGatewayHoldsAHotAccount(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) { checkLimit(t, d, faults[1:2]) })
	}
}

// TestFaultsHoldAnAccount guards against exceeding an account's limit while reports are
// late or lost, or after a restart loses them.
func TestFaultsHoldAnAccount(t *testing.T) {
	for _, d := range deployments {
		for _, f := range faults[2:] {
			t.Run(d.name+" "+f.name, func(t *testing.T) { checkLimit(t, d, []fault{f}) })
		}
		t.Run(d.name+" mixed", func(t *testing.T) { checkLimit(t, d, faults) })
	}
}

// TestFaultsBeforeAnAccountIsHotHoldIt guards against gateways that become unreachable in
// the one or two seconds between the start of a surge and the time when the account
// counts as hot.
func TestFaultsBeforeAnAccountIsHotHoldIt(t *testing.T) {
	for _, test := range []struct {
		d    deployment
		seed uint64
	}{{deployments[0], 115}, {deployments[1], 150}} {
		sim := simulateFaults(test.d, faults, test.seed)
		must.LessEq(t, 1, sim.fullestWindow(), must.Sprint(test.d.name, " seed ", test.seed, ": ", sim))
	}
}
