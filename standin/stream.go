// This file defines the stand-in engine's event streams. For a while after its connection
// broke, a stream can be resumed from a byte offset.

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"github.com/linenscale/linenscale/relay"
)

// stream holds all events of one event stream. The stand-in makes them at once and sends
// them one by one.
type stream struct {
	events  [][]byte
	attempt string
	made    time.Time
}

// streamTTL is how long after its start a stream can be resumed.
const streamTTL = 30 * time.Second

func newStream(engine, model, attempt string, tokens int) *stream {
	s := &stream{attempt: attempt, made: time.Now()}
	for i := range tokens {
		content := fmt.Sprintf(" t%d", i)
		if i == 0 {
			content = engine + ":" + content
		}
		chunk := map[string]any{
			"id": "chatcmpl-" + engine, "object": "chat.completion.chunk", "created": s.made.Unix(), "model": model,
			"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": content}, "finish_reason": nil}},
		}
		data, _ := json.Marshal(chunk)
		s.events = append(s.events, []byte("data: "+string(data)+"\n\n"))
	}
	s.events = append(s.events, []byte("data: [DONE]\n\n"))
	return s
}

func (e *Engine) storeStream(s *stream) string {
	id := uuid.NewString()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[id] = s
	for old, other := range e.streams {
		if time.Since(other.made) > streamTTL {
			delete(e.streams, old)
		}
	}
	return id
}

func (e *Engine) forgetStream(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, id)
}

func (e *Engine) answerStream(w http.ResponseWriter, r *http.Request, req completionRequest, tokens int, fault Fault) {
	s := newStream(e.opts.Name, req.Model, r.Header.Get(relay.HeaderAttempt), tokens)
	id := e.storeStream(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(relay.HeaderStreamID, id)
	half := len(s.events) / 2
	for i, event := range s.events {
		if i > 0 && !sleep(r.Context(), e.opts.TokenTime) {
			return
		}
		if i == half && e.injectStreamFault(w, r, id, fault, event) {
			return
		}
		if fault == FaultGarbage && i == half {
			event = []byte("\x00garbage")
		}
		if _, err := w.Write(event); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	e.forgetStream(id)
	if fault == FaultDuplicate {
		for _, event := range s.events {
			_, _ = w.Write(event)
		}
	}
}

// injectStreamFault carries out a fault in the middle of a stream. It returns true if the
// fault ends the answer, and panics with http.ErrAbortHandler to break the connection.
func (e *Engine) injectStreamFault(w http.ResponseWriter, r *http.Request, id string, fault Fault, event []byte) bool {
	switch fault {
	case FaultDisconnect, FaultCrash, FaultShortBody:
		if fault != FaultDisconnect {
			e.forgetStream(id)
		}
		_, _ = w.Write(event[:len(event)/2]) // break in the middle of an event
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FaultTruncate:
		e.forgetStream(id)
		return true
	case FaultStall:
		e.forgetStream(id)
		<-r.Context().Done()
		return true
	default:
		return false
	}
}

// handleResume sends the rest of a stream from a byte offset, if the request names the
// attempt that started it.
func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	s, ok := e.streams[params.ByName("id")]
	e.mu.Unlock()
	if err != nil || !ok || s.attempt != r.Header.Get(relay.HeaderAttempt) {
		w.Header().Set(relay.HeaderNotRun, "true")
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	w.Header().Set(relay.HeaderAttempt, s.attempt)
	w.Header().Set(relay.HeaderStreamID, params.ByName("id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for _, event := range s.events {
		if offset >= len(event) {
			offset -= len(event)
			continue
		}
		if _, err := w.Write(event[offset:]); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		offset = 0
		if !sleep(r.Context(), e.opts.TokenTime) {
			return
		}
	}
	e.forgetStream(params.ByName("id"))
}
