package ingress_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/platform/platformtest"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/roster"
)

// simulatedRegion is three gateways of one region that exchange reports, and engines that
// signal limits and backoff in their answers, with a simulated clock.
type simulatedRegion struct {
	elapsedNanos atomic.Int64 // since start
	start        time.Time
	gateways     []*gateway
	engines      []*platformtest.Engine
	arrivals     map[*platformtest.Engine][]arrival
	requests     int
}

func newSimulatedRegion(t *testing.T, engines int) *simulatedRegion {
	t.Helper()
	r := &simulatedRegion{start: time.Now(), arrivals: make(map[*platformtest.Engine][]arrival)}
	var hosts []roster.Host
	for i := range 3 {
		g := newGatewayAt(t, fmt.Sprint("g", i), "lagos", r.clock)
		r.gateways = append(r.gateways, g)
		hosts = append(hosts, roster.Host{Name: g.server.Self.Name, Role: roster.RoleGateway, Region: "lagos", Peer: g.server.Self.Name})
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	for range engines {
		e, err := platformtest.StartEngine(ctx, group, "127.0.0.1:0", platformtest.EngineOptions{Service: "model", DataCentre: "a", Events: 1})
		must.NoError(t, err)
		r.engines = append(r.engines, e)
	}
	for _, g := range r.gateways {
		g.peers = hosts
		g.declare()
		for _, e := range r.engines {
			g.engines.Heartbeat(registry.Engine{ID: e.ID, Service: "model", Address: e.Address(), DataCentre: "a", Slots: 8, Sequence: 1})
		}
		g.server.Dispatcher.Tick()
	}
	return r
}

func (r *simulatedRegion) elapsed() time.Duration { return time.Duration(r.elapsedNanos.Load()) }
func (r *simulatedRegion) clock() time.Time       { return r.start.Add(r.elapsed()) }

// run advances the clock by duration and meanwhile sends perSecond requests a second,
// to each gateway in turn. It returns how many were served.
func (r *simulatedRegion) run(t *testing.T, duration time.Duration, perSecond float64) (served int) {
	t.Helper()
	step := time.Duration(float64(time.Second) / perSecond)
	lastExchange := r.elapsed()
	for until := r.elapsed() + duration; r.elapsed() < until; {
		r.elapsedNanos.Add(int64(step))
		if r.elapsed()-lastExchange >= rollup.ReportInterval {
			lastExchange = r.elapsed()
			r.exchangeReports()
		}
		r.requests++
		g := r.gateways[r.requests%len(r.gateways)]
		if do(t, g, platformtest.Request{Path: "/chat/1", IsPrompt: true, Body: fmt.Sprint(r.requests), Deadline: 5 * time.Second}).Status == http.StatusOK {
			served++
		}
		for _, e := range r.engines {
			for len(r.arrivals[e]) < len(e.Arrivals()) {
				r.arrivals[e] = append(r.arrivals[e], arrival{r.elapsed(), g})
			}
		}
	}
	return served
}

// exchangeReports lets every gateway send its reports to the others once.
func (r *simulatedRegion) exchangeReports() {
	for _, g := range r.gateways {
		g.server.Dispatcher.Tick()
		for _, out := range g.server.Dispatcher.Outgoing() {
			for _, to := range r.gateways {
				if to != g {
					to.server.Dispatcher.Receive(out.Message)
				}
			}
		}
	}
}

// arrival is one request that reached an engine.
type arrival struct {
	at   time.Duration // since the start
	from *gateway
}
