// This file defines how a replica gets its identity, and how a new log is
// formed.

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

// identityFile holds the identity that a folder's log belongs to.
const identityFile = "identity"

// firstIdentity ends the identity of a voter that formed a log.
const firstIdentity = "#1"

// Timing of the forming of a log.
const (
	formPatience = 10 * time.Second
	formPause    = 200 * time.Millisecond
	formCall     = 500 * time.Millisecond
)

// Formation tells other hosts whether this one's logs have begun. It is
// answered as "Formation" of net/rpc, before anything else of the process is.
type Formation struct {
	mu      sync.Mutex
	commits map[string]func() uint64
}

// FormationState is what a host says of one log.
type FormationState struct {
	Begun bool // something has been committed in it
}

// State answers for the log of that name.
func (f *Formation) State(group string, state *FormationState) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if commit, ok := f.commits[group]; ok {
		state.Begun = commit() > 0
	}
	return nil
}

func (f *Formation) opened(group string, commit func() uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits[group] = commit
}

// joiner decides under which identity a host takes part in a log.
type joiner struct {
	group  string
	host   settings.Host
	voters []settings.Host // that form the log
	folder disk.Folder
	calls  *wire.Client
	log    *zap.Logger
}

// identity gives the identity of the folder's log. An empty folder gets a new
// identity, which no membership holds yet. Only where this host is one of those
// that form the log, all the others can be asked, and none of them has seen
// anything committed, is the log formed: otherwise a voter whose folder was
// lost could vote a second time as its old self.
func (j *joiner) identity(ctx context.Context) (raft.ID, error) {
	known, err := readIdentity(j.folder)
	if err != nil {
		return raft.None, errors.Trace(err)
	}
	if known != raft.None {
		return j.reform(known)
	}
	id := newIdentity(j.host.Name)
	if j.mayForm(ctx) {
		id = raft.ID(j.host.Name + firstIdentity)
	}
	if err := writeIdentity(j.folder, id); err != nil {
		return raft.None, errors.Annotate(err, "identity")
	}
	j.log.Info("new identity", zap.String("log", j.group), zap.String("identity", string(id)))
	return j.reform(id)
}

// reform writes the first membership of a log that was to be formed, if that
// hasn't been done: the process may have ended in between.
func (j *joiner) reform(id raft.ID) (raft.ID, error) {
	hosts := make([]string, len(j.voters))
	for i, v := range j.voters {
		hosts[i] = v.Name
	}
	return id, formFirst(j.folder, id, hosts)
}

// formFirst writes the first membership of a log, if the identity is one that
// forms a log and this hasn't been done.
func formFirst(folder disk.Folder, id raft.ID, hosts []string) error {
	if !strings.HasSuffix(string(id), firstIdentity) {
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
		ids[i] = raft.ID(host + firstIdentity)
	}
	return errors.Trace(replica.Initialize(folder, ids))
}

// readIdentity gives a folder's identity, or raft.None where it has none yet.
func readIdentity(folder disk.Folder) (raft.ID, error) {
	data, err := folder.Read(identityFile)
	if errors.Is(err, os.ErrNotExist) {
		return raft.None, nil
	}
	return raft.ID(strings.TrimSpace(string(data))), errors.Annotate(err, "identity")
}

// newIdentity gives an identity that no membership holds yet.
func newIdentity(host string) raft.ID { return raft.ID(host + "#" + uuid.NewString()[:8]) }

// writeIdentity makes a folder's identity durable.
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

func (j *joiner) mayForm(ctx context.Context) bool {
	if !j.forms() {
		return false
	}
	until := time.Now().Add(formPatience)
	for time.Now().Before(until) && ctx.Err() == nil {
		answered, begun := j.askOthers(ctx)
		if begun {
			return false
		}
		if answered {
			return true
		}
		time.Sleep(formPause)
	}
	return false
}

func (j *joiner) forms() bool {
	for _, v := range j.voters {
		if v.Name == j.host.Name {
			return true
		}
	}
	return false
}

// askOthers tells whether all others answered, and whether any has begun.
func (j *joiner) askOthers(ctx context.Context) (answered, begun bool) {
	answered = true
	for _, v := range j.voters {
		if v.Name == j.host.Name {
			continue
		}
		address, _, _ := agent.ControlAddress(j.host, v)
		var state FormationState
		if err := j.calls.CallTimeout(ctx, formCall, address, "Formation.State", j.group, &state); err != nil {
			answered = false
			continue
		}
		begun = begun || state.Begun
	}
	return answered, begun
}
