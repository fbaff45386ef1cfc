package wal_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/raft"
)

// copyUnsynced copies the newest file of a log into a folder, as it is when the process is killed
// before it has synced what follows the first synced bytes, and before the name if they are 0.
func copyUnsynced(t *testing.T, from, to *disk.Memory, synced int) {
	t.Helper()
	names, err := from.Names()
	must.NoError(t, err)
	name := names[len(names)-1]
	data, err := from.Read(name)
	must.NoError(t, err)
	file, err := to.Create(name)
	must.NoError(t, err)
	_, err = file.Write(data[:synced])
	must.NoError(t, err)
	must.NoError(t, file.Sync())
	if synced > 0 {
		must.NoError(t, to.Sync())
	}
	_, err = file.Write(data[synced:])
	must.NoError(t, err)
	must.NoError(t, file.Close())
}

// newLog returns a folder with a log that has the entry, and the size of the file before it.
func newLog(t *testing.T, e raft.Entry) (folder *disk.Memory, sizeBefore int) {
	t.Helper()
	folder = disk.NewMemory()
	log, _ := open(t, folder)
	names, err := folder.Names()
	must.NoError(t, err)
	data, err := folder.Read(names[0])
	must.NoError(t, err)
	must.NoError(t, log.Save(&raft.HardState{Term: 3, Vote: "b"}, []raft.Entry{e}))
	must.NoError(t, log.Close())
	return folder, len(data)
}

// TestOpenedStateSurvivesPowerLoss guards against a replica that acknowledges entries, or stands by
// a vote, that it read from a file after a kill and that a loss of power then takes.
func TestOpenedStateSurvivesPowerLoss(t *testing.T) {
	source, sizeBefore := newLog(t, entry(1, 3))
	for name, synced := range map[string]int{"unsynced record": sizeBefore, "unsynced file": 0} {
		t.Run(name, func(t *testing.T) {
			folder := disk.NewMemory()
			copyUnsynced(t, source, folder, synced)
			var states []raft.State
			for range 2 {
				log, state := open(t, folder)
				must.NoError(t, log.Close())
				states = append(states, state)
				folder.Crash(0)
			}
			must.Eq(t, raft.HardState{Term: 3, Vote: "b"}, states[0].Hard)
			must.Eq(t, states[0], states[1])
		})
	}
}
