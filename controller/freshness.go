// This file tracks how fresh a control host's state of the ledger is.

package controller

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/telemetry"
)

const (
	// confirmInterval is how often a control host confirms that its state is current.
	// Since a Sync call waits for up to 0.5 s, a gateway's state is known to be current
	// as of at most 1.2 s ago. If keys must be revoked within 5 s, that leaves more than
	// 3 s for the loss of a leader, which takes 2.3 s.
	confirmInterval = 400 * time.Millisecond
	// confirmRetryInterval is the wait after a failure; a new leader is found within a
	// second or two.
	confirmRetryInterval = 100 * time.Millisecond
)

// freshness holds the latest confirmation.
type freshness struct{ latest atomic.Pointer[confirmation] }

// confirmation means that the state at an index included everything accepted up to a time
// of the steady clock.
type confirmation struct {
	index uint64
	at    time.Duration
}

// confirmPeriodically confirms with the leader that this host's state is current, until
// ctx ends. It does nothing if ConfirmState is false.
func (c *Controller) confirmPeriodically(ctx context.Context) error {
	if !c.ConfirmState {
		return nil
	}
	wasFailing := false
	for ctx.Err() == nil {
		err := c.confirmOnce(ctx)
		if failed := err != nil; failed != wasFailing {
			wasFailing = failed
			c.Log.Info("ledger freshness changed", zap.Bool("sure", !failed), telemetry.ErrorField(err))
		}
		wait := confirmInterval
		if err != nil {
			wait = confirmRetryInterval
		}
		duty.Pause(ctx, wait)
	}
	return nil
}

// confirmOnce confirms this host's state with a majority of the voters.
func (c *Controller) confirmOnce(ctx context.Context) error {
	started := c.SteadyClock()
	if _, err := c.waitUntilCurrent(ctx); err != nil {
		return err
	}
	first := c.freshness.latest.Swap(&confirmation{c.machine.State().Index, started}) == nil
	if first {
		c.notifyChanged()
	}
	return nil
}

// report returns the latest confirmation with its time as durations, which are valid on
// any host. received is when the Sync call arrived.
func (f *freshness) report(received, now time.Duration) follow.Freshness {
	latest := f.latest.Load()
	if latest == nil {
		return follow.Freshness{}
	}
	return follow.Freshness{Known: true, Index: latest.index, Age: now - latest.at, Held: now - received}
}
