// Package wal keeps a replica's log durable.
//
// A log is one snapshot file and one file of records after it. A record is a
// length, a checksum and a JSON body; records are only ever added at the end,
// and Save returns once they are synced. A crash can leave a torn record at
// the end of the file: Open cuts it off, for nothing that depends on it can
// have been sent. A record that is wrong before the last one is damage, which
// Open reports and doesn't repair.
//
// A snapshot replaces both files: the new pair is written beside the old one
// and takes over by one rename, after which the old pair is removed.
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

// A record's header is the length of its body and the body's checksum.
const (
	lengthSize = 4
	sumSize    = 8
	headerSize = lengthSize + sumSize
)

// maxRecord bounds a record's body, in bytes. A longer one is damage.
const maxRecord = 256 << 20

// CorruptionError says that a file's content can't be right.
type CorruptionError struct {
	File   string
	Offset int
	Cause  string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s", e.File, e.Offset, e.Cause)
}

// record is the body of one record. One of its fields is set.
type record struct {
	Hard     *raft.HardState `json:"hard,omitempty"`
	Entries  []raft.Entry    `json:"entries,omitempty"`
	Snapshot *raft.Snapshot  `json:"snapshot,omitempty"`
}

// encode gives a record's bytes.
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

// decode reads one record from the start of data. whole is false where data
// ends within it, or its checksum is wrong.
func decode(data []byte) (r record, size int, whole bool, err error) {
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
		return record{}, 0, false, errors.Annotate(err, "record with a right checksum")
	}
	return r, headerSize + length, true, nil
}

// recordAfter tells whether any whole record stands in data: then what comes
// before it is no torn end, but damage.
func recordAfter(data []byte) bool {
	for ; len(data) > headerSize; data = data[1:] {
		if data[headerSize] != '{' {
			continue
		}
		if _, _, whole, err := decode(data); whole || err != nil {
			return true
		}
	}
	return false
}

// replay adds a record to the state.
func replay(state *raft.State, r record) error {
	if r.Hard != nil {
		state.Hard = *r.Hard
	}
	if r.Snapshot != nil {
		state.Snapshot, state.Entries = *r.Snapshot, nil
	}
	if len(r.Entries) == 0 {
		return nil
	}
	keep := int64(r.Entries[0].Index) - int64(state.Snapshot.Index) - 1
	if keep < 0 || keep > int64(len(state.Entries)) {
		return errors.Errorf("entry %d doesn't follow %d", r.Entries[0].Index, state.Snapshot.Index+uint64(len(state.Entries)))
	}
	for i, e := range r.Entries {
		if e.Index != r.Entries[0].Index+uint64(i) {
			return errors.Errorf("entry %d out of order", e.Index)
		}
	}
	state.Entries = append(state.Entries[:keep], r.Entries...)
	return nil
}

// Decode reads a whole file of records. It gives the state and the size of the
// part that is whole; what follows is a torn record that may be cut off.
func Decode(name string, data []byte) (state raft.State, size int, err error) {
	for size < len(data) {
		r, n, whole, err := decode(data[size:])
		if err != nil {
			return raft.State{}, size, &CorruptionError{name, size, err.Error()}
		}
		if !whole {
			if recordAfter(data[size+1:]) {
				return raft.State{}, size, &CorruptionError{name, size, "a record is wrong before the last one"}
			}
			return state, size, nil
		}
		if err := replay(&state, r); err != nil {
			return raft.State{}, size, &CorruptionError{name, size, err.Error()}
		}
		size += n
	}
	return state, size, nil
}

// filePrefix begins the name of each log file; its number follows.
const filePrefix = "log-"

// temporary ends the name of a file that is not yet complete.
const temporary = ".new"

// Log is an open log. Open makes one; it is not safe for concurrent use.
type Log struct {
	folder disk.Folder
	file   disk.File
	name   string
	number uint64
	size   int64 // of what is known to be whole in the file, in bytes
	torn   bool  // a record was written in part: it must be cut off first
	// unnamed is set while the name of the file may not be durable: until it
	// is, nothing may be saved there.
	unnamed bool
}

