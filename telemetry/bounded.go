package telemetry

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

// Bounds of a BoundedWriter.
const (
	// flushInterval is how long a line may stay in the buffer. Together with
	// maxBufferedBytes it bounds the output to 1.25 MB per second.
	flushInterval    = 100 * time.Millisecond
	maxBufferedBytes = 128 << 10
)

// BoundedWriter is a writer for log lines that never blocks on a slow reader of the log. It
// buffers the lines; Run flushes them. Lines that don't fit into the buffer before the
// next flush are dropped and counted. NewBoundedWriter creates one.
type BoundedWriter struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
}

var _ zapcore.WriteSyncer = (*BoundedWriter)(nil)

// NewBoundedWriter returns a BoundedWriter that flushes to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter { return &BoundedWriter{out: out} }

// Write implements io.Writer. line is one log line. It never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buffer)+len(line) > maxBufferedBytes {
		b.dropped++
		return len(line), nil
	}
	b.buffer = append(b.buffer, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer: it flushes the buffer and reports dropped lines.
func (b *BoundedWriter) Sync() error {
	b.mu.Lock()
	out, dropped := b.buffer, b.dropped
	b.buffer, b.spare, b.dropped = b.spare[:0], nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		out = append(out, "level=warn msg=\"log lines dropped\" count="+strconv.Itoa(dropped)+"\n"...)
	}
	var err error
	if len(out) > 0 {
		_, err = b.out.Write(out)
	}
	b.mu.Lock()
	b.spare = out
	b.mu.Unlock()
	return err
}

// Run flushes the buffer at regular intervals until ctx ends, and then once more.
func (b *BoundedWriter) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return b.Sync()
		case <-ticker.C:
			_ = b.Sync() // the log itself failed, so the error can't be logged
		}
	}
}
