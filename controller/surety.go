// This file defines how a control host knows up to when its state of the ledger holds.

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
	// sureEvery is how often a control host makes sure of its state. With a question
	// that is held for 0.5 s, a gateway's state is sure to hold up to 1.2 s before at
	// most, which leaves 3 s of a bound of five for the loss of a leader (2.3 s).
	sureEvery = 400 * time.Millisecond
	// surePause is the wait after a failure: leaders are found within a second or two.
	surePause = 100 * time.Millisecond
)

// surety holds the newest confirmation.
type surety struct{ newest atomic.Pointer[confirmed] }

// confirmed says that the state of an index held everything accepted by a time of the
// steady clock.
type confirmed struct {
	index uint64
	at    time.Duration
}

// keepSure is the duty that asks the leader again and again whether this host's state
// is the newest. Where keys needn't be revoked in time, nobody asks.
func (c *Controller) keepSure(ctx context.Context) error {
	if !c.Strict {
		return nil
	}
	failing := false
	for ctx.Err() == nil {
		err := c.makeSure(ctx)
		if failed := err != nil; failed != failing {
			failing = failed
			c.Log.Info("sure of the ledger", zap.Bool("sure", !failed), telemetry.Cause(err))
		}
		pause := sureEvery
		if err != nil {
			pause = surePause
		}
		duty.Pause(ctx, pause)
	}
	return nil
}

// makeSure confirms this host's state with a majority of the voters.
func (c *Controller) makeSure(ctx context.Context) error {
	asked := c.Steady()
	if err := c.confirm(ctx); err != nil {
		return err
	}
	first := c.sure.newest.Swap(&confirmed{c.machine.State().Index, asked}) == nil
	if first {
		c.announce()
	}
	return nil
}

// tell gives what the newest confirmation says in terms that hold on any host. received
// is when the question came in.
func (s *surety) tell(received, now time.Duration) follow.Surety {
	newest := s.newest.Load()
	if newest == nil {
		return follow.Surety{}
	}
	return follow.Surety{Known: true, Index: newest.index, Age: now - newest.at, Held: now - received}
}
