package bench

import (
	"slices"
	"time"

	"github.com/linenscale/linenscale/internal/blockcache"
)

// engine models a back end that batches.
type engine struct {
	name    string
	service string
	slots   int
	speed   float64 // of tokens; 1 is ordinary
	lie     bool    // reports no load
	fails   bool
	down    bool
	cache   *blockcache.Cache
	running int
	waiting []*job
	calls   int
	hit     int
	blocks  int
	loads   []load
}

// load is what the engine had at a time.
type load struct {
	at      time.Time
	running int
	waiting int
}

// job is one request at an engine.
type job struct {
	r     *arrival
	first func(at time.Time)          // the first token leaves
	done  func(at time.Time, ok bool) // the last token leaves, or it failed
}

// Parameters of the model.
const (
	queueAtEngine = 16
	cacheBlocks   = 600
	prefillByte   = 20 * time.Microsecond
	tokenTime     = 10 * time.Millisecond
	// batchSlowing is by what share a full batch slows each token.
	batchSlowing = 0.4
	blockBytes   = 1024
)

// offer takes a request, or refuses it for load.
func (e *engine) offer(w *world, j *job) bool {
	e.calls++
	if e.running >= e.slots && len(e.waiting) >= queueAtEngine {
		return false
	}
	if e.running >= e.slots {
		e.wait(j)
		e.note(w)
		return true
	}
	e.run(w, j)
	return true
}

// wait puts a request into the engine's queue; engines honour priorities.
func (e *engine) wait(j *job) {
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].r.long && !j.r.long {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, j)
}

func (e *engine) run(w *world, j *job) {
	e.running++
	e.note(w)
	hit, evicted := e.cache.Use(j.r.chain)
	e.hit += hit
	e.blocks += len(j.r.chain)
	for _, block := range evicted {
		w.evicted(e, block)
	}
	cold := time.Duration(j.r.bytes-hit*blockBytes) * prefillByte
	crowd := 1 + batchSlowing*float64(e.running)/float64(e.slots)
	pace := time.Duration(float64(tokenTime) * crowd / e.speed)
	first := time.Duration(float64(cold)/e.speed) + pace
	if e.fails || e.down {
		w.at(pace, func() { e.end(w, j, false) })
		return
	}
	w.at(first, func() { j.first(w.time.Now()) })
	w.at(first+pace*time.Duration(j.r.tokens-1), func() { e.end(w, j, true) })
}

func (e *engine) end(w *world, j *job, ok bool) {
	e.running--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.run(w, next)
	}
	e.note(w)
	j.done(w.time.Now(), ok)
}

// note remembers the load for reports that lag.
func (e *engine) note(w *world) {
	e.loads = append(e.loads, load{w.time.Now(), e.running, len(e.waiting)})
	for len(e.loads) > 2 && w.time.Now().Sub(e.loads[1].at) > w.opts.ReportLag {
		e.loads = e.loads[1:]
	}
}

// reported gives the load as of the lag ago.
func (e *engine) reported(w *world) load {
	at := w.time.Now().Add(-w.opts.ReportLag)
	found := load{at: at}
	for _, l := range e.loads {
		if l.at.After(at) {
			break
		}
		found.running, found.waiting = l.running, l.waiting
	}
	if e.lie {
		found.running, found.waiting = 0, 0
	}
	return found
}
