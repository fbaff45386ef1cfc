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

// regionWorld is three gateways of one region that tell each other what they know, before
// engines that say in their answers what they want, in a time of its own.
type regionWorld struct {
	now      atomic.Int64 // nanoseconds since the start
	start    time.Time
	gateways []*gateway
	engines  []*platformtest.Engine
	arrivals map[*platformtest.Engine][]arrival
	sent     int
}

func newRegionWorld(t *testing.T, engines int) *regionWorld {
	t.Helper()
	w := &regionWorld{start: time.Now(), arrivals: make(map[*platformtest.Engine][]arrival)}
	var hosts []roster.Host
	for i := range 3 {
		g := newGatewayAt(t, fmt.Sprint("g", i), "lagos", w.clock)
		w.gateways = append(w.gateways, g)
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
		w.engines = append(w.engines, e)
	}
	for _, g := range w.gateways {
		g.peers = hosts
		g.declare()
		for _, e := range w.engines {
			g.engines.Beat(registry.Engine{ID: e.ID, Service: "model", Address: e.Address(), DataCentre: "a", Slots: 8, Sequence: 1})
		}
		g.server.Dispatcher.Tick()
	}
	return w
}

func (w *regionWorld) since() time.Duration { return time.Duration(w.now.Load()) }
func (w *regionWorld) clock() time.Time     { return w.start.Add(w.since()) }

// run lets that much time pass, with so many requests a second at the gateways in turn. It
// gives how many were served.
func (w *regionWorld) run(t *testing.T, length time.Duration, perSecond float64) (served int) {
	t.Helper()
	step := time.Duration(float64(time.Second) / perSecond)
	told := w.since()
	for until := w.since() + length; w.since() < until; {
		w.now.Add(int64(step))
		if w.since()-told >= rollup.Every {
			told = w.since()
			w.exchange()
		}
		w.sent++
		g := w.gateways[w.sent%len(w.gateways)]
		if do(t, g, platformtest.Request{Path: "/chat/1", Model: true, Body: fmt.Sprint(w.sent), Deadline: 5 * time.Second}).Status == http.StatusOK {
			served++
		}
		for _, e := range w.engines {
			for len(w.arrivals[e]) < len(e.Arrivals()) {
				w.arrivals[e] = append(w.arrivals[e], arrival{w.since(), g})
			}
		}
	}
	return served
}

// exchange lets every gateway tell the others once.
func (w *regionWorld) exchange() {
	for _, g := range w.gateways {
		g.server.Dispatcher.Tick()
		for _, out := range g.server.Dispatcher.Tell() {
			for _, to := range w.gateways {
				if to != g {
					to.server.Dispatcher.Hear(out.Message)
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
