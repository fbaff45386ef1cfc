package telemetry

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

// Bounds of a Bounded writer.
const (
	// flushEvery is how long a line may wait, and with flushBytes bounds what
	// is written in a second to 1.25 MB.
	flushEvery = 100 * time.Millisecond
	flushBytes = 128 << 10
)

// Bounded takes log lines without ever waiting for whoever reads them. Lines
// that don't fit until the next flush are dropped and counted. NewBounded makes
// one; Run writes.
type Bounded struct {
	to io.Writer

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int
}

var _ zapcore.WriteSyncer = (*Bounded)(nil)

// NewBounded makes a writer to to.
func NewBounded(to io.Writer) *Bounded { return &Bounded{to: to} }

// Write implements io.Writer; it takes one line and never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting)+len(line) > flushBytes {
		b.dropped++
		return len(line), nil
	}
	b.waiting = append(b.waiting, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer: it writes what waits.
func (b *Bounded) Sync() error {
	b.mu.Lock()
	out, dropped := b.waiting, b.dropped
	b.waiting, b.spare, b.dropped = b.spare[:0], nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		out = append(out, "level=warn msg=\"log lines dropped\" count="+strconv.Itoa(dropped)+"\n"...)
	}
	var err error
	if len(out) > 0 {
		_, err = b.to.Write(out)
	}
	b.mu.Lock()
	b.spare = out
	b.mu.Unlock()
	return err
}

// Run writes what waits at regular times until ctx ends, and once more then.
func (b *Bounded) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return b.Sync()
		case <-ticker.C:
			_ = b.Sync() // whoever read the log has gone: there is no one to tell
		}
	}
}
