package wal_test

import (
	"fmt"
	"testing"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/wal"
)

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Data: []byte(fmt.Sprintf("command %d of %d", index, term))}
}

func open(t *testing.T, folder disk.Folder) (*wal.Log, raft.State) {
	t.Helper()
	log, state, err := wal.Open(folder)
	must.NoError(t, err)
	return log, state
}

// TestSavedRecordsSurviveCrash guards against a torn record that makes earlier records,
// or those saved after the repair, unreadable. The crash retains a varying number of
// unsynced bytes.
func TestSavedRecordsSurviveCrash(t *testing.T) {
	for unsyncedKept := range 80 {
		folder := disk.NewMemory()
		log, _ := open(t, folder)
		must.NoError(t, log.Save(&raft.HardState{Term: 2, Vote: "a#1"}, []raft.Entry{entry(1, 1), entry(2, 2)}))
		must.NoError(t, log.Save(nil, []raft.Entry{entry(2, 3)})) // replaces the second entry
		// Write a part of a record without a sync.
		file, err := folder.Append("log-0000000000000001")
		must.NoError(t, err)
		_, err = file.Write(make([]byte, 3, 80)[:3])
		must.NoError(t, err)
		_, err = file.Write([]byte{0x20, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, '{', '"'})
		must.NoError(t, err)
		folder.Crash(unsyncedKept)
		reopened, state := open(t, folder)
		must.Eq(t, raft.HardState{Term: 2, Vote: "a#1"}, state.Hard)
		must.Eq(t, []raft.Entry{entry(1, 1), entry(2, 3)}, state.Entries)
		must.NoError(t, reopened.Save(nil, []raft.Entry{entry(3, 3)}))
		_, state = open(t, folder)
		must.SliceLen(t, 3, state.Entries, must.Sprint("Open must read the entry saved after the repair"))
	}
}

// TestSnapshotReplacesLogAtomically guards against a crash right after Replace that
// loses the new snapshot or leaves the old file.
func TestSnapshotReplacesLogAtomically(t *testing.T) {
	folder := disk.NewMemory()
	log, _ := open(t, folder)
	must.NoError(t, log.Save(&raft.HardState{Term: 1}, []raft.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}))
	snapshot := raft.Snapshot{Index: 2, Term: 1, Data: []byte("state"), Members: raft.Membership{Voters: []raft.ID{"a#1"}}}
	must.NoError(t, log.Replace(raft.State{Hard: raft.HardState{Term: 1}, Snapshot: snapshot, Entries: []raft.Entry{entry(3, 1)}}))
	folder.Crash(0)
	_, state := open(t, folder)
	must.Eq(t, snapshot, state.Snapshot)
	must.Eq(t, []raft.Entry{entry(3, 1)}, state.Entries)
	names, err := folder.Names()
	must.NoError(t, err)
	must.Eq(t, []string{"log-0000000000000002"}, names)
}

// TestCorruptionIsReportedAndNotTruncated guards against a flipped bit in the middle of
// a log that is mistaken for a torn end, so that the saved records after it are lost.
func TestCorruptionIsReportedAndNotTruncated(t *testing.T) {
	folder := disk.NewMemory()
	log, _ := open(t, folder)
	for i := range uint64(5) {
		must.NoError(t, log.Save(nil, []raft.Entry{entry(i+1, 1)}))
	}
	data, err := folder.Read("log-0000000000000001")
	must.NoError(t, err)
	for _, at := range []int{len(data) / 4, len(data) / 2} {
		corrupted := append([]byte(nil), data...)
		corrupted[at] ^= 0x40
		_, _, err := wal.Decode("file", corrupted)
		var corruption *wal.CorruptionError
		must.True(t, errors.As(err, &corruption))
	}
}

// TestFullDiskCausesNoDataLoss guards against partly written records that a full disk
// leaves in the middle of the log once there is space again.
func TestFullDiskCausesNoDataLoss(t *testing.T) {
	folder := disk.NewMemory()
	log, _ := open(t, folder)
	must.NoError(t, log.Save(nil, []raft.Entry{entry(1, 1)}))
	folder.SetFull(true)
	for range 3 {
		must.ErrorIs(t, log.Save(nil, []raft.Entry{entry(2, 1)}), disk.ErrFull)
	}
	snapshot := raft.State{Snapshot: raft.Snapshot{Index: 1, Term: 1, Data: []byte("state")}}
	must.ErrorIs(t, log.Replace(snapshot), disk.ErrFull)
	folder.SetFull(false)
	must.NoError(t, log.Save(nil, []raft.Entry{entry(2, 1)}))
	must.NoError(t, log.Save(nil, []raft.Entry{entry(3, 1)}))
	folder.Crash(0)
	_, state := open(t, folder)
	must.Eq(t, []raft.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}, state.Entries)
}

// FuzzDecode checks that the part of a file that Decode reports as complete decodes to
// the same state.
func FuzzDecode(f *testing.F) {
	folder := disk.NewMemory()
	log, _, err := wal.Open(folder)
	if err != nil {
		f.Fatal(err)
	}
	if err := log.Save(&raft.HardState{Term: 1}, []raft.Entry{entry(1, 1)}); err != nil {
		f.Fatal(err)
	}
	data, err := folder.Read("log-0000000000000001")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		state, size, err := wal.Decode("fuzz", data)
		if err != nil {
			return
		}
		decodedAgain, sizeAgain, err := wal.Decode("fuzz", data[:size])
		must.NoError(t, err)
		must.Eq(t, size, sizeAgain)
		must.Eq(t, state, decodedAgain)
	})
}
