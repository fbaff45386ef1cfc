// This file defines how a replica stores its commit index.

package replica

import (
	"context"
	"encoding/binary"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/telemetry"
)

// commitFileName is the base name of the file pair that stores the commit index. A replica
// that restarts applies its log up to the stored index at once, without waiting for a leader,
// since a committed entry stays committed. The stored index may be stale or lost: then fewer
// entries are applied before there is a leader. It is therefore written asynchronously, in a
// file pair next to the log.
const commitFileName = "commit"

// commitSaveInterval is the minimum time between two writes of the commit index.
const commitSaveInterval = 200 * time.Millisecond

// commitIndexSaver writes the commit index to disk. Its method run does the writes, in a
// goroutine of its own.
type commitIndexSaver struct {
	pair      *disk.DualFile
	log       *zap.Logger
	pending   chan uint64 // buffers the latest index that is not yet written
	lastIndex uint64
}

// openCommitIndexSaver also returns the stored commit index, or 0 if there is none or it is
// unreadable.
func openCommitIndexSaver(folder disk.Folder, log *zap.Logger) (*commitIndexSaver, uint64) {
	pair, data := disk.OpenDualFile(folder, commitFileName)
	s := &commitIndexSaver{pair: pair, log: log, pending: make(chan uint64, 1)}
	if len(data) != binary.Size(s.lastIndex) {
		return s, 0
	}
	return s, binary.LittleEndian.Uint64(data)
}

// save schedules a write of the commit index. Only the replica's goroutine may call it.
func (s *commitIndexSaver) save(commit uint64) {
	if commit <= s.lastIndex {
		return
	}
	s.lastIndex = commit
	select {
	case <-s.pending: // discard a lower index that is not yet written
	default:
	}
	s.pending <- commit
}

// run writes the latest scheduled commit index until ctx is cancelled.
func (s *commitIndexSaver) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case commit := <-s.pending:
			if err := s.pair.Write(binary.LittleEndian.AppendUint64(nil, commit)); err != nil {
				s.log.Warn("commit index not written, keeping the previous one", zap.Uint64("index", commit), telemetry.ErrorField(err))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(commitSaveInterval):
		}
	}
}
