package dispatchbench

import (
	"container/list"
	"time"

	"github.com/linenscale/linenscale/internal/virtual"
)

// EngineModel describes the capacity and the speed of an engine. The values that the
// simulations use are those of the users' engines.
type EngineModel struct {
	Slots            int     // requests in one batch
	QueueSize        int     // requests that may wait for a slot
	MemoryTokens     int     // tokens of running requests and cached blocks together
	StepMS           float64 // duration of a step that generates one token for each stream
	StepMSPerRequest float64 // additional duration per running request
	StepMSPerKToken  float64 // additional duration per 1,000 tokens of running requests in memory
	ReadTokensPerMS  float64 // prompt tokens read per millisecond
	ReadMSPerMPairs  float64 // additional read time per million pairs of tokens (attention)
	ReadChunk        int     // prompt tokens read per step at most
	EventTokens      int     // tokens per event of a stream
}

// defaultEngine is an engine with 16 slots. A deployment has about 140 of them.
var defaultEngine = EngineModel{
	Slots: 16, QueueSize: 33, MemoryTokens: 200_000, StepMS: 5.47, StepMSPerRequest: 0.0121, StepMSPerKToken: 0.023,
	ReadTokensPerMS: 38.7, ReadMSPerMPairs: 0.737, ReadChunk: 2048, EventTokens: 6,
}

// withSpeed returns the model of an engine that reads prompts and runs steps faster by the
// given factor.
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
	clock         *virtual.Scheduler
	id            string // of the incarnation
	address       string
	region        string
	speed         float64 // relative to the model; 1 is normal
	down          bool
	coldUntil     time.Time
	running       []*activeRequest
	waiting       []*activeRequest
	stepping      bool // a step is running
	cache         *blockCache
	tokensRead    int           // of prompts
	measuredUntil time.Time     // end of the arrivals
	busy          time.Duration // before that
	limit         announcedLimit
}

// activeRequest is a request that an engine queues or runs.
type activeRequest struct {
	arrival      *arrival
	unread       int // prompt tokens not read yet
	memoryTokens int // prompt and output tokens in memory
	generated    int // output tokens
	onEvent      func()
	onEnd        func(ok bool)
	cancelled    bool
}

// submit queues a request. It returns false if the engine rejects the request because its
// queue and its slots are full. onEvent is called for each event of the answer, and onEnd
// at its end.
func (e *engine) submit(a *arrival, onEvent func(), onEnd func(ok bool)) (*activeRequest, bool) {
	if len(e.waiting) >= e.QueueSize && len(e.running) >= e.Slots {
		return nil, false
	}
	request := &activeRequest{arrival: a, onEvent: onEvent, onEnd: onEnd}
	e.waiting = append(e.waiting, request)
	e.startStep()
	return request, true
}

// cancel ends a request whose caller has disconnected.
func (e *engine) cancel(request *activeRequest) { request.cancelled = true }

// crash ends the engine with all its requests.
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

// startStep starts the next step unless one is running or there is no request.
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
	var readers []*activeRequest
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
	step := time.Duration(milliseconds / e.speed * float64(time.Millisecond))
	if e.clock.Now().Before(e.measuredUntil) {
		e.busy += step
	}
	e.clock.After(step, func() { e.endStep(readers) })
}

// fillBatch moves requests from the queue to free slots, and evicts cached blocks that no
// longer fit.
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

// endStep ends a step: each stream whose prompt has been read gets one token.
func (e *engine) endStep(readers []*activeRequest) {
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

// blockCache is an engine's cache of prompt blocks, with least-recently-used eviction.
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

// lookup returns the number of tokens at the beginning of a prompt that are cached, and
// marks their blocks as used.
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

// insert adds all blocks of a prompt.
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

// evict removes the least recently used blocks until the rest fits the capacity.
func (c *blockCache) evict(capacity int) {
	for c.tokens > capacity && c.recent.Len() > 0 {
		oldest := c.recent.Remove(c.recent.Back()).(*cachedBlock)
		delete(c.byID, oldest.id)
		c.tokens -= oldest.tokens
	}
}
