// Package daemon joins the parts of one linenscaled process and runs them
// until its context ends. Each duty runs in a goroutine of one group; if one
// fails, all end.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/gateway"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/probe"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/route"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/telemetry"
)

// fleetInterval is how often the fleet looks at its queues and its health.
const fleetInterval = 100 * time.Millisecond

// Run runs the process of one host until ctx ends.
func Run(ctx context.Context, s settings.Settings, name string, log *zap.Logger) error {
	host, err := s.Host(name)
	if err != nil {
		return errors.Trace(err)
	}
	log = log.With(zap.String("host", host.Name))
	config, err := declare.LoadConfig(s.DeclarationsDir(), s.Objects()...)
	if err != nil {
		return errors.Annotate(err, "declarations")
	}
	rules, err := permit.New(config)
	if err != nil {
		return errors.Trace(err)
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return errors.Trace(err)
	}
	f := fleet.New(host.Region, time.Now, route.PrefixBounded{}, rand.Uint64())
	f.Apply(config)
	fixed := &static{host: host, config: config, guard: permit.Guard{Current: rules}, fleet: f}
	dialer := newDialer(host)
	client := relay.New(dialer, s.Limits.RequestTime)
	defer client.Close()
	server := gateway.New(gateway.Deps{
		Host: host, Limits: s.Limits, Authority: fixed, Peers: fixed, Keys: fixed, Fleet: f,
		Engines: client, Away: client, Log: log, Metrics: metrics, Random: rand.Uint64,
	})
	callers, err := net.Listen("tcp", host.Callers)
	if err != nil {
		return errors.Annotate(err, "callers")
	}
	handover, err := net.Listen("tcp", host.Handover)
	if err != nil {
		return errors.Annotate(err, "handover")
	}
	log.Info("started", zap.String("callers", host.Callers), zap.String("region", host.Region), zap.Uint64("revision", config.Revision()))
	group := pool.New().WithContext(ctx).WithCancelOnError()
	group.Go(func(ctx context.Context) error { return server.Run(ctx, callers, handover) })
	group.Go(func(ctx context.Context) error { return tick(ctx, f) })
	prober := probe.New(f, probeTransport(dialer), s.Platform, log)
	group.Go(prober.Run)
	return group.Wait()
}

func tick(ctx context.Context, f *fleet.Fleet) error {
	ticker := time.NewTicker(fleetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f.Tick()
		}
	}
}
