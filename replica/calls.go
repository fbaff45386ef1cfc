// This file defines what others may ask of a replica, from any goroutine.

package replica

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/raft"
)

// Status gives the state of the replica as of its last turn.
func (r *Replica) Status() raft.Status { return *r.status.Load() }

// Deliver takes a message; it is dropped where the ring is full, as a network
// may do.
func (r *Replica) Deliver(e raft.Envelope) {
	select {
	case r.inputs <- receivedMessage{e}:
	default:
	}
}

// Propose proposes a command and waits until it has been applied here. Of the
// errors, ErrNotLeader, ErrBusy and ErrReplaced say that it was not and will
// not be applied; after any other it may be.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	return r.submit(ctx, proposal{data: data, done: make(chan proposalResult, 1)})
}

// ProposeJSON is Propose for a command that is written as JSON.
func (r *Replica) ProposeJSON(ctx context.Context, command any) (any, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return nil, errors.Annotate(err, "command")
	}
	return r.Propose(ctx, data)
}

// ProposeMembers proposes a change of members and waits until it is committed.
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
		return result.result, result.err
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	case <-r.stopped:
		return nil, ErrStopped
	}
}

// Read waits until the state machine holds everything that was committed when
// Read was called.
func (r *Replica) Read(ctx context.Context) error {
	request := readRequest{make(chan error, 1)}
	select {
	case r.inputs <- request:
	case <-r.stopped:
		return ErrStopped
	default:
		return ErrBusy
	}
	select {
	case err := <-request.done:
		return err
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-r.stopped:
		return ErrStopped
	}
}

// Transfer asks another voter to lead, before a planned stop.
func (r *Replica) Transfer(to raft.ID) {
	select {
	case r.inputs <- transferRequest{to}:
	default:
	}
}

// Inspect runs do in the replica's goroutine, where the machine may be read.
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
