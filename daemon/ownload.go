// This file announces the load of this gateway relative to its capacity.

package daemon

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/entryweight"
	"github.com/linenscale/linenscale/telemetry"
)

// catalogGrace is how long after its start a gateway without a catalog counts as ready.
// Nearly all have one by then, and each change of a host is told to all others.
const catalogGrace = 2 * time.Second

// ownLoad is the level of load that this gateway announces. It is safe for concurrent use.
type ownLoad struct {
	log     *zap.Logger
	metrics *telemetry.Metrics
	clock   func() time.Time
	started time.Time

	mu    sync.Mutex
	meter entryweight.Meter
	last  entryweight.Load
}

// level returns the level after a measurement, and logs its changes.
func (o *ownLoad) level(measured entryweight.Measurement) entryweight.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	measured.Ready = measured.Ready || now.Sub(o.started) < catalogGrace
	level := o.meter.Observe(measured, now)
	if level != o.last {
		o.last = level
		o.metrics.RecordOwnLoad(int64(level))
		o.log.Info("announced load changed", zap.Stringer("load", level), zap.Duration("delay", measured.Delay), zap.Float64("buffers", measured.Buffers), zap.Bool("ready", measured.Ready))
	}
	return level
}
