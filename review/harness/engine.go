package harness

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Engine is one incarnation of an engine. It registers itself and answers 421 to requests for
// other engines; Handle answers the others.
type Engine struct {
	ID, Service string
	Zone        Zone
	Slots       int
	// Handle answers a request that the engine runs. The head that every answer of an engine
	// has is set already.
	Handle func(w http.ResponseWriter, r *http.Request, body []byte)

	d        *Deployment
	listener net.Listener
	server   *http.Server
	cancel   context.CancelFunc

	mu       sync.Mutex
	sequence int64
	state    string
	runs     map[string]int
}

// StartEngine starts an engine, which sends its status reports until Stop.
func (d *Deployment) StartEngine(service string, zone Zone, slots int, handle func(http.ResponseWriter, *http.Request, []byte)) (*Engine, error) {
	listener, err := net.Listen("tcp", d.EngineAddress())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: service, Zone: zone, Slots: slots, Handle: handle,
		d: d, listener: listener, cancel: cancel, state: "ready", runs: make(map[string]int),
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(listener) }()
	go e.register(ctx)
	d.record.Printf("engine %s of %s in %s started at %s", e.ID, service, zone.Name, e.Address())
	return e, nil
}

// Address returns the address that the engine listens on.
func (e *Engine) Address() string { return e.listener.Addr().String() }

// Stop ends the engine's process: its listener and its channels close.
func (e *Engine) Stop() {
	e.d.record.Printf("engine %s ends", e.ID)
	e.cancel()
	e.server.Close()
}

// Runs returns how often the engine ran each request.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int)
	for id, n := range e.runs {
		out[id] = n
	}
	return out
}

// heartbeatInterval is HeartbeatMs of the site.
const heartbeatInterval = 1200 * time.Millisecond

// register sends the status report about every HeartbeatMs, to the next node after a failure.
func (e *Engine) register(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		e.mu.Lock()
		e.sequence++
		body := toJSON(map[string]any{
			"Service": e.Service, "Address": e.Address(), "Zone": e.Zone.Name, "ConfigVersion": "v1", "Slots": e.Slots,
			"State": e.state, "ColdRemainingMs": 0, "Sequence": e.sequence,
		})
		e.mu.Unlock()
		status, err := e.d.call(http.MethodPost, "http://"+e.d.Controls[next%len(e.d.Controls)].ControlAddress()+"/instances/"+e.ID+"/heartbeat", []byte(body), nil)
		wait := heartbeatInterval
		if err != nil || status/100 != 2 {
			next++
			wait = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Linenscale-Request-Id")
	w.Header().Set("X-Linenscale-Instance-Id", e.ID)
	if r.URL.Path == "/health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Linenscale-Request-Id", id)
	w.Header().Set("X-Linenscale-Response-Stamp", e.ID+"."+id)
	if target := r.Header.Get("X-Linenscale-Target-Instance"); target != "" && target != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.runs[id]++
	run := e.runs[id]
	e.mu.Unlock()
	from, _, _ := strings.Cut(r.RemoteAddr, ":")
	e.d.record.Printf("engine %s runs request %s (run %d here), sent by %s", e.ID, id, run, from)
	e.Handle(w, r, body)
}
