// This file handles heartbeats and departures of engines.

package controller

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/internal/rendezvous"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/telemetry"
)

// Heartbeat records an engine's heartbeat. If the engine drains, it returns once the gateways
// concerned have acknowledged that. closer is the address of a closer control host for
// later heartbeats, or "".
func (c *Controller) Heartbeat(ctx context.Context, e registry.Engine) (closer string) {
	if c.engines.Heartbeat(e) {
		c.Log.Info("engine", zap.String("engine", e.ID), zap.String("service", e.Service), zap.String("address", e.Address),
			zap.String("data_centre", e.DataCentre), zap.Stringer("phase", e.Phase), zap.Int64("born", e.Born), zap.Int64("sequence", e.Sequence), zap.Duration("cold_for", max(0, e.ColdUntil.Sub(c.Clock()))))
	}
	if e.Phase == registry.Draining {
		c.awaitAcknowledgements(ctx, e.ID, e.DataCentre)
	}
	return c.closerControlHost(e.ID, e.DataCentre)
}

// MarkLeft records that an engine has left, and returns once the gateways have acknowledged
// it. born is the start time of the engine's incarnation, or 0 if the engine didn't state it.
func (c *Controller) MarkLeft(ctx context.Context, id string, born int64) {
	c.engines.MarkLeft(id, born)
	e, _ := c.engines.Get(id)
	c.Log.Info("engine left", zap.String("engine", id), zap.String("service", e.Service), zap.String("address", e.Address))
	c.awaitAcknowledgements(ctx, id, e.DataCentre)
}

// awaitAcknowledgements waits until the connected gateways in the data centre's region
// have acknowledged that an engine drains or has left, or until the time limit for that
// has passed. Other control hosts of the region inform the gateways that follow them.
func (c *Controller) awaitAcknowledgements(ctx context.Context, engine, dataCentre string) {
	group := pool.New()
	defer group.Wait()
	group.Go(func() { c.awaitLocalAcknowledgements(ctx, engine, dataCentre) })
	for _, h := range c.roster.Hosts(roster.RoleControl) {
		if h.Region == c.Regions[dataCentre] && h.Name != c.Self.Name && !h.Stopping {
			group.Go(func() { c.forwardToControlHost(ctx, h, engine) })
		}
	}
}

// forwardToControlHost has another control host inform the gateways that follow it.
func (c *Controller) forwardToControlHost(ctx context.Context, host roster.Host, engine string) {
	e, ok := c.engines.Get(engine)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.DrainTimeout)
	defer cancel()
	args := follow.TellArgs{Engine: follow.NewEngineUpdates([]registry.Engine{e}, c.Clock())[0]}
	if err := c.Commands.Call(ctx, host.Peer, follow.Service+".Tell", args, &follow.Empty{}); err != nil {
		c.Log.Warn("engine answered before all gateways acknowledged its state", zap.String("engine", engine), zap.String("through", host.Name), telemetry.ErrorField(err))
		return
	}
	c.Log.Info("gateways of another control host acknowledged the engine's state", zap.String("engine", engine), zap.String("through", host.Name))
}

// awaitLocalAcknowledgements is awaitAcknowledgements for the gateways that follow this
// host.
func (c *Controller) awaitLocalAcknowledgements(ctx context.Context, engine, dataCentre string) {
	number := c.engines.LastChange()
	started := c.Clock()
	deadline := started.Add(c.DrainTimeout)
	unacknowledged := c.unacknowledged(number, c.Regions[dataCentre])
	for ctx.Err() == nil && c.Clock().Before(deadline) && len(unacknowledged) > 0 {
		duty.Pause(ctx, 5*time.Millisecond)
		unacknowledged = c.unacknowledged(number, c.Regions[dataCentre])
	}
	fields := []zap.Field{zap.String("engine", engine), zap.Uint64("number", number), zap.Duration("waited", c.Clock().Sub(started))}
	if len(unacknowledged) > 0 {
		c.Log.Warn("engine answered before all gateways acknowledged its state", append(fields, zap.Int("gateways", len(unacknowledged)), zap.String("one", unacknowledged[0]))...)
		return
	}
	c.Log.Info("gateways that follow this host acknowledged the engine's state", fields...)
}

// unacknowledged lists the connected gateways of the region (of all regions if it is "")
// that haven't acknowledged the changes up to number.
func (c *Controller) unacknowledged(number uint64, region string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock()
	var out []string
	for name, a := range c.acknowledged {
		if now.Before(a.expires) && a.number < number && (region == "" || a.region == region) {
			out = append(out, name)
		}
	}
	return out
}

// closerControlHost returns the operators' address of a control host closer to an engine
// than this one: in its data centre, else in its region; "" if there is none. Of several it
// is the one ranked first for the engine, so that each has an equal part of the engines.
// Without it, the heartbeats of 3,000 engines were a quarter of the traffic between data
// centres.
func (c *Controller) closerControlHost(engine, dataCentre string) string {
	region := c.Regions[dataCentre]
	if region == "" || dataCentre == c.Self.DataCentre {
		return ""
	}
	return CloserControlHost(c.roster.Hosts(roster.RoleControl), engine, region, dataCentre, region == c.Self.Region)
}

// CloserControlHost returns the operators' address of the control host ranked first for an
// engine, of those in its data centre, or else of those in its region; "" if there is none.
// With onlyDataCentre the region's others don't count.
func CloserControlHost(hosts []roster.Host, engine, region, dataCentre string, onlyDataCentre bool) string {
	var closest roster.Host
	var highest uint64
	for _, h := range hosts {
		if h.Stopping || h.Region != region || (onlyDataCentre && h.DataCentre != dataCentre) {
			continue
		}
		closer := h.DataCentre == dataCentre && closest.DataCentre != dataCentre
		farther := h.DataCentre != dataCentre && closest.DataCentre == dataCentre
		rank := rendezvous.Rank(xxhash.Sum64String(engine), xxhash.Sum64String(h.Name))
		if closer || (!farther && (closest.Name == "" || rank > highest)) {
			closest, highest = h, rank
		}
	}
	return closest.Operators
}
