// This file defines the OpenAI interface of model services.

package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
)

// modelBody contains the fields of an OpenAI request that the gateway uses. The body is
// forwarded unchanged.
type modelBody struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// Paths of the OpenAI interface that the gateway serves.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
)

// prefixBlockSize is the size of a prompt's prefix blocks in bytes, and maxPrefixBlocks
// the maximum length of a prefix chain.
const (
	prefixBlockSize = 1024
	maxPrefixBlocks = 32
)

// prefillPerByte is the estimated time that an engine takes to read one byte of an
// uncached prompt. It is used to choose regions and engines.
const prefillPerByte = 2 * time.Microsecond

func (s *Server) readModelBody(x *exchange) ([]byte, modelBody, error) {
	var parsed modelBody
	if x.r.ContentLength > s.Limits.BodyBytes {
		return nil, parsed, &request.NotRun{Reason: request.ReasonTooLarge, Message: "the body is longer than this host takes"}
	}
	x.r.Body = &trackedBody{ReadCloser: x.r.Body}
	data, err := io.ReadAll(io.LimitReader(x.r.Body, s.Limits.BodyBytes+1))
	if err != nil {
		return nil, parsed, request.BadRequestf("the body ended early: %v", err)
	}
	if int64(len(data)) > s.Limits.BodyBytes {
		return nil, parsed, &request.NotRun{Reason: request.ReasonTooLarge, Message: "the body is longer than this host takes"}
	}
	if err := json.Unmarshal(data, &parsed); err != nil {
		return nil, parsed, request.BadRequestf("the body is not the JSON of this interface: %v", err)
	}
	return data, parsed, nil
}

func checkModelBody(service declare.Service, path string, body modelBody) error {
	if body.Model == "" {
		return request.BadRequestf("model is missing")
	}
	if len(service.Models) > 0 && !slices.Contains(service.Models, body.Model) {
		return request.BadRequestf("service %q has no model %q", service.Name, body.Model)
	}
	if path == pathChat && len(body.Messages) == 0 {
		return request.BadRequestf("messages is missing")
	}
	if path == pathCompletions && len(body.Prompt) == 0 {
		return request.BadRequestf("prompt is missing")
	}
	return nil
}

// PrefixChain returns the hashes of the prefixes of a prompt that end at the end of each
// prefix block. It returns nil for a prompt shorter than one block.
func PrefixChain(prompt []byte) []uint64 {
	n := min(len(prompt)/prefixBlockSize, maxPrefixBlocks)
	if n == 0 {
		return nil
	}
	chain := make([]uint64, n)
	hash := xxhash.New()
	for i := range chain {
		_, _ = hash.Write(prompt[i*prefixBlockSize : (i+1)*prefixBlockSize])
		chain[i] = hash.Sum64()
	}
	return chain
}

func promptOf(body modelBody) []byte {
	if len(body.Messages) > 0 {
		return body.Messages
	}
	return body.Prompt
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) serveModels(x *exchange) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range x.service.Models {
		list.Data = append(list.Data, modelItem{ID: model, Object: "model", OwnedBy: x.service.Name})
	}
	x.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(x.w).Encode(list)
}

// serveModel serves the OpenAI interface of a model service.
func (s *Server) serveModel(x *exchange) {
	path, method := x.req.Subpath, x.r.Method
	if path == pathModels && method == http.MethodGet {
		s.serveModels(x)
		return
	}
	if method != http.MethodPost || (path != pathChat && path != pathCompletions) {
		s.writeError(x.w, x.r, x.req, &request.NotRun{Reason: request.ReasonUnknownService, Message: "a model service doesn't serve " + method + " " + path})
		return
	}
	data, body, err := s.readModelBody(x)
	if err == nil {
		err = checkModelBody(x.service, path, body)
	}
	if err != nil {
		s.writeError(x.w, x.r, x.req, request.AsRefusal(err))
		return
	}
	x.req = x.req.WithModel(body.Model).WithPrefix(PrefixChain(promptOf(body))).WithRepeatable(true)
	p := &payload{buffered: data, length: int64(len(data)), stream: body.Stream}
	p.prefill = time.Duration(len(data)) * prefillPerByte
	if err := s.serveWithRetries(x, p); err != nil {
		s.writeError(x.w, x.r, x.req, request.AsRefusal(err))
	}
}

// isStream reports whether an answer is an event stream.
func isStream(resp *http.Response) bool {
	contentType := resp.Header.Get("Content-Type")
	return len(contentType) >= len(eventStream) && contentType[:len(eventStream)] == eventStream
}

const eventStream = "text/event-stream"

// copyAnswerHeaders copies the headers of an answer for the caller. It leaves out those
// of the protocols between hosts and engines, so that an engine can't forge an outcome.
func copyAnswerHeaders(to http.Header, resp *http.Response) {
	for name, values := range relay.ForwardableHeaders(resp.Header) {
		switch name {
		case relay.HeaderStreamID, request.HeaderOutcome:
			continue
		case relay.HeaderAttempt:
			continue
		}
		to[name] = values
	}
}
