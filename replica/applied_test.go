package replica_test

import (
	"context"
	"encoding/binary"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/replica"
)

// slowMachine is a state machine that takes long to write a snapshot and to restore one. Its state
// is the index of the last command, which Apply returns.
type slowMachine struct {
	index     atomic.Uint64
	snapshots time.Duration // that writing a snapshot takes
	restores  time.Duration // that restoring one takes
}

func (m *slowMachine) Apply(index uint64, _ []byte) any {
	m.index.Store(index)
	return index
}

func (m *slowMachine) Snapshot() ([]byte, error) {
	time.Sleep(m.snapshots)
	return binary.LittleEndian.AppendUint64(nil, m.index.Load()), nil
}

func (m *slowMachine) Restore(data []byte) error {
	time.Sleep(m.restores)
	m.index.Store(binary.LittleEndian.Uint64(data))
	return nil
}

// newSlowCluster returns a cluster of slow machines, and the machines in the order of the replicas.
func newSlowCluster(t *testing.T, snapshotEvery uint64, snapshots, restores time.Duration) (*cluster, []*slowMachine) {
	t.Helper()
	var machines []*slowMachine
	c := newClusterOf(t, func(raft.Envelope) {}, snapshotEvery, func() replica.Machine {
		machines = append(machines, &slowMachine{snapshots: snapshots, restores: restores})
		return machines[len(machines)-1]
	})
	return c, machines
}

// propose proposes a command and returns its index, 0 if it wasn't applied.
func propose(r *replica.Replica) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	result, err := r.Propose(ctx, []byte("x"))
	if err != nil {
		return 0
	}
	return result.(uint64)
}

// TestAppliedIndexIsInTheState guards against a replica that states commands as applied while it
// still restores the snapshot that contains them.
func TestAppliedIndexIsInTheState(t *testing.T) {
	c, machines := newSlowCluster(t, 10, 0, 150*time.Millisecond)
	away := (c.waitForLeader(t) + 1) % 3
	c.isolated.Store(int64(away))
	var commands []uint64 // their indexes; other entries change no state
	for range 30 {
		eventually(t, "command", func() bool {
			index := propose(c.replicas[c.waitForLeader(t)])
			if index > 0 {
				commands = append(commands, index)
			}
			return index > 0
		})
	}
	c.isolated.Store(-1)
	eventually(t, "the replica is up to date", func() bool {
		for range 1000 {
			applied := c.replicas[away].Status().Applied
			index := machines[away].index.Load()
			for _, command := range commands {
				must.True(t, command > applied || command <= index, must.Sprintf("index %d is stated as applied, the state is that of %d", applied, index))
			}
		}
		return machines[away].index.Load() >= commands[len(commands)-1]
	})
}
