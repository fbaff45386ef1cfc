package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/linenscale/linenscale/gateway"
	"github.com/linenscale/linenscale/internal/blockcache"
	"github.com/linenscale/linenscale/relay"
)

// Fault is a fault that an engine or plain service shows on command.
type Fault string

// The faults. A plain service shows only FaultStall, FaultCrash, FaultDisconnect,
// FaultDuplicate and FaultLate.
const (
	FaultNone         Fault = ""
	FaultDisconnect   Fault = "cut"      // break the connection halfway; the stream can be resumed
	FaultCrash        Fault = "die"      // break the connection halfway; the stream can't be resumed
	FaultTruncate     Fault = "end"      // end a stream cleanly, but halfway and without its last event
	FaultStall        Fault = "stall"    // stop sending halfway, with the connection open
	FaultReject       Fault = "refuse"   // reject the request as not run
	FaultError        Fault = "error"    // answer with status 500 after running the request
	FaultLate         Fault = "late"     // answer after lateDelay
	FaultDuplicate    Fault = "twice"    // send the answer twice
	FaultWrongAttempt Fault = "crossed"  // answer with the ID of another attempt
	FaultGarbage      Fault = "garbage"  // send data that isn't JSON
	FaultShortBody    Fault = "shortlen" // announce more bytes than are sent
)

// EngineOptions configures a stand-in engine. Zero fields take the defaults.
type EngineOptions struct {
	Name           string
	Slots          int           // requests that run at once, in one batch; default 8
	QueueLimit     int           // requests that may wait for a slot; default 16
	FirstToken     time.Duration // time to the first token if the whole prompt is cached; default 2ms
	TokenTime      time.Duration // between tokens of a stream; default 1ms
	Tokens         int           // length of an answer if the request names none; default 8
	PrefillPerByte time.Duration // prefill time for each byte of the prompt that isn't cached
	CacheBlocks    int           // capacity of the prefix cache in prompt blocks; default 4096
	ReportLag      time.Duration // age of the load in a load report
	EventLoss      float64       // share of cache events that are lost, 0 to 1
	Seed           uint64
}

// Engine is a stand-in model engine with a bounded queue, a fixed number of slots and a
// prefix cache. It is an http.Handler and is safe for concurrent use. NewEngine makes one.
type Engine struct {
	opts   EngineOptions
	router *httprouter.Router
	slots  chan struct{}

	mu          sync.Mutex
	random      *rand.Rand
	waiting     int
	running     int
	fault       Fault
	faultsLeft  int // how many more requests the fault affects; negative for all
	loadHistory []loadSample
	cache       *blockcache.Cache
	events      []uint64 // blocks evicted since the last poll
	streams     map[string]*stream
	stats       EngineStats
	orders      orders
	limit       string // rate limit that its answers announce, in requests a second; "" for none
	backoff     string // Retry-After of its rejections, while it rejects all requests; else ""
	draining    bool   // its answers announce that it drains
}

// EngineStats counts the requests of an engine, and how many blocks of their prompts were
// cached.
type EngineStats struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Refused   int `json:"refused"`
	HitBlocks int `json:"hit_blocks"`
	Blocks    int `json:"blocks"`
}

type loadSample struct {
	at               time.Time
	running, waiting int
}

// NewEngine returns an engine without load, cached blocks or faults.
func NewEngine(opts EngineOptions) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts:    opts,
		slots:   make(chan struct{}, opts.Slots),
		random:  rand.New(rand.NewPCG(opts.Seed, 1)),
		cache:   blockcache.New(opts.CacheBlocks),
		streams: make(map[string]*stream),
	}
	r := httprouter.New()
	r.POST("/v1/chat/completions", e.handleCompletion)
	r.POST("/v1/completions", e.handleCompletion)
	r.GET("/engine/streams/:id", e.handleResume)
	r.GET("/engine/load", e.handleLoad)
	r.GET("/engine/events", e.handleCacheEvents)
	r.GET("/engine/stats", e.handleStats)
	r.POST("/engine/fault", e.handleFault)
	r.POST("/engine/order", e.handleOrder)
	e.router = r
	return e
}

