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
	case r.ring <- arrived{e}:
	default:
	}
}

// Propose proposes a command and waits until it has been applied here. Of the
// errors, ErrNotLeader, ErrBusy and ErrReplaced say that it was not and will
// not be applied; after any other it may be.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	return r.submit(ctx, proposal{data: data, done: make(chan outcome, 1)})
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
	_, err := r.submit(ctx, proposal{members: &members, done: make(chan outcome, 1)})
	return err
}

func (r *Replica) submit(ctx context.Context, p proposal) (any, error) {
	select {
	case r.ring <- p:
	case <-r.ended:
		return nil, ErrStopped
	default:
		return nil, ErrBusy
	}
	select {
	case out := <-p.done:
		return out.result, out.err
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	case <-r.ended:
		return nil, ErrStopped
	}
}

// Read waits until the state machine holds everything that was committed when
// Read was called.
func (r *Replica) Read(ctx context.Context) error {
	ask := readAsk{make(chan error, 1)}
	select {
	case r.ring <- ask:
	case <-r.ended:
		return ErrStopped
	default:
		return ErrBusy
	}
	select {
	case err := <-ask.done:
		return err
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-r.ended:
		return ErrStopped
	}
}

// Transfer asks another voter to lead, before a planned stop.
func (r *Replica) Transfer(to raft.ID) {
	select {
	case r.ring <- transfer{to}:
	default:
	}
}

// Inspect runs do in the replica's goroutine, where the machine may be read.
func (r *Replica) Inspect(ctx context.Context, do func()) error {
	in := inspect{do, make(chan struct{})}
	select {
	case r.ring <- in:
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-r.ended:
		return ErrStopped
	}
	select {
	case <-in.done:
		return nil
	case <-r.ended:
		return ErrStopped
	}
}
