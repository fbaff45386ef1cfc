// This file defines commands and reads. Every control host accepts them and forwards them
// to the ledger's leader.

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

// Put replaces the catalog if the new version is higher than the current one; otherwise
// nothing changes. source is the declaration in the operator's format, which Read
// returns. The error is a *catalog.InvalidError or ErrUnavailable.
func (c *Controller) Put(ctx context.Context, next catalog.Catalog, source []byte) (ledger.Result, error) {
	if err := next.Check(); err != nil {
		return ledger.Result{}, err
	}
	result, err := c.submit(ctx, ledger.PutCatalog{Catalog: next, Source: source})
	c.Log.Info("catalog put", zap.Int64("version", next.Version), zap.Int("routes", len(next.Routes)), zap.Bool("changed", result.Changed), zap.Int64("held", result.Version), telemetry.ErrorField(err))
	return result, err
}

// Evacuate starts or ends the evacuation of a data centre. The error is ErrUnavailable,
// or a NotFound for an unknown data centre.
func (c *Controller) Evacuate(ctx context.Context, dataCentre string, on bool) error {
	if _, ok := c.Regions[dataCentre]; !ok {
		return errors.NotFoundf("data centre %q", dataCentre)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result, err := c.setEvacuation(ctx, ledger.SetEvacuation{DataCentre: dataCentre, On: on})
	for err == nil && result.Stale {
		result, err = c.setEvacuation(ctx, ledger.SetEvacuation{DataCentre: dataCentre, On: on})
	}
	c.Log.Info("evacuation", zap.String("data_centre", dataCentre), zap.Bool("on", on), zap.Bool("changed", result.Changed), telemetry.ErrorField(err))
	return err
}

// setEvacuation submits an order, which the leader rejects as stale if another one was
// applied after this host read the state. Otherwise an order that timed out here could
// reach the leader late and undo a newer one.
func (c *Controller) setEvacuation(ctx context.Context, order ledger.SetEvacuation) (ledger.Result, error) {
	seen, err := c.waitUntilCurrent(ctx)
	if err != nil {
		return ledger.Result{}, err
	}
	order.Seen = seen
	return c.submit(ctx, order)
}

// submit sends a command to the leader, and waits until it is applied or requestTimeout
// has passed.
func (c *Controller) submit(ctx context.Context, command ledger.Command) (ledger.Result, error) {
	data, err := ledger.EncodeCommand(command)
	if err != nil {
		return ledger.Result{}, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var result ledger.Result
	err = c.callLeader(ctx, func() error {
		result, err = c.propose(ctx, data)
		return err
	}, func(address string) error {
		return c.Commands.Call(ctx, address, follow.Service+".Propose", follow.ProposeArgs{Command: data}, &result)
	})
	return result, err
}

// callLeader calls local if this host leads, or remote with the leader's address, and
// retries until ctx ends. Applying a command a second time changes nothing, so a retry is safe.
func (c *Controller) callLeader(ctx context.Context, local func() error, remote func(address string) error) error {
	lastErr := follow.ErrNoLeader
	for ctx.Err() == nil {
		switch status := c.replica.Status(); {
		case status.Role == raft.Leader:
			lastErr = local()
		case status.Leader != raft.None:
			lastErr = remote(PeerAddress(status.Leader))
		}
		if lastErr == nil {
			return nil
		}
		duty.Pause(ctx, leaderRetryInterval)
	}
	c.Log.Warn("leader unreachable, request given up", telemetry.ErrorField(lastErr))
	return ErrUnavailable
}

// propose proposes a command to this host's replica, which must be the leader.
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
		return ledger.Result{}, errors.Errorf("ledger returned a result of unknown type %T", out)
	}
}

// Read returns the current state of the ledger, which includes every command that was
// accepted before the call. The error is ErrUnavailable, or ErrNoCatalog if there is no
// catalog.
func (c *Controller) Read(ctx context.Context) (ledger.State, error) {
	confirmed, err := c.waitUntilCurrent(ctx)
	state := c.machine.State()
	if err == nil && state.Catalog.Version == 0 {
		err = ErrNoCatalog
	}
	c.Log.Info("catalog read", zap.Int64("version", state.Catalog.Version), zap.Uint64("index", state.Index), zap.Uint64("confirmed", confirmed), zap.Uint64("applied", c.replica.Status().Applied), telemetry.ErrorField(err))
	return state, err
}

// waitUntilCurrent waits until every command that was accepted before the call has been
// applied here, and returns an index that covers them. The error is ErrUnavailable.
func (c *Controller) waitUntilCurrent(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var reply follow.ReadIndexReply
	err := c.callLeader(ctx, func() error {
		var err error
		reply.Index, err = c.readIndex(ctx)
		return err
	}, func(address string) error {
		return c.Commands.Call(ctx, address, follow.Service+".ReadIndex", follow.Empty{}, &reply)
	})
	for err == nil && c.replica.Status().Applied < reply.Index {
		duty.Pause(ctx, leaderRetryInterval/5)
		if ctx.Err() != nil {
			err = ErrUnavailable
		}
	}
	return reply.Index, err
}

// readIndex returns an index that covers every command accepted so far. This host must be
// the leader.
func (c *Controller) readIndex(ctx context.Context) (uint64, error) {
	index, err := c.replica.ReadBarrier(ctx)
	return index, errors.Trace(err)
}