func (o EngineOptions) withDefaults() EngineOptions {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = 16
	}
	if o.FirstToken == 0 {
		o.FirstToken = 2 * time.Millisecond
	}
	if o.TokenTime == 0 {
		o.TokenTime = time.Millisecond
	}
	if o.Tokens == 0 {
		o.Tokens = 8
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = 4096
	}
	return o
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	limit, leaving := e.limit, e.draining
	e.mu.Unlock()
	if limit != "" {
		w.Header().Set(relay.HeaderRateLimit, limit)
	}
	if leaving {
		w.Header().Set(relay.HeaderDraining, "true")
	}
	e.router.ServeHTTP(w, r)
}

// SetRateLimit makes answers announce a rate limit in requests a second; "" for none.
func (e *Engine) SetRateLimit(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// SetBackoff makes the engine reject all requests and ask for backoff, where rest is the
// value of the Retry-After header. With "" it accepts requests again.
func (e *Engine) SetBackoff(rest string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.backoff = rest
}

// SetDraining sets whether answers announce that the engine drains.
func (e *Engine) SetDraining(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = leaving
}

// Stats returns the counts so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// SetFault injects a fault into the next n requests, or into all further ones if n is
// negative.
func (e *Engine) SetFault(fault Fault, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault, e.faultsLeft = fault, n
}

func (e *Engine) nextFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faultsLeft == 0 {
		return FaultNone
	}
	if e.faultsLeft > 0 {
		e.faultsLeft--
	}
	return e.fault
}

type completionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	w.Header().Set(relay.HeaderAttempt, r.Header.Get(relay.HeaderAttempt))
	fault := e.nextFault()
	if retryAfter := e.backoffAsked(); retryAfter != "" {
		e.reject(w, retryAfter)
		return
	}
	if fault == FaultReject || !e.enqueue() {
		e.reject(w, queueFullBackoff)
		return
	}
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		e.dequeue()
		http.Error(w, `{"error":{"message":"bad request"}}`, http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		e.dequeue()
		return
	}
	e.markStarted()
	defer e.markEnded(r.Context())
	if !sleep(r.Context(), e.prefill(req)) {
		return
	}
	e.answer(w, r, req, fault)
}

// enqueue adds a request to the queue; false if the queue is full.
func (e *Engine) enqueue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting >= e.opts.QueueLimit {
		e.stats.Refused++
		return false
	}
	e.waiting++
	e.recordLoad()
	return true
}

func (e *Engine) dequeue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	e.recordLoad()
}

func (e *Engine) markStarted() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	e.running++
	e.stats.Started++
	e.recordLoad()
}

func (e *Engine) markEnded(ctx context.Context) {
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if ctx.Err() != nil {
		e.stats.Cancelled++
	} else {
		e.stats.Finished++
	}
	e.recordLoad()
}

// prefill returns the time to the first token, and adds the prompt to the prefix cache.
func (e *Engine) prefill(req completionRequest) time.Duration {
	prompt := req.Messages
	if len(prompt) == 0 {
		prompt = req.Prompt
	}
	chain := gateway.PrefixChain(prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	hit, evicted := e.cache.Use(chain)
	e.stats.HitBlocks += hit
	e.stats.Blocks += len(chain)
	for _, block := range evicted {
		if e.random.Float64() >= e.opts.EventLoss {
			e.events = append(e.events, block)
		}
	}
	coldBytes := len(prompt)
	if len(chain) > 0 {
		coldBytes = len(prompt) * (len(chain) - hit) / len(chain)
	}
	return e.opts.FirstToken + time.Duration(coldBytes)*e.opts.PrefillPerByte
}

// queueFullBackoff is the Retry-After of an engine whose queue is full, in seconds.
const queueFullBackoff = "1"

// backoffAsked returns the backoff to ask for, "" for none. If there is one, it counts a
// rejected request.
func (e *Engine) backoffAsked() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.backoff != "" {
		e.stats.Refused++
	}
	return e.backoff
}

