// Package width limits how much passes between two regions a second, for all traffic together.
// Stand-ins for the network between regions share one Ways.
package width

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Usual is the width between two regions each way, in bits a second, where users tell no other.
const Usual = 2e9

// burst is how many bytes pass at once: what a router's queue holds. No single write is larger.
const burst = 64 << 10

// Ways are the ways between regions, each direction its own. It is safe for concurrent use. New
// makes one.
type Ways struct {
	bytes float64 // a second, each way
	mu    sync.Mutex
	ways  map[[2]string]*rate.Limiter
}

// New makes ways of that width in bits a second; 0 for no bound.
func New(bits float64) *Ways {
	return &Ways{bytes: bits / 8, ways: make(map[[2]string]*rate.Limiter)}
}

// way gives one direction between two regions; nil where it has no bound.
func (w *Ways) way(from, to string) *rate.Limiter {
	if w.bytes <= 0 || from == to {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	key := [2]string{from, to}
	one, known := w.ways[key]
	if !known {
		one = rate.NewLimiter(rate.Limit(w.bytes), burst)
		w.ways[key] = one
	}
	return one
}

// Pass waits until so many bytes of a connection have their turn. The error says that ctx ended.
func (w *Ways) Pass(ctx context.Context, from, to string, bytes int) error {
	if one := w.way(from, to); one != nil {
		return one.WaitN(ctx, min(bytes, burst))
	}
	return nil
}

// Takes tells whether a datagram of so many bytes passes: a full way drops it.
func (w *Ways) Takes(from, to string, bytes int) bool {
	one := w.way(from, to)
	return one == nil || one.AllowN(time.Now(), min(bytes, burst))
}
