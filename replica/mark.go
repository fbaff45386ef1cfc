// This file defines how a replica remembers how much of its log is committed.

package replica

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/telemetry"
)

// A mark is the index up to which the log was known to be committed. A replica
// that starts again applies its log up to there at once, without waiting for a
// leader to be found: what is committed stays so. The mark may be old or lost,
// which only means that less is applied before there is a leader; so it is
// written beside the log, after the fact, by a duty of its own.
//
// Two files take turns, so that one is whole when a write is torn.
var markFiles = [...]string{"commit-a", "commit-b"}

// markPause bounds how often a mark is written.
const markPause = 200 * time.Millisecond

// markSize is the index and its checksum.
const markSize = 16

// marker writes marks. newMarker makes one; run writes.
type marker struct {
	folder disk.Folder
	log    *zap.Logger
	newest chan uint64 // holds one
	last   uint64
}

func newMarker(folder disk.Folder, log *zap.Logger) *marker {
	return &marker{folder: folder, log: log, newest: make(chan uint64, 1)}
}

// note asks for a mark; only the replica's goroutine calls it.
func (m *marker) note(commit uint64) {
	if commit <= m.last {
		return
	}
	m.last = commit
	select {
	case <-m.newest: // an older one that has not been written
	default:
	}
	m.newest <- commit
}

// run writes the newest mark until ctx ends.
func (m *marker) run(ctx context.Context) {
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case commit := <-m.newest:
			if err := writeMark(m.folder, markFiles[turn%len(markFiles)], commit); err != nil {
				m.log.Warn("commit index not marked", zap.Uint64("index", commit), telemetry.Cause(err))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(markPause):
		}
	}
}

func writeMark(folder disk.Folder, name string, commit uint64) error {
	data := binary.LittleEndian.AppendUint64(make([]byte, 0, markSize), commit)
	data = binary.LittleEndian.AppendUint64(data, xxhash.Sum64(data))
	file, err := folder.Create(name)
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return errors.Trace(err)
	}
	if err := file.Sync(); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(folder.Sync())
}

// readMark gives the newest whole mark, 0 where there is none.
func readMark(folder disk.Folder) uint64 {
	newest := uint64(0)
	for _, name := range markFiles {
		data, err := folder.Read(name)
		if err != nil || len(data) != markSize || xxhash.Sum64(data[:8]) != binary.LittleEndian.Uint64(data[8:]) {
			continue // none was written, or the write was torn
		}
		newest = max(newest, binary.LittleEndian.Uint64(data))
	}
	return newest
}
