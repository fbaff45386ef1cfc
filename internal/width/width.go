// Package width limits the bandwidth between two regions for all their traffic together.
// The stand-ins for the network between regions share one Links.
package width

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// DefaultBitsPerSecond is the default bandwidth between two regions in each direction, in
// bits per second. It applies where users specify none.
const DefaultBitsPerSecond = 2e9

// burstBytes is how many bytes may pass at once: the capacity of a router's queue. No
// single write is larger.
const burstBytes = 64 << 10

// Links limits the links between regions, with a separate limit for each direction. It is
// safe for concurrent use. Create it with New.
type Links struct {
	bytesPerSecond float64 // per direction; 0 means no limit
	mu             sync.Mutex
	limiters       map[[2]string]*rate.Limiter
}

// New returns links of the given bandwidth in bits per second; 0 means no limit.
func New(bits float64) *Links {
	return &Links{bytesPerSecond: bits / 8, limiters: make(map[[2]string]*rate.Limiter)}
}

// limiter returns the limiter of one direction between two regions, or nil if that
// direction is unlimited, as traffic within a region is.
func (w *Links) limiter(from, to string) *rate.Limiter {
	if w.bytesPerSecond <= 0 || from == to {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	key := [2]string{from, to}
	limiter, ok := w.limiters[key]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(w.bytesPerSecond), burstBytes)
		w.limiters[key] = limiter
	}
	return limiter
}

// Wait blocks until the link has bandwidth for so many bytes of a connection. It returns
// an error if ctx ends first or its deadline is too early.
func (w *Links) Wait(ctx context.Context, from, to string, bytes int) error {
	if limiter := w.limiter(from, to); limiter != nil {
		return limiter.WaitN(ctx, min(bytes, burstBytes))
	}
	return nil
}

// Allow reports whether the link has bandwidth for a datagram of so many bytes now. A
// datagram that doesn't pass is dropped, as by a router whose queue is full.
func (w *Links) Allow(from, to string, bytes int) bool {
	limiter := w.limiter(from, to)
	return limiter == nil || limiter.AllowN(time.Now(), min(bytes, burstBytes))
}
