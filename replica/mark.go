// This file defines how a replica remembers how much of its log is committed.

package replica

import (
	"context"
	"encoding/binary"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/telemetry"
)

// A mark is the index up to which the log was known to be committed. A replica
// that starts again applies its log up to there at once, without waiting for a
// leader to be found: what is committed stays so. The mark may be old or lost,
// which only means that less is applied before there is a leader; so it is
// written beside the log, after the fact, by a duty of its own.
const commitFileName = "commit"

// commitSaveInterval bounds how often a mark is written.
const commitSaveInterval = 200 * time.Millisecond

// commitIndexSaver writes marks. openCommitIndexSaver makes one; run writes.
type commitIndexSaver struct {
	pair   *disk.Pair
	log    *zap.Logger
	pending chan uint64 // holds one
	lastIndex   uint64
}

// openCommitIndexSaver gives the newest mark too, 0 where there is none.
func openCommitIndexSaver(folder disk.Folder, log *zap.Logger) (*commitIndexSaver, uint64) {
	pair, data := disk.OpenPair(folder, commitFileName)
	m := &commitIndexSaver{pair: pair, log: log, pending: make(chan uint64, 1)}
	if len(data) != binary.Size(m.lastIndex) {
		return m, 0
	}
	return m, binary.LittleEndian.Uint64(data)
}

// save asks for a mark; only the replica's goroutine calls it.
func (m *commitIndexSaver) save(commit uint64) {
	if commit <= m.lastIndex {
		return
	}
	m.lastIndex = commit
	select {
	case <-m.pending: // an older one that has not been written
	default:
	}
	m.pending <- commit
}

// run writes the newest mark until ctx ends.
func (m *commitIndexSaver) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case commit := <-m.pending:
			if err := m.pair.Write(binary.LittleEndian.AppendUint64(nil, commit)); err != nil {
				m.log.Warn("commit index not marked", zap.Uint64("index", commit), telemetry.Cause(err))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(commitSaveInterval):
		}
	}
}
