package bench

import (
	"slices"
	"time"

	"github.com/linenscale/linenscale/internal/blockcache"
)

// engine models an engine with continuous batching: a batch of slots, a bounded queue and
// a prefix cache.
type engine struct {
	name         string
	service      string
	slots        int
	speed        float64 // relative token throughput; 1 is normal
	hidesLoad    bool    // reports no load
	failing      bool
	down         bool
	cache        *blockcache.Cache
	running      int
	waiting      []*job
	calls        int
	hitBlocks    int
	promptBlocks int
	loadHistory  []load
}

// load is the number of running and queued requests of an engine at one time.
type load struct {
	at      time.Time
	running int
	waiting int
}

// job is one attempt of a request at an engine.
type job struct {
	arrival      *arrival
	onFirstToken func(at time.Time)          // the first token was sent
	onDone       func(at time.Time, ok bool) // the last token was sent, or the attempt failed
}

// Parameters of the model.
const (
	engineQueueLimit = 16
	cacheBlocks      = 600
	prefillPerByte   = 20 * time.Microsecond
	tokenTime        = 10 * time.Millisecond
	// fullBatchSlowdown is the share by which a full batch increases the time per token.
	fullBatchSlowdown = 0.4
	blockBytes        = 1024
)

// offer starts or queues a request. It returns false if the batch and the queue are full.
func (e *engine) offer(w *world, j *job) bool {
	e.calls++
	if e.running >= e.slots && len(e.waiting) >= engineQueueLimit {
		return false
	}
	if e.running >= e.slots {
		e.enqueue(j)
		e.recordLoad(w)
		return true
	}
	e.start(w, j)
	return true
}

// enqueue adds a request to the engine's queue. Engines honour priorities: quick requests
// come before long ones.
func (e *engine) enqueue(j *job) {
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].arrival.long && !j.arrival.long {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, j)
}

func (e *engine) start(w *world, j *job) {
	e.running++
	e.recordLoad(w)
	hit, evicted := e.cache.Use(j.arrival.chain)
	e.hitBlocks += hit
	e.promptBlocks += len(j.arrival.chain)
	for _, block := range evicted {
		w.reportEviction(e, block)
	}
	prefill := time.Duration(j.arrival.bytes-hit*blockBytes) * prefillPerByte
	slowdown := 1 + fullBatchSlowdown*float64(e.running)/float64(e.slots)
	perToken := time.Duration(float64(tokenTime) * slowdown / e.speed)
	first := time.Duration(float64(prefill)/e.speed) + perToken
	if e.failing || e.down {
		w.after(perToken, func() { e.finish(w, j, false) })
		return
	}
	w.after(first, func() { j.onFirstToken(w.time.Now()) })
	w.after(first+perToken*time.Duration(j.arrival.tokens-1), func() { e.finish(w, j, true) })
}

func (e *engine) finish(w *world, j *job, ok bool) {
	e.running--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(w, next)
	}
	e.recordLoad(w)
	j.onDone(w.time.Now(), ok)
}

// recordLoad appends the current load to the history, which it limits to what delayed
// reports need.
func (e *engine) recordLoad(w *world) {
	e.loadHistory = append(e.loadHistory, load{w.time.Now(), e.running, len(e.waiting)})
	for len(e.loadHistory) > 2 && w.time.Now().Sub(e.loadHistory[1].at) > w.opts.ReportLag {
		e.loadHistory = e.loadHistory[1:]
	}
}

// laggedLoad returns the load that the engine reports now: its load ReportLag ago, or
// none if it hides its load.
func (e *engine) laggedLoad(w *world) load {
	at := w.time.Now().Add(-w.opts.ReportLag)
	lagged := load{at: at}
	for _, l := range e.loadHistory {
		if l.at.After(at) {
			break
		}
		lagged.running, lagged.waiting = l.running, l.waiting
	}
	if e.hidesLoad {
		lagged.running, lagged.waiting = 0, 0
	}
	return lagged
}