func (e *Engine) reject(w http.ResponseWriter, retryAfter string) {
	w.Header().Set(relay.HeaderNotRun, "true")
	w.Header().Set("Retry-After", retryAfter)
	w.WriteHeader(http.StatusTooManyRequests)
}

// answer writes the answer, with the effects of the fault.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, req completionRequest, fault Fault) {
	switch fault {
	case FaultError:
		http.Error(w, `{"error":{"message":"engine fault"}}`, http.StatusInternalServerError)
		return
	case FaultWrongAttempt:
		w.Header().Set(relay.HeaderAttempt, "another-attempt")
	case FaultLate:
		if !sleep(r.Context(), lateDelay) {
			return
		}
	}
	tokens := req.MaxTokens
	if tokens <= 0 {
		tokens = e.opts.Tokens
	}
	if req.Stream {
		e.answerStream(w, r, req, tokens, fault)
		return
	}
	e.answerWhole(w, r, req, tokens, fault)
}

// lateDelay is by how much FaultLate delays an answer.
const lateDelay = 3 * time.Second

func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, req completionRequest, tokens int, fault Fault) {
	if !sleep(r.Context(), time.Duration(tokens)*e.opts.TokenTime) {
		return
	}
	body, _ := json.Marshal(wholeAnswer(e.opts.Name, req.Model, tokens))
	w.Header().Set("Content-Type", "application/json")
	switch fault {
	case FaultGarbage:
		body = append([]byte("\x00not json"), body...)
	case FaultDuplicate:
		body = append(body, body...)
	case FaultDisconnect, FaultCrash, FaultTruncate, FaultShortBody:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case FaultStall:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		return
	}
	_, _ = w.Write(body)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mu.Lock()
	sample := loadSample{at: time.Now(), running: e.running, waiting: e.waiting}
	if e.opts.ReportLag > 0 {
		sample = e.loadAt(sample.at.Add(-e.opts.ReportLag))
	}
	e.mu.Unlock()
	writeJSON(w, map[string]any{"running": sample.running, "waiting": sample.waiting, "at": sample.at})
}

// recordLoad stores the current load for reports that lag by ReportLag. e.mu is held.
func (e *Engine) recordLoad() {
	if e.opts.ReportLag == 0 {
		return
	}
	now := time.Now()
	e.loadHistory = append(e.loadHistory, loadSample{now, e.running, e.waiting})
	for len(e.loadHistory) > 1 && now.Sub(e.loadHistory[1].at) > e.opts.ReportLag {
		e.loadHistory = e.loadHistory[1:]
	}
}

func (e *Engine) loadAt(at time.Time) loadSample {
	found := loadSample{at: at}
	for _, sample := range e.loadHistory {
		if sample.at.After(at) {
			break
		}
		found.running, found.waiting = sample.running, sample.waiting
	}
	return found
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mu.Lock()
	events := e.events
	e.events = nil
	e.mu.Unlock()
	writeJSON(w, map[string]any{"evicted": events})
}

func (e *Engine) handleStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, e.Stats())
}

func (e *Engine) handleFault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	n, err := strconv.Atoi(r.URL.Query().Get("n"))
	if err != nil {
		http.Error(w, "n must be a number", http.StatusBadRequest)
		return
	}
	e.SetFault(Fault(r.URL.Query().Get("fault")), n)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func wholeAnswer(engine, model string, tokens int) any {
	return map[string]any{
		"id": "chatcmpl-" + engine, "object": "chat.completion", "created": time.Now().Unix(), "model": model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]any{"role": "assistant", "content": answerText(engine, tokens)},
		}},
		"usage": map[string]any{"prompt_tokens": 1, "completion_tokens": tokens, "total_tokens": tokens + 1},
	}
}

// answerText returns the text of an answer. Its tokens are numbered, so that missing and
// duplicate ones can be seen.
func answerText(engine string, tokens int) string {
	text := engine + ":"
	for i := range tokens {
		text += fmt.Sprintf(" t%d", i)
	}
	return text
}
