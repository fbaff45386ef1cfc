// This file chooses the identity of a replica and forms new logs.

package daemon

import (
	"context"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/agent"
	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/replica"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/wire"
)

// identityFile stores the identity of the replica whose log is in the folder.
const identityFile = "identity"

// initialIdentitySuffix ends the identity of each voter that formed a log.
const initialIdentitySuffix = "#1"

// Timing of the formation of a log.
const (
	bootstrapTimeout       = 10 * time.Second       // to reach all other initial voters
	bootstrapRetryInterval = 200 * time.Millisecond // between two rounds of calls
	bootstrapCallTimeout   = 500 * time.Millisecond // of one call
)

// Formation is the net/rpc service that reports to other hosts whether this host's
// logs contain anything committed. The process serves it before all other services,
// because hosts that form a log wait for its reply.
type Formation struct {
	mu      sync.Mutex
	commits map[string]func() uint64
}

// FormationState is a host's report of one log.
type FormationState struct {
	Begun bool // the log has a committed entry
}

// State reports the state of the named log. Begun is false for a log that isn't open.
func (f *Formation) State(logName string, state *FormationState) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if commit, ok := f.commits[logName]; ok {
		state.Begun = commit() > 0
	}
	return nil
}

// register adds an open log, with the function that returns its commit index.
func (f *Formation) register(logName string, commit func() uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits[logName] = commit
}

// bootstrapper chooses the identity under which a host takes part in a log, and forms
// the log where no voter has done so.
type bootstrapper struct {
	logName       string
	host          settings.Host
	initialVoters []settings.Host // the hosts that form the log
	folder        disk.Folder
	calls         *wire.Client
	log           *zap.Logger
}

// resolveIdentity returns the identity of the folder's replica. An empty folder gets a
// new identity that is in no membership yet. The host takes its initial identity, and
// so forms the log, only if it is an initial voter, all other initial voters reply, and
// none of them has a committed entry. Otherwise a voter that lost its folder could vote
// a second time under its old identity.
func (b *bootstrapper) resolveIdentity(ctx context.Context) (raft.ID, error) {
	stored, err := readIdentity(b.folder)
	if err != nil {
		return raft.None, errors.Trace(err)
	}
	if stored != raft.None {
		return b.ensureInitialMembership(stored)
	}
	id := newIdentity(b.host.Name)
	if b.mayFormLog(ctx) {
		id = raft.ID(b.host.Name + initialIdentitySuffix)
	}
	if err := writeIdentity(b.folder, id); err != nil {
		return raft.None, errors.Annotate(err, "identity")
	}
	b.log.Info("created replica identity", zap.String("log", b.logName), zap.String("identity", string(id)))
	return b.ensureInitialMembership(id)
}

// ensureInitialMembership writes the first membership of a log that this host forms, if
// it is missing: the process may have ended after it wrote the identity.
func (b *bootstrapper) ensureInitialMembership(id raft.ID) (raft.ID, error) {
	hosts := make([]string, len(b.initialVoters))
	for i, v := range b.initialVoters {
		hosts[i] = v.Name
	}
	return id, writeInitialMembership(b.folder, id, hosts)
}

// writeInitialMembership writes the first membership of a log if id is an initial
// identity and the folder contains no log yet.
func writeInitialMembership(folder disk.Folder, id raft.ID, hosts []string) error {
	if !strings.HasSuffix(string(id), initialIdentitySuffix) {
		return nil
	}
	names, err := folder.Names()
	if err != nil {
		return errors.Trace(err)
	}
	if len(names) > 1 {
		return nil
	}
	ids := make([]raft.ID, len(hosts))
	for i, host := range hosts {
		ids[i] = raft.ID(host + initialIdentitySuffix)
	}
	return errors.Trace(replica.Initialize(folder, ids))
}

// readIdentity returns a folder's identity, or raft.None if it has none yet.
func readIdentity(folder disk.Folder) (raft.ID, error) {
	data, err := folder.Read(identityFile)
	if errors.Is(err, os.ErrNotExist) {
		return raft.None, nil
	}
	return raft.ID(strings.TrimSpace(string(data))), errors.Annotate(err, "identity")
}

// newIdentity returns a random identity of a host, which is in no membership yet.
func newIdentity(host string) raft.ID { return raft.ID(host + "#" + uuid.NewString()[:8]) }

// writeIdentity stores a folder's identity durably: it writes a new file, syncs it and
// renames it into place.
func writeIdentity(folder disk.Folder, id raft.ID) error {
	file, err := folder.Create(identityFile + ".new")
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	if _, err := file.Write([]byte(id + "\n")); err != nil {
		return errors.Trace(err)
	}
	if err := file.Sync(); err != nil {
		return errors.Trace(err)
	}
	if err := folder.Rename(identityFile+".new", identityFile); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(folder.Sync())
}

// mayFormLog reports whether this host may form the log. It repeats its calls until all
// other initial voters reply or bootstrapTimeout ends.
func (b *bootstrapper) mayFormLog(ctx context.Context) bool {
	if !b.isInitialVoter() {
		return false
	}
	until := time.Now().Add(bootstrapTimeout)
	for time.Now().Before(until) && ctx.Err() == nil {
		allAnswered, anyBegun := b.pollOtherVoters(ctx)
		if anyBegun {
			return false
		}
		if allAnswered {
			return true
		}
		time.Sleep(bootstrapRetryInterval)
	}
	return false
}

func (b *bootstrapper) isInitialVoter() bool {
	for _, v := range b.initialVoters {
		if v.Name == b.host.Name {
			return true
		}
	}
	return false
}

// pollOtherVoters reports whether all other initial voters replied, and whether any of
// them has a committed entry.
func (b *bootstrapper) pollOtherVoters(ctx context.Context) (allAnswered, anyBegun bool) {
	allAnswered = true
	for _, v := range b.initialVoters {
		if v.Name == b.host.Name {
			continue
		}
		address, _, _ := agent.ControlAddress(b.host, v)
		var state FormationState
		if err := b.calls.CallTimeout(ctx, bootstrapCallTimeout, address, "Formation.State", b.logName, &state); err != nil {
			allAnswered = false
			continue
		}
		anyBegun = anyBegun || state.Begun
	}
	return allAnswered, anyBegun
}
