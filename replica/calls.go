// This file defines the methods of a replica that any goroutine may call.

package replica

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/raft"
)

// Status returns the state of the replica at the end of its last loop iteration.
func (r *Replica) Status() raft.Status { return *r.status.Load() }

// Deliver queues a message from another replica. It drops the message if the queue is full;
// the algorithm tolerates lost messages.
func (r *Replica) Deliver(e raft.Envelope) {
	select {
	case r.inputs <- receivedMessage{e}:
	default:
	}
}

// Propose proposes a command, waits until this replica has applied it, and returns the state
// machine's result. After ErrNotLeader, ErrBusy and ErrReplaced the command was not and will
// not be applied; after any other error its outcome is unknown.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	return r.submit(ctx, proposal{data: data, done: make(chan proposalResult, 1)})
}

// ProposeJSON encodes a command as JSON and proposes it as Propose does.
func (r *Replica) ProposeJSON(ctx context.Context, command any) (any, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return nil, errors.Annotate(err, "command")
	}
	return r.Propose(ctx, data)
}

// ProposeMembers proposes a membership change and waits until it is committed. It returns
// raft.ErrMembershipChangeRejected if the change can't be made now.
func (r *Replica) ProposeMembers(ctx context.Context, members raft.Membership) error {
	_, err := r.submit(ctx, proposal{members: &members, done: make(chan proposalResult, 1)})
	return err
}

func (r *Replica) submit(ctx context.Context, p proposal) (any, error) {
	select {
	case r.inputs <- p:
	case <-r.stopped:
		return nil, ErrStopped
	default:
		return nil, ErrBusy
	}
	select {
	case result := <-p.done:
		return result.value, result.err
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	case <-r.stopped:
		return nil, ErrStopped
	}
}

// ReadBarrier waits until the state machine has applied everything that was committed at
// the time of the call, and returns an index up to which it has. What the caller then reads from
// the state machine is linearizable. Status may still state a lower index.
func (r *Replica) ReadBarrier(ctx context.Context) (uint64, error) {
	request := readRequest{make(chan readResult, 1)}
	select {
	case r.inputs <- request:
	case <-r.stopped:
		return 0, ErrStopped
	default:
		return 0, ErrBusy
	}
	select {
	case result := <-request.done:
		return result.applied, result.err
	case <-ctx.Done():
		return 0, errors.Trace(ctx.Err())
	case <-r.stopped:
		return 0, ErrStopped
	}
}

// TransferLeadership hands the leadership to another voter, before a planned stop. It has
// no effect if the queue is full, this replica is not the leader, or the voter's log is not
// up to date.
func (r *Replica) TransferLeadership(to raft.ID) {
	select {
	case r.inputs <- transferRequest{to}:
	default:
	}
}

// Inspect runs fn in the replica's goroutine, where it may read the state machine.
func (r *Replica) Inspect(ctx context.Context, fn func()) error {
	request := inspectRequest{fn, make(chan struct{})}
	select {
	case r.inputs <- request:
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-r.stopped:
		return ErrStopped
	}
	select {
	case <-request.done:
		return nil
	case <-r.stopped:
		return ErrStopped
	}
}
