// This file defines how a control host remembers engines over a restart.

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

// Engines are soft state: their heartbeats tell all there is. But after the loss
// of all control hosts at once, heartbeats take seconds to come in, and until
// then gateways would know no engines. So each control host notes on disk, after
// the fact, which engines it knows. A note may be old or lost: an engine that has
// ended since falls silent like any other, and one that has changed says so with
// its next heartbeat, whose sequence is higher.
const (
	noteName = "engines"
	// notePause bounds how often the engines are noted.
	notePause = 500 * time.Millisecond
)

// recallEngines takes the engines that were noted before the start into the
// registry.
func (c *Controller) recallEngines(folder disk.Folder) {
	pair, data := disk.OpenPair(folder, noteName)
	c.notes = pair
	if data == nil {
		return
	}
	var noted []follow.EngineNews
	if err := ledger.Unpack(data, &noted); err != nil {
		c.Log.Warn("noted engines can't be read", telemetry.Cause(err))
		return
	}
	engines := make([]registry.Engine, len(noted))
	for i, n := range noted {
		engines[i] = n.Local(c.Clock())
	}
	c.engines.Recall(engines)
	c.Log.Info("engines recalled", zap.Int("engines", len(engines)))
}

// noteEngines is the duty that notes the engines when they have changed.
func (c *Controller) noteEngines(ctx context.Context) error {
	noted := uint64(0)
	for {
		changed := c.engines.Changed()
		if number := c.engines.Number(); number != noted {
			noted = number
			c.noteOnce()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(notePause):
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (c *Controller) noteOnce() {
	data, err := ledger.Pack(follow.NewsOf(c.engines.All(), c.Clock()))
	if err == nil {
		err = c.notes.Write(data)
	}
	if err != nil {
		c.Log.Warn("engines not noted", telemetry.Cause(err))
	}
}
