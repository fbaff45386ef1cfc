// Package wal stores the Raft log of a replica durably.
//
// A log is one file of records. The first record has the snapshot and the state at
// the time when the file was written; later ones are appended. A record is a length,
// a checksum and a JSON body. Save returns once its record is synced. A crash can
// leave a torn record at the end of the file. Open truncates it: since Save has not
// returned, the replica can't have sent any message that depends on the record. An
// invalid record before the last one is corruption, which Open reports and doesn't
// repair.
//
// Replace starts a new file with a new snapshot. It writes the file under a temporary
// name, renames it, and then removes the old file.
package wal

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/raft"
)

// Sizes of a record's header, in bytes: the length of the body, then its checksum.
const (
	lengthSize   = 4
	checksumSize = 8
	headerSize   = lengthSize + checksumSize
)

// maxRecord bounds a record's body, in bytes. A greater length is treated as torn or
// corrupt.
const maxRecord = 256 << 20

// CorruptionError reports a file that has an invalid record before its last one, or
// a record that contradicts the ones before it.
type CorruptionError struct {
	File   string
	Offset int
	Cause  string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d: %s", e.File, e.Offset, e.Cause)
}

// record is the body of one record. Fields that are not set leave the state as it is.
type record struct {
	Hard     *raft.HardState `json:"hard,omitempty"`
	Entries  []raft.Entry    `json:"entries,omitempty"`
	Snapshot *raft.Snapshot  `json:"snapshot,omitempty"`
}

// encode returns the header and the body of a record.
func encode(r record) ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Annotate(err, "record")
	}
	out := make([]byte, headerSize, headerSize+len(body))
	binary.LittleEndian.PutUint32(out, uint32(len(body)))
	binary.LittleEndian.PutUint64(out[lengthSize:], xxhash.Sum64(body))
	return append(out, body...), nil
}

// decode reads one record from the start of data. size is the record's length with
// its header. complete is false if data ends within the record or the checksum
// doesn't match; err is for a body that isn't valid although the checksum matches.
func decode(data []byte) (r record, size int, complete bool, err error) {
	if len(data) < headerSize {
		return record{}, 0, false, nil
	}
	length := int(binary.LittleEndian.Uint32(data))
	if length > maxRecord || len(data) < headerSize+length {
		return record{}, 0, false, nil
	}
	body := data[headerSize : headerSize+length]
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(data[lengthSize:]) {
		return record{}, 0, false, nil
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return record{}, 0, false, errors.Annotate(err, "decode record with a valid checksum")
	}
	return r, headerSize + length, true, nil
}

// containsRecord reports whether any complete record starts within data. If so, the
// invalid bytes before it are corruption, not a torn end.
func containsRecord(data []byte) bool {
	for ; len(data) > headerSize; data = data[1:] {
		if data[headerSize] != '{' {
			continue
		}
		if _, _, complete, err := decode(data); complete || err != nil {
			return true
		}
	}
	return false
}

// applyRecord applies a record to the state. Entries replace all entries from the
// index of the first on, and must be contiguous.
func applyRecord(state *raft.State, r record) error {
	if r.Hard != nil {
		state.Hard = *r.Hard
	}
	if r.Snapshot != nil {
		state.Snapshot, state.Entries = *r.Snapshot, nil
	}
	if len(r.Entries) == 0 {
		return nil
	}
	kept := int64(r.Entries[0].Index) - int64(state.Snapshot.Index) - 1
	if kept < 0 || kept > int64(len(state.Entries)) {
		return errors.Errorf("entry %d doesn't follow entry %d", r.Entries[0].Index, state.Snapshot.Index+uint64(len(state.Entries)))
	}
	for i, e := range r.Entries {
		if e.Index != r.Entries[0].Index+uint64(i) {
			return errors.Errorf("entry %d is out of order", e.Index)
		}
	}
	state.Entries = append(state.Entries[:kept], r.Entries...)
	return nil
}

// Decode reads the content of a log file. name is for errors. It returns the state and
// the size of the complete records, in bytes; what follows is a torn record that may
// be truncated. The error is a *CorruptionError.
func Decode(name string, data []byte) (state raft.State, size int, err error) {
	for size < len(data) {
		r, n, complete, err := decode(data[size:])
		if err != nil {
			return raft.State{}, size, &CorruptionError{name, size, err.Error()}
		}
		if !complete {
			if containsRecord(data[size+1:]) {
				return raft.State{}, size, &CorruptionError{name, size, "a record before the last one is invalid"}
			}
			return state, size, nil
		}
		if err := applyRecord(&state, r); err != nil {
			return raft.State{}, size, &CorruptionError{name, size, err.Error()}
		}
		size += n
	}
	return state, size, nil
}

// filePrefix starts the name of each log file; the file's number in hexadecimal
// follows.
const filePrefix = "log-"

// temporarySuffix ends the name of a file that is still being written.
const temporarySuffix = ".new"

// Log is an open log. Open returns one; it is not safe for concurrent use.
type Log struct {
	folder    disk.Folder
	file      disk.File
	name      string
	number    uint64
	size      int64 // size of the complete records in the file, in bytes
	mayBeTorn bool  // a write failed: truncate the file to size before the next one
	// nameUnsynced is set while the name of the file may not be durable. Nothing
	// may be saved in the file before the folder has been synced.
	nameUnsynced bool
}

