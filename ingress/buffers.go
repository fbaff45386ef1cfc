// This file bounds the memory that bodies and answers of slow callers and engines take.

package ingress

import (
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

// DefaultBufferBytes bounds the buffers of a host whose memory the settings don't state.
const DefaultBufferBytes = 96 << 20

// BufferBytesFor returns the bound on the buffers of a host with so much memory: a quarter.
// Go's heap may be one and a half times as large as what is in use, and the rest of the
// process needs its part.
func BufferBytesFor(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return DefaultBufferBytes
	}
	return memoryBytes / 4
}

// errBuffersFull means that the buffers of all requests together are at their bound.
var errBuffersFull = errors.New("the buffers of this gateway are full")

// bufferBudget counts the bytes that all requests buffer together. They are counted before
// they are allocated: a caller that sends slowly holds its buffer for as long as it wants.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes and reports whether they are available.
func (b *bufferBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) <= b.limit {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

// share returns the fraction of the limit that is in use.
func (b *bufferBudget) share() float64 { return float64(b.used.Load()) / float64(b.limit) }

func (b *bufferBudget) release(n int) { b.used.Add(-int64(n)) }

// firstBuffer is the initial size of a buffer for data of unknown length.
const firstBuffer = 4 << 10

// buffer is data that counts against a budget until release is called.
type buffer struct {
	budget   *bufferBudget
	reserved int
	data     []byte
}

// read reads up to limit bytes of src. length is the expected number, or -1 if unknown. The
// error is errBuffersFull if the budget doesn't suffice; data then has what was read.
func (b *buffer) read(src io.Reader, length int64, limit int) error {
	size := firstBuffer
	if length >= 0 {
		size = int(min(length, int64(limit))) + 1 // a byte to find the end without growing
	}
	for len(b.data) < limit {
		if len(b.data) == cap(b.data) {
			if !b.grow(min(size, limit)) {
				return errBuffersFull
			}
			size = 2 * cap(b.data)
		}
		n, err := src.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// grow enlarges the buffer to size bytes if the budget suffices.
func (b *buffer) grow(size int) bool {
	if !b.budget.reserve(size - b.reserved) {
		return false
	}
	b.reserved = size
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return true
}

// release returns the reserved bytes to the budget.
func (b *buffer) release() {
	b.budget.release(b.reserved)
	b.reserved = 0
}
