// This file runs this host's replica of its region's key log: the replicated log of
// idempotency keys.

package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/keyhome"
	"github.com/linenscale/linenscale/once"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/voters"
)

// maxKeyVoters bounds the hosts of a region that vote in its key log.
const maxKeyVoters = 3

// keyLogName is the key log's name, and its folder below a host's data folder.
const keyLogName = "keys"

// keyService is the net/rpc service "Keys". Until the replica is open, it reports that
// this host doesn't lead.
type keyService struct {
	ctx     context.Context // net/rpc passes no context to methods
	replica atomic.Pointer[keyhome.Replica]
	id      atomic.Pointer[raft.ID]
}

// keyCommandTimeout bounds the execution of one command.
const keyCommandTimeout = 2 * time.Second

// Do executes a command if this host leads the key log; otherwise the reply says that
// it doesn't.
func (k *keyService) Do(c once.Command, reply *keyhome.Reply) error {
	replica := k.replica.Load()
	if replica == nil {
		*reply = keyhome.Reply{NotLead: true}
		return nil
	}
	ctx, cancel := context.WithTimeout(k.ctx, keyCommandTimeout)
	defer cancel()
	result, err := replica.Propose(ctx, c)
	*reply = result
	return err
}

// Empty is the reply of a call that returns no data.
type Empty struct{}

// Deliver passes raft messages to this host's replica. It drops them while the replica
// isn't open.
func (k *keyService) Deliver(envelopes []raft.Envelope, _ *Empty) error {
	if replica := k.replica.Load(); replica != nil {
		for _, e := range envelopes {
			replica.Deliver(e)
		}
	}
	return nil
}

// replicaStatus returns the replica's identity, raft.None while it isn't open, and
// whether it leads.
func (k *keyService) replicaStatus() (raft.ID, bool) {
	replica, id := k.replica.Load(), k.id.Load()
	if replica == nil || id == nil {
		return raft.None, false
	}
	return *id, replica.Status().Role == raft.Leader
}

// keyVoters returns the hosts that form a region's key log, hosts with disks first.
func keyVoters(s settings.Settings, region string) []settings.Host {
	var out []settings.Host
	for _, withDisk := range []bool{true, false} {
		for _, h := range s.Hosts {
			if h.Region == region && h.Disk == withDisk && len(out) < maxKeyVoters {
				out = append(out, h)
			}
		}
	}
	return out
}

// runKeyLog opens this host's replica of the key log and runs it until ctx ends.
func (d *process) runKeyLog(ctx context.Context) error {
	folder, err := d.openFolder(keyLogName)
	if err != nil {
		return errors.Trace(err)
	}
	initialVoters := keyVoters(d.settings, d.host.Region)
	b := &bootstrapper{logName: keyLogName, host: d.host, initialVoters: initialVoters, folder: folder, calls: d.shortCalls, log: d.log}
	id, err := b.resolveIdentity(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	replica, err := keyhome.Open(keyhome.Options{
		ID: id, Folder: folder, Send: d.sendFunc(d.keySender), VoterCandidates: d.keySpares,
		TargetVoters: len(initialVoters), Log: d.log, Seed: d.seed + 1,
	})
	if err != nil {
		return errors.Trace(err)
	}
	d.formation.register(keyLogName, func() uint64 { return replica.Status().Commit })
	d.keys.id.Store(&id)
	d.keys.replica.Store(replica)
	d.log.Info("key log opened", zap.String("identity", string(id)), zap.Bool("disk", d.host.Disk))
	return replica.Run(ctx)
}

func (d *process) keySpares() []voters.Candidate { return d.agent.KeyVoterCandidates() }

// openFolder opens the data folder of a log. A host without a disk gets a folder in
// memory.
func (d *process) openFolder(logName string) (disk.Folder, error) {
	path := d.settings.DataDir(d.host)
	if path == "" {
		return disk.NewMemory(), nil
	}
	if _, err := disk.OpenDir(path); err != nil {
		return nil, errors.Trace(err)
	}
	return disk.OpenDir(path + "/" + logName)
}