// Open reads the newest log file of a folder, truncates a torn record at its end and
// opens it for appending. All that it returns is durable. In an empty folder it creates
// the first file. It removes files left by a Replace that a crash interrupted. The error
// is a *CorruptionError if the file is corrupt.
func Open(folder disk.Folder) (*Log, raft.State, error) {
	names, err := folder.Names()
	if err != nil {
		return nil, raft.State{}, errors.Trace(err)
	}
	l := &Log{folder: folder}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := folder.Remove(name); err != nil {
				return nil, raft.State{}, errors.Trace(err)
			}
		}
		if number, ok := parseFileName(name); ok && number >= l.number {
			l.number, l.name = number, name
		}
	}
	if l.name == "" {
		return l.create()
	}
	return l.reopen(names)
}

// parseFileName returns the number of a log file, and false for any other name.
func parseFileName(name string) (uint64, bool) {
	text, ok := strings.CutPrefix(name, filePrefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(text, 16, 64)
	return number, err == nil
}

func fileName(number uint64) string { return fmt.Sprintf("%s%016x", filePrefix, number) }

func (l *Log) create() (*Log, raft.State, error) {
	if err := l.writeNewFile(raft.State{}); err != nil {
		return nil, raft.State{}, err
	}
	return l, raft.State{}, nil
}

func (l *Log) reopen(names []string) (*Log, raft.State, error) {
	data, err := l.folder.Read(l.name)
	if err != nil {
		return nil, raft.State{}, errors.Trace(err)
	}
	state, size, err := Decode(l.name, data)
	if err != nil {
		return nil, raft.State{}, errors.Trace(err)
	}
	if size < len(data) {
		if err := l.folder.Truncate(l.name, int64(size)); err != nil {
			return nil, raft.State{}, errors.Annotate(err, "truncate a torn record")
		}
	}
	if l.file, err = l.folder.Append(l.name); err != nil {
		return nil, raft.State{}, errors.Trace(err)
	}
	l.size = int64(size)
	if err := l.syncOpened(); err != nil {
		return nil, raft.State{}, errors.Annotate(err, "sync the log that was opened")
	}
	return l, state, l.removeOldFiles(names)
}

// syncOpened makes durable what was read. The process before may have been killed between a write
// and its sync, and the replica acknowledges all that Open returns.
func (l *Log) syncOpened() error {
	if err := l.file.Sync(); err != nil {
		return err
	}
	return l.folder.Sync()
}

// removeOldFiles removes those of the named log files that l has replaced.
func (l *Log) removeOldFiles(names []string) error {
	for _, name := range names {
		if _, ok := parseFileName(name); ok && name != l.name {
			if err := l.folder.Remove(name); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// Save makes a hard state and entries durable. Entries replace all saved entries from
// the index of the first on; hard may be nil. After an error the caller must treat
// nothing as saved, and may call Save again with the same arguments.
func (l *Log) Save(hard *raft.HardState, entries []raft.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	data, err := encode(record{Hard: hard, Entries: entries})
	if err != nil {
		return errors.Trace(err)
	}
	if err := l.syncName(); err != nil {
		return errors.Annotate(err, "sync the folder of the log")
	}
	if err := l.truncateTorn(); err != nil {
		return errors.Annotate(err, "truncate a partly written record")
	}
	l.mayBeTorn = true
	if _, err := l.file.Write(data); err != nil {
		return errors.Annotate(err, "write the log")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Annotate(err, "sync the log")
	}
	l.mayBeTorn = false
	l.size += int64(len(data))
	return nil
}

// truncateTorn removes a record of which a full or faulty disk wrote only a part.
func (l *Log) truncateTorn() error {
	if !l.mayBeTorn {
		return nil
	}
	if err := l.folder.Truncate(l.name, l.size); err != nil {
		return errors.Trace(err)
	}
	l.mayBeTorn = false
	return nil
}

// Replace writes a complete state to a new file and removes the old one. If it fails
// before the rename of the new file, the log still uses the old one.
func (l *Log) Replace(state raft.State) error {
	names, err := l.folder.Names()
	if err != nil {
		return errors.Trace(err)
	}
	old := l.file
	err = l.writeNewFile(state)
	if l.file != old && old != nil {
		_ = old.Close() // nothing more is written to the replaced file
	}
	if err != nil {
		return err
	}
	return l.removeOldFiles(names)
}

// writeNewFile writes state to the next file in number and switches l to it.
func (l *Log) writeNewFile(state raft.State) error {
	snapshot, hard := state.Snapshot, state.Hard
	data, err := encode(record{Hard: &hard, Snapshot: &snapshot, Entries: state.Entries})
	if err != nil {
		return errors.Trace(err)
	}
	name := fileName(l.number + 1)
	file, err := l.folder.Create(name + temporarySuffix)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := file.Write(data); err != nil {
		return errors.Trace(err)
	}
	if err := file.Sync(); err != nil {
		return errors.Trace(err)
	}
	if err := l.folder.Rename(name+temporarySuffix, name); err != nil {
		return errors.Trace(err)
	}
	l.file, l.name = file, name
	l.size, l.mayBeTorn, l.nameUnsynced = int64(len(data)), false, true
	l.number++
	return l.syncName()
}

// syncName makes the name of the file durable, unless it already is.
func (l *Log) syncName() error {
	if !l.nameUnsynced {
		return nil
	}
	if err := l.folder.Sync(); err != nil {
		return errors.Trace(err)
	}
	l.nameUnsynced = false
	return nil
}

// Close closes the file.
func (l *Log) Close() error { return errors.Trace(l.file.Close()) }
