// This file defines the duty that runs this host's part of its region's log of
// keys.

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

// maxKeyVoters is how many hosts of a region vote in its log of keys.
const maxKeyVoters = 3

// keysGroup names the log of keys.
const keysGroup = "keys"

// keyService answers as "Keys" of net/rpc. Until the replica is open, it leads
// nothing.
type keyService struct {
	ctx  context.Context // net/rpc gives its methods none
	home atomic.Pointer[keyhome.Replica]
	id   atomic.Pointer[raft.ID]
}

// keyTime bounds one command.
const keyTime = 2 * time.Second

// Do carries out a command, if this host leads.
func (k *keyService) Do(c once.Command, reply *keyhome.Reply) error {
	home := k.home.Load()
	if home == nil {
		*reply = keyhome.Reply{NotLead: true}
		return nil
	}
	ctx, cancel := context.WithTimeout(k.ctx, keyTime)
	defer cancel()
	got, err := home.Propose(ctx, c)
	*reply = got
	return err
}

// Nothing stands where a call has no answer.
type Nothing struct{}

// Deliver takes messages for this host's replica.
func (k *keyService) Deliver(envelopes []raft.Envelope, _ *Nothing) error {
	if home := k.home.Load(); home != nil {
		for _, e := range envelopes {
			home.Deliver(e)
		}
	}
	return nil
}

// replicaID gives the identity of the replica, and whether it leads.
func (k *keyService) replicaID() (raft.ID, bool) {
	home, id := k.home.Load(), k.id.Load()
	if home == nil || id == nil {
		return raft.None, false
	}
	return *id, home.Status().Role == raft.Leader
}

// keyVoters gives the hosts that form a region's log of keys: those with disks
// first.
func keyVoters(s settings.Settings, region string) []settings.Host {
	var out []settings.Host
	for _, disks := range []bool{true, false} {
		for _, h := range s.Hosts {
			if h.Region == region && h.Disk == disks && len(out) < maxKeyVoters {
				out = append(out, h)
			}
		}
	}
	return out
}

// keysDuty opens the replica and runs it.
func (d *process) keysDuty(ctx context.Context) error {
	folder, err := d.folder(keysGroup)
	if err != nil {
		return errors.Trace(err)
	}
	formers := keyVoters(d.settings, d.host.Region)
	j := &joiner{group: keysGroup, host: d.host, voters: formers, folder: folder, calls: d.near, log: d.log}
	id, err := j.identity(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	home, err := keyhome.Open(keyhome.Options{
		ID: id, Folder: folder, Send: d.sendTo(d.keySender), VoterCandidates: d.keySpares,
		TargetVoters: len(formers), Log: d.log, Seed: d.seed + 1,
	})
	if err != nil {
		return errors.Trace(err)
	}
	d.formation.opened(keysGroup, func() uint64 { return home.Status().Commit })
	d.keys.id.Store(&id)
	d.keys.home.Store(home)
	d.log.Info("log of keys", zap.String("identity", string(id)), zap.Bool("disk", d.host.Disk))
	return home.Run(ctx)
}

func (d *process) keySpares() []voters.Candidate { return d.agent.KeyVoterCandidates() }

// folder opens the data folder of a log, or one in memory for a host without
// a disk.
func (d *process) folder(group string) (disk.Folder, error) {
	path := d.settings.DataDir(d.host)
	if path == "" {
		return disk.NewMemory(), nil
	}
	if _, err := disk.OpenDir(path); err != nil {
		return nil, errors.Trace(err)
	}
	return disk.OpenDir(path + "/" + group)
}
