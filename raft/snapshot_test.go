package raft_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/raft"
)

// TestSnapshotIsAppliedOnceItsCallerHasInstalledIt guards against a replica that states the entries
// of a snapshot as applied while its state machine still lacks them. Entries that follow the
// snapshot may arrive before it is installed.
func TestSnapshotIsAppliedOnceItsCallerHasInstalledIt(t *testing.T) {
	now := time.Unix(0, 0)
	n := newNode("a#1", now, raft.HardState{Term: 1})
	members := raft.Membership{Voters: []raft.ID{"a#1", "b#1", "c#1"}}
	step := func(m raft.Message) {
		n.Step(now, raft.Envelope{From: "b#1", To: "a#1", Term: 1, Message: m})
	}
	step(raft.Append{Entries: []raft.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}, Commit: 2})
	n.Advance(n.Ready())
	must.Eq(t, 2, n.Status().Applied)

	step(raft.Install{Snapshot: raft.Snapshot{Index: 9, Term: 1, Members: members, Data: []byte("state of 9")}})
	step(raft.Append{PrevIndex: 9, PrevTerm: 1, Entries: []raft.Entry{{Index: 10, Term: 1}}, Commit: 10})
	must.Eq(t, 2, n.Status().Applied, must.Sprint("received"))
	r := n.Ready()
	must.Eq(t, 2, n.Status().Applied, must.Sprint("returned to the caller, which installs it now"))
	must.Eq(t, 9, r.Install.Index)
	must.Len(t, 1, r.Committed)
	must.Eq(t, 10, r.Committed[0].Index)
	n.Advance(r)
	must.Eq(t, 10, n.Status().Applied)
	must.True(t, n.Ready().Empty())

	step(raft.Install{Snapshot: raft.Snapshot{Index: 20, Term: 1, Members: members, Data: []byte("state of 20")}})
	n.Advance(n.Ready())
	must.Eq(t, 20, n.Status().Applied)
}
