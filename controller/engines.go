// This file defines how engines are heard.

package controller

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/telemetry"
)

// Beat takes an engine's heartbeat. It returns once the gateways concerned
// know of an engine that drains, and gives the address of a nearer control host
// for later heartbeats, or "".
func (c *Controller) Beat(ctx context.Context, e registry.Engine) (nearer string) {
	if c.engines.Beat(e) {
		c.Log.Info("engine", zap.String("engine", e.ID), zap.String("service", e.Service), zap.String("address", e.Address),
			zap.String("data_centre", e.DataCentre), zap.Stringer("phase", e.Phase), zap.Int64("born", e.Born), zap.Int64("sequence", e.Sequence), zap.Duration("cold_for", max(0, e.ColdUntil.Sub(c.Clock()))))
	}
	if e.Phase == registry.Draining {
		c.tell(ctx, e.ID, e.DataCentre)
	}
	return c.nearer(e.DataCentre)
}

// Leave takes the goodbye of an engine that was born then, or 0 where it doesn't tell; it
// returns once the gateways know.
func (c *Controller) Leave(ctx context.Context, id string, born int64) {
	c.engines.Leave(id, born)
	e, _ := c.engines.Get(id)
	c.Log.Info("engine left", zap.String("engine", id), zap.String("service", e.Service), zap.String("address", e.Address))
	c.tell(ctx, id, e.DataCentre)
}

// tell waits until the gateways of the data centre's region that are in touch know of an
// engine's end, or Told has passed. Those that another control host tells are told by it.
func (c *Controller) tell(ctx context.Context, engine, dataCentre string) {
	group := pool.New()
	defer group.Wait()
	group.Go(func() { c.tellHere(ctx, engine, dataCentre) })
	for _, h := range c.roster.Hosts(roster.RoleControl) {
		if h.Region == c.Regions[dataCentre] && h.Name != c.Self.Name && !h.Stopping {
			group.Go(func() { c.tellThrough(ctx, h, engine) })
		}
	}
}

// tellThrough has another control host tell the gateways that follow it.
func (c *Controller) tellThrough(ctx context.Context, host roster.Host, engine string) {
	e, ok := c.engines.Get(engine)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.Told)
	defer cancel()
	args := follow.TellArgs{Engine: follow.NewsOf([]registry.Engine{e}, c.Clock())[0]}
	if err := c.Commands.Call(ctx, host.Peer, follow.Service+".Tell", args, &follow.Nothing{}); err != nil {
		c.Log.Warn("acknowledged before all gateways knew", zap.String("engine", engine), zap.String("through", host.Name), telemetry.Cause(err))
		return
	}
	c.Log.Info("gateways know", zap.String("engine", engine), zap.String("through", host.Name))
}

// tellHere is tell for the gateways that this control host tells itself.
func (c *Controller) tellHere(ctx context.Context, engine, dataCentre string) {
	number := c.engines.Number()
	began := c.Clock()
	until := began.Add(c.Told)
	untold := c.untold(number, c.Regions[dataCentre])
	for ctx.Err() == nil && c.Clock().Before(until) && len(untold) > 0 {
		duty.Pause(ctx, 5*time.Millisecond)
		untold = c.untold(number, c.Regions[dataCentre])
	}
	fields := []zap.Field{zap.String("engine", engine), zap.Uint64("number", number), zap.Duration("waited", c.Clock().Sub(began))}
	if len(untold) > 0 {
		c.Log.Warn("acknowledged before all gateways knew", append(fields, zap.Int("gateways", len(untold)), zap.String("one", untold[0]))...)
		return
	}
	c.Log.Info("gateways know", fields...)
}

// untold lists the gateways of the region, or of any if it is "", that are in touch
// and have not confirmed the changes up to number.
func (c *Controller) untold(number uint64, region string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock()
	var out []string
	for name, t := range c.told {
		if now.Before(t.until) && t.number < number && (region == "" || t.region == region) {
			out = append(out, name)
		}
	}
	return out
}

// nearer gives the operators' address of a control host nearer to an engine than this
// one: in its data centre, else in its region. Heartbeats of 3,000 engines between data
// centres were a quarter of the bytes there.
func (c *Controller) nearer(dataCentre string) string {
	region := c.Regions[dataCentre]
	if region == "" || dataCentre == c.Self.DataCentre {
		return ""
	}
	address := ""
	for _, h := range c.roster.Hosts(roster.RoleControl) {
		switch {
		case h.Stopping:
		case h.DataCentre == dataCentre:
			return h.Operators
		case h.Region == region && address == "":
			address = h.Operators
		}
	}
	if region == c.Self.Region {
		return "" // none is nearer
	}
	return address
}
