package dispatchbench

import (
	"container/list"
	"time"

	"github.com/linenscale/linenscale/internal/virtual"
)

// EngineModel is how an engine works. The figures are those of the users' engines.
type EngineModel struct {
	Slots            int     // requests in one batch
	QueueSize        int     // requests that wait for a slot
	MemoryTokens     int     // tokens of running requests and kept parts together
	StepMS           float64 // one token of every running request
	StepMSPerRequest float64 // longer for each of them
	StepMSPerKToken  float64 // longer for each 1,000 tokens that they hold
	ReadTokensPerMS  float64 // prompt tokens read in a millisecond
	ReadMSPerMPairs  float64 // longer for each million pairs of tokens attended to
	ReadChunk        int     // prompt tokens read within one step
	EventTokens      int     // tokens in one event of a stream
}

// defaultEngine is an engine of 16 slots, of which a deployment has some 140.
var defaultEngine = EngineModel{
	Slots: 16, QueueSize: 33, MemoryTokens: 200_000, StepMS: 5.47, StepMSPerRequest: 0.0121, StepMSPerKToken: 0.023,
	ReadTokensPerMS: 38.7, ReadMSPerMPairs: 0.737, ReadChunk: 2048, EventTokens: 6,
}

// withSpeed gives the model of an engine that does everything so many times as fast.
func (m EngineModel) withSpeed(factor float64) EngineModel {
	m.StepMS /= factor
	m.StepMSPerRequest /= factor
	m.StepMSPerKToken /= factor
	m.ReadMSPerMPairs /= factor
	m.ReadTokensPerMS *= factor
	return m
}

// engine is one incarnation of an engine.
type engine struct {
	EngineModel
	clock      *virtual.Time
	id         string // of the incarnation
	address    string
	region     string
	speed      float64 // 1 is ordinary
	down       bool
	coldUntil  time.Time // until then
	running    []*run
	waiting    []*run
	stepping   bool // a step is under way
	cache      *blockCache
	tokensRead int // prompt tokens read
	limit      announcedLimit
}

// run is one request at an engine.
type run struct {
	arrival      *arrival
	unread       int // prompt tokens still to be read
	memoryTokens int // tokens in memory
	generated    int // tokens given
	onEvent      func()
	onEnd        func(ok bool)
	cancelled    bool
}

// submit takes a request, or refuses it for load.
func (e *engine) submit(a *arrival, event func(), end func(ok bool)) (*run, bool) {
	if len(e.waiting) >= e.QueueSize && len(e.running) >= e.Slots {
		return nil, false
	}
	request := &run{arrival: a, onEvent: event, onEnd: end}
	e.waiting = append(e.waiting, request)
	e.startStep()
	return request, true
}

// cancel ends a request whose caller has gone.
func (e *engine) cancel(request *run) { request.cancelled = true }

// crash ends everything that runs.
func (e *engine) crash() {
	e.down = true
	requests := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, request := range requests {
		if !request.cancelled {
			request.onEnd(false)
		}
	}
}

// startStep begins the next step, if there is anything to do.
func (e *engine) startStep() {
	if e.stepping || e.down {
		return
	}
	e.fillBatch()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	milliseconds := e.StepMS + e.StepMSPerRequest*float64(len(e.running))
	budget := e.ReadChunk
	var memoryTokens int
	var readers []*run
	for _, request := range e.running {
		memoryTokens += request.memoryTokens
		if request.unread == 0 || budget == 0 {
			continue
		}
		n := min(request.unread, budget)
		budget -= n
		request.unread -= n
		request.memoryTokens += n
		e.tokensRead += n
		milliseconds += float64(n)/e.ReadTokensPerMS + e.ReadMSPerMPairs*float64(n)*float64(request.memoryTokens)/1e6
		readers = append(readers, request)
	}
	milliseconds += e.StepMSPerKToken * float64(memoryTokens) / 1000
	e.clock.After(time.Duration(milliseconds/e.speed*float64(time.Millisecond)), func() { e.endStep(readers) })
}

// fillBatch moves requests from the queue into the batch.
func (e *engine) fillBatch() {
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		request := e.waiting[0]
		if !request.cancelled {
			request.memoryTokens = e.cache.lookup(request.arrival.blocks)
			request.unread = request.arrival.tokensIn - request.memoryTokens
			e.running = append(e.running, request)
		}
		e.waiting = e.waiting[1:]
	}
	memoryTokens := 0
	for _, request := range e.running {
		memoryTokens += request.arrival.tokensIn + request.generated
	}
	e.cache.evict(e.MemoryTokens - memoryTokens)
}

// endStep ends a step: every stream whose prompt is read has one token more.
func (e *engine) endStep(readers []*run) {
	e.stepping = false
	if e.down {
		return
	}
	for _, request := range readers {
		if request.unread == 0 {
			e.cache.insert(request.arrival.blocks)
		}
	}
	remaining := e.running[:0:0]
	for _, request := range e.running {
		if request.cancelled {
			continue
		}
		if request.unread == 0 {
			request.generated++
			request.memoryTokens++
			if request.generated%e.EventTokens == 1 || request.generated == request.arrival.tokensOut {
				request.onEvent()
			}
		}
		if request.generated >= request.arrival.tokensOut && request.unread == 0 {
			request.onEnd(true)
			continue
		}
		remaining = append(remaining, request)
	}
	e.running = remaining
	e.startStep()
}

// blockCache holds the parts of prompts that an engine keeps; the one used least
// recently goes first.
type blockCache struct {
	recent *list.List // of *cachedBlock, most recently used first
	byID   map[string]*list.Element
	tokens int
}

type cachedBlock struct {
	id     string
	tokens int
}

func newBlockCache() *blockCache {
	return &blockCache{recent: list.New(), byID: make(map[string]*list.Element)}
}

// lookup gives how many tokens of a prompt's beginning are kept.
func (c *blockCache) lookup(blocks []block) int {
	tokens := 0
	for _, b := range blocks {
		element, ok := c.byID[b.id]
		if !ok {
			break
		}
		c.recent.MoveToFront(element)
		tokens += b.tokens
	}
	return tokens
}

// insert keeps all parts of a prompt.
func (c *blockCache) insert(blocks []block) {
	for _, b := range blocks {
		if element, ok := c.byID[b.id]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.byID[b.id] = c.recent.PushFront(&cachedBlock{b.id, b.tokens})
		c.tokens += b.tokens
	}
}

// evict forgets parts until they fit.
func (c *blockCache) evict(capacity int) {
	for c.tokens > capacity && c.recent.Len() > 0 {
		oldest := c.recent.Remove(c.recent.Back()).(*cachedBlock)
		delete(c.byID, oldest.id)
		c.tokens -= oldest.tokens
	}
}
