package dispatchbench

import (
	"container/list"
	"time"

	"github.com/linenscale/linenscale/internal/virtual"
)

// EngineModel is how an engine works. The figures are those of the users' engines.
type EngineModel struct {
	Slots        int     // requests in one batch
	Queue        int     // requests that wait for a slot
	Memory       int     // tokens of running requests and kept parts together
	StepMS       float64 // one token of every running request
	StepMSSlot   float64 // longer for each of them
	StepMSKTok   float64 // longer for each 1,000 tokens that they hold
	ReadPerMS    float64 // prompt tokens read in a millisecond
	ReadMSMPairs float64 // longer for each million pairs of tokens attended to
	Chunk        int     // prompt tokens read within one step
	Stride       int     // tokens in one event of a stream
}

// grownEngine is an engine of 16 slots, of which a deployment has some 140.
var grownEngine = EngineModel{
	Slots: 16, Queue: 33, Memory: 200_000, StepMS: 5.47, StepMSSlot: 0.0121, StepMSKTok: 0.023,
	ReadPerMS: 38.7, ReadMSMPairs: 0.737, Chunk: 2048, Stride: 6,
}

// withSpeed gives the model of an engine that does everything so many times as fast.
func (m EngineModel) withSpeed(times float64) EngineModel {
	m.StepMS /= times
	m.StepMSSlot /= times
	m.StepMSKTok /= times
	m.ReadMSMPairs /= times
	m.ReadPerMS *= times
	return m
}

// engine is one incarnation of an engine.
type engine struct {
	EngineModel
	time    *virtual.Time
	id      string // of the incarnation
	address string
	region  string
	speed   float64 // 1 is ordinary
	down    bool
	cold    time.Time // until then
	running []*run
	waiting []*run
	busy    bool // a step is under way
	parts   *partCache
	readTok int // prompt tokens read
	limit   namedLimit
}

// run is one request at an engine.
type run struct {
	r      *arrival
	unread int // prompt tokens still to be read
	length int // tokens in memory
	made   int // tokens given
	event  func()
	end    func(ok bool)
	gone   bool
}

// offer takes a request, or refuses it for load.
func (e *engine) offer(r *arrival, event func(), end func(ok bool)) (*run, bool) {
	if len(e.waiting) >= e.Queue && len(e.running) >= e.Slots {
		return nil, false
	}
	one := &run{r: r, event: event, end: end}
	e.waiting = append(e.waiting, one)
	e.step()
	return one, true
}

// cancel ends a request whose caller has gone.
func (e *engine) cancel(one *run) { one.gone = true }

// crash ends everything that runs.
func (e *engine) crash() {
	e.down = true
	all := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, one := range all {
		if !one.gone {
			one.end(false)
		}
	}
}

// step begins the next step, if there is anything to do.
func (e *engine) step() {
	if e.busy || e.down {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.busy = true
	took := e.StepMS + e.StepMSSlot*float64(len(e.running))
	budget := e.Chunk
	var held int
	var readers []*run
	for _, one := range e.running {
		held += one.length
		if one.unread == 0 || budget == 0 {
			continue
		}
		n := min(one.unread, budget)
		budget -= n
		one.unread -= n
		one.length += n
		e.readTok += n
		took += float64(n)/e.ReadPerMS + e.ReadMSMPairs*float64(n)*float64(one.length)/1e6
		readers = append(readers, one)
	}
	took += e.StepMSKTok * float64(held) / 1000
	e.time.After(time.Duration(took/e.speed*float64(time.Millisecond)), func() { e.stepped(readers) })
}

// admit moves requests from the queue into the batch.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		one := e.waiting[0]
		if !one.gone {
			one.length = e.parts.use(one.r.parts)
			one.unread = one.r.tokensIn - one.length
			e.running = append(e.running, one)
		}
		e.waiting = e.waiting[1:]
	}
	held := 0
	for _, one := range e.running {
		held += one.r.tokensIn + one.made
	}
	e.parts.shrink(e.Memory - held)
}

// stepped ends a step: every stream whose prompt is read has one token more.
func (e *engine) stepped(readers []*run) {
	e.busy = false
	if e.down {
		return
	}
	for _, one := range readers {
		if one.unread == 0 {
			e.parts.keep(one.r.parts)
		}
	}
	left := e.running[:0:0]
	for _, one := range e.running {
		if one.gone {
			continue
		}
		if one.unread == 0 {
			one.made++
			one.length++
			if one.made%e.Stride == 1 || one.made == one.r.tokensOut {
				one.event()
			}
		}
		if one.made >= one.r.tokensOut && one.unread == 0 {
			one.end(true)
			continue
		}
		left = append(left, one)
	}
	e.running = left
	e.step()
}

// partCache holds the parts of prompts that an engine keeps; the one used least
// recently goes first.
type partCache struct {
	order *list.List // of *keptPart, most recently used first
	at    map[string]*list.Element
	held  int
}

type keptPart struct {
	id     string
	tokens int
}

func newPartCache() *partCache {
	return &partCache{order: list.New(), at: make(map[string]*list.Element)}
}

// use gives how many tokens of a prompt's beginning are kept.
func (c *partCache) use(parts []part) int {
	n := 0
	for _, p := range parts {
		element, ok := c.at[p.id]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		n += p.tokens
	}
	return n
}

// keep keeps all parts of a prompt.
func (c *partCache) keep(parts []part) {
	for _, p := range parts {
		if element, ok := c.at[p.id]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.at[p.id] = c.order.PushFront(&keptPart{p.id, p.tokens})
		c.held += p.tokens
	}
}

// shrink forgets parts until they fit.
func (c *partCache) shrink(room int) {
	for c.held > room && c.order.Len() > 0 {
		last := c.order.Remove(c.order.Back()).(*keptPart)
		delete(c.at, last.id)
		c.held -= last.tokens
	}
}
