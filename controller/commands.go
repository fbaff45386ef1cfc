// This file defines commands and reads, which any control host takes and the leader of the
// ledger decides.

package controller

import (
	"context"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/telemetry"
)

// Put takes a catalog: if its version is above the one held, it holds from now
// on, else nothing changes. source is what reads give back. The error is a
// *catalog.InvalidError or ErrUnavailable.
func (c *Controller) Put(ctx context.Context, next catalog.Catalog, source []byte) (ledger.Result, error) {
	if err := next.Check(); err != nil {
		return ledger.Result{}, err
	}
	result, err := c.command(ctx, ledger.PutCatalog{Catalog: next, Source: source})
	c.Log.Info("catalog put", zap.Int64("version", next.Version), zap.Int("routes", len(next.Routes)), zap.Bool("changed", result.Changed), zap.Int64("held", result.Version), telemetry.Cause(err))
	return result, err
}

// Evacuate begins or ends the evacuation of a data centre. The error is
// ErrUnavailable, or a NotFound for a data centre that doesn't exist.
func (c *Controller) Evacuate(ctx context.Context, dataCentre string, on bool) error {
	if _, ok := c.Regions[dataCentre]; !ok {
		return errors.NotFoundf("data centre %q", dataCentre)
	}
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	result, err := c.order(ctx, ledger.SetEvacuation{DataCentre: dataCentre, On: on})
	for err == nil && result.Stale {
		result, err = c.order(ctx, ledger.SetEvacuation{DataCentre: dataCentre, On: on})
	}
	c.Log.Info("evacuation", zap.String("data_centre", dataCentre), zap.Bool("on", on), zap.Bool("changed", result.Changed), telemetry.Cause(err))
	return err
}

// order carries an order to the leader, which rejects it if another one came after this host
// looked: one that is given up here may still arrive there.
func (c *Controller) order(ctx context.Context, order ledger.SetEvacuation) (ledger.Result, error) {
	if err := c.confirm(ctx); err != nil {
		return ledger.Result{}, err
	}
	order.Seen = c.replica.Status().Applied
	return c.command(ctx, order)
}

// command carries a command to the leader until it is applied, or time is up.
func (c *Controller) command(ctx context.Context, command ledger.Command) (ledger.Result, error) {
	data, err := ledger.Encode(command)
	if err != nil {
		return ledger.Result{}, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	var result ledger.Result
	err = c.askLeader(ctx, func() error {
		result, err = c.propose(ctx, data)
		return err
	}, func(address string) error {
		return c.Commands.Call(ctx, address, follow.Service+".Propose", follow.ProposeArgs{Command: data}, &result)
	})
	return result, err
}

// askLeader asks the leader, here or elsewhere, and looks again for one until
// ctx ends. The commands may be given twice, so that nothing is lost by asking
// again.
func (c *Controller) askLeader(ctx context.Context, here func() error, there func(address string) error) error {
	cause := follow.ErrNoLeader
	for ctx.Err() == nil {
		switch status := c.replica.Status(); {
		case status.Role == raft.Leader:
			cause = here()
		case status.Leader != raft.None:
			cause = there(PeerOf(status.Leader))
		}
		if cause == nil {
			return nil
		}
		duty.Pause(ctx, leaderPause)
	}
	c.Log.Warn("leader not reached", telemetry.Cause(cause))
	return ErrUnavailable
}

// propose proposes a command to this host's replica, which must lead.
func (c *Controller) propose(ctx context.Context, data []byte) (ledger.Result, error) {
	out, err := c.replica.Propose(ctx, data)
	if err != nil {
		return ledger.Result{}, errors.Trace(err)
	}
	switch out := out.(type) {
	case ledger.Result:
		return out, nil
	case error:
		return ledger.Result{}, errors.Trace(out)
	default:
		return ledger.Result{}, errors.Errorf("result of type %T", out)
	}
}

// Read gives the newest state: every command that was accepted before the call
// is in it. The error is ErrUnavailable, or ErrEmpty where no catalog holds.
func (c *Controller) Read(ctx context.Context) (ledger.State, error) {
	err := c.confirm(ctx)
	state := c.machine.State()
	if err == nil && state.Catalog.Version == 0 {
		err = ErrEmpty
	}
	c.Log.Info("catalog read", zap.Int64("version", state.Catalog.Version), zap.Uint64("index", state.Index), telemetry.Cause(err))
	return state, err
}

// confirm waits until everything that was accepted before the call has been applied
// here. The error is ErrUnavailable.
func (c *Controller) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	var reply follow.ReadReply
	err := c.askLeader(ctx, func() error {
		var err error
		reply.Index, err = c.readIndex(ctx)
		return err
	}, func(address string) error {
		return c.Commands.Call(ctx, address, follow.Service+".ReadIndex", follow.Nothing{}, &reply)
	})
	for err == nil && c.replica.Status().Applied < reply.Index {
		duty.Pause(ctx, leaderPause/5)
		if ctx.Err() != nil {
			err = ErrUnavailable
		}
	}
	return err
}

// readIndex gives an index up to which everything accepted so far reaches.
func (c *Controller) readIndex(ctx context.Context) (uint64, error) {
	if err := c.replica.Read(ctx); err != nil {
		return 0, errors.Trace(err)
	}
	return c.replica.Status().Applied, nil
}