// Open reads the log of a folder, repairs a torn end and opens it for writing.
func Open(folder disk.Folder) (*Log, raft.State, error) {
	names, err := folder.Names()
	if err != nil {
		return nil, raft.State{}, errors.Trace(err)
	}
	l := &Log{folder: folder}
	for _, name := range names {
		if strings.HasSuffix(name, temporary) {
			if err := folder.Remove(name); err != nil {
				return nil, raft.State{}, errors.Trace(err)
			}
		}
		if number, ok := numberOf(name); ok && number >= l.number {
			l.number, l.name = number, name
		}
	}
	if l.name == "" {
		return l.create()
	}
	return l.reopen(names)
}

func numberOf(name string) (uint64, bool) {
	text, ok := strings.CutPrefix(name, filePrefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(text, 16, 64)
	return number, err == nil
}

func nameOf(number uint64) string { return fmt.Sprintf("%s%016x", filePrefix, number) }

func (l *Log) create() (*Log, raft.State, error) {
	if err := l.replace(raft.State{}); err != nil {
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
			return nil, raft.State{}, errors.Annotate(err, "cut off a torn record")
		}
	}
	if l.file, err = l.folder.Append(l.name); err != nil {
		return nil, raft.State{}, errors.Trace(err)
	}
	l.size = int64(size)
	return l, state, l.removeOld(names)
}

func (l *Log) removeOld(names []string) error {
	for _, name := range names {
		if _, ok := numberOf(name); ok && name != l.name {
			if err := l.folder.Remove(name); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// Save makes a hard state and entries durable. Entries replace all from the
// first's index on. hard may be nil. After an error nothing has been saved, and
// Save may be called again with the same.
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
	if err := l.cutTorn(); err != nil {
		return errors.Annotate(err, "cut off what was written in part")
	}
	l.torn = true
	if _, err := l.file.Write(data); err != nil {
		return errors.Annotate(err, "write the log")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Annotate(err, "sync the log")
	}
	l.torn = false
	l.size += int64(len(data))
	return nil
}

// cutTorn cuts off a record that a full or faulty disk took in part.
func (l *Log) cutTorn() error {
	if !l.torn {
		return nil
	}
	if err := l.folder.Truncate(l.name, l.size); err != nil {
		return errors.Trace(err)
	}
	l.torn = false
	return nil
}

// Replace makes a new file of a whole state, and takes away the old one.
func (l *Log) Replace(state raft.State) error {
	names, err := l.folder.Names()
	if err != nil {
		return errors.Trace(err)
	}
	old := l.file
	err = l.replace(state)
	if l.file != old && old != nil {
		_ = old.Close() // it is replaced: nothing is written there any more
	}
	if err != nil {
		return err
	}
	return l.removeOld(names)
}

func (l *Log) replace(state raft.State) error {
	snapshot, hard := state.Snapshot, state.Hard
	data, err := encode(record{Hard: &hard, Snapshot: &snapshot, Entries: state.Entries})
	if err != nil {
		return errors.Trace(err)
	}
	name := nameOf(l.number + 1)
	file, err := l.folder.Create(name + temporary)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := file.Write(data); err != nil {
		return errors.Trace(err)
	}
	if err := file.Sync(); err != nil {
		return errors.Trace(err)
	}
	if err := l.folder.Rename(name+temporary, name); err != nil {
		return errors.Trace(err)
	}
	l.file, l.name = file, name
	l.size, l.torn, l.unnamed = int64(len(data)), false, true
	l.number++
	return l.syncName()
}

// syncName makes the name of the file durable, if that is still to be done.
func (l *Log) syncName() error {
	if !l.unnamed {
		return nil
	}
	if err := l.folder.Sync(); err != nil {
		return errors.Trace(err)
	}
	l.unnamed = false
	return nil
}

// Close closes the file.
func (l *Log) Close() error { return errors.Trace(l.file.Close()) }
