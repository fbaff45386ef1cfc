// This file keeps the known engines on disk across restarts.

package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/telemetry"
)

// Engines are soft state that heartbeats rebuild. But after all control hosts have been
// lost at once, heartbeats take seconds to arrive, and until then gateways would know no
// engines. So each control host periodically saves the engines it knows to disk. A saved
// copy may be stale or lost: an engine that has stopped meanwhile times out like any
// other, and one that has changed sends a heartbeat with a higher sequence number.
const (
	savedEnginesName = "engines"
	// saveInterval is the minimum time between two saves.
	saveInterval = 500 * time.Millisecond
	// savePause is, as a multiple of the time that a save took, how long the next one waits.
	// Encoding thousands of engines takes tens of milliseconds, and among as many something
	// changes all the time.
	savePause = 50
)

// restoreEngines adds the engines saved before the restart to the registry.
func (c *Controller) restoreEngines(folder disk.Folder) {
	pair, data := disk.OpenDualFile(folder, savedEnginesName)
	c.savedEngines = pair
	if data == nil {
		return
	}
	var saved []follow.EngineUpdate
	if err := ledger.DecodeCompressed(data, &saved); err != nil {
		c.Log.Warn("saved engines are unreadable, starting without them", telemetry.ErrorField(err))
		return
	}
	engines := make([]registry.Engine, len(saved))
	for i, update := range saved {
		engines[i] = update.ToEngine(c.Clock())
	}
	c.engines.Restore(engines)
	c.Log.Info("saved engines restored", zap.Int("engines", len(engines)))
}

// saveEngines saves the engines whenever they have changed, until ctx ends.
func (c *Controller) saveEngines(ctx context.Context) error {
	saved := uint64(0)
	for {
		changed := c.engines.Changed()
		pause := saveInterval
		if number := c.engines.LastChange(); number != saved {
			saved = number
			started := c.SteadyClock()
			c.saveOnce()
			pause = max(pause, savePause*(c.SteadyClock()-started))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (c *Controller) saveOnce() {
	data, err := ledger.EncodeCompressed(follow.NewEngineUpdates(c.engines.All(), c.Clock()))
	if err == nil {
		err = c.savedEngines.Write(data)
	}
	if err != nil {
		c.Log.Warn("saving engines failed", telemetry.ErrorField(err))
	}
}
