// This file defines the interface to the protocol of callers and engines.

package ingress

import (
	"net/http"
	"time"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/ratelimit"
	"github.com/linenscale/linenscale/request"
)

// RequestMetadata is the metadata that a caller sends in a request's headers.
type RequestMetadata struct {
	ID          string
	Timeout     time.Duration // how long the caller will wait; 0 if not stated
	Prompt      dispatch.Prompt
	Tokens      int               // prompt plus longest answer; -1 if not stated
	LastEventID string            // ID of the last stream event that the caller has; "" for none
	Resumes     string            // ID of the request that brought the first event of the stream that the caller resumes; "" for none
	Key         catalog.KeyDigest // digest of the API key; "" for none
}

// TokensUnknown is the value of RequestMetadata.Tokens if the caller didn't state it.
const TokensUnknown = -1

// EngineRequest is what the gateway adds to the caller's headers when it sends a request to an
// engine.
type EngineRequest struct {
	Engine       string        // the incarnation that the request is for
	Timeout      time.Duration // time limit; the engine may stop after it
	LastEventID  string        // ID of the event to resume the stream after; "" keeps the caller's
	RemoveKey    bool          // callers send API keys, which are removed
	Account      string        // client account; "" for none
	TransferFrom string        // address of the engine to transfer the prompt's KV cache from; "" for none
}

// AnswerMetadata is the metadata in the head of an engine's answer.
type AnswerMetadata struct {
	ID          string           // of the request that is answered
	Engine      string           // incarnation that answered; "" if not stated
	NotRun      bool             // the engine states that it did not run the request
	Misdirected bool             // another engine answers at this address
	Cold        time.Duration    // cold time that the answer states; not used by this package
	Limit       ratelimit.Signal // the engine's rate limit, over all gateways together
	Pushback    pushback.Signal  // backoff that the engine asks this gateway for
	Draining    bool             // the engine is draining and accepts no more requests
}

// Dialect encodes and decodes the platform's headers of callers and engines. This package
// does not depend on their names.
type Dialect interface {
	// DecodeRequest decodes a caller's headers. The error is a *request.NotRun.
	DecodeRequest(header http.Header) (RequestMetadata, error)
	// EngineHeader returns the headers for an engine: the caller's, without those that only
	// the gateway may set, plus those for send. It may modify caller.
	EngineHeader(caller http.Header, send EngineRequest) http.Header
	// ResumeHeader returns the headers of a caller that resumes the stream after the event
	// with the ID lastEvent. It may modify caller.
	ResumeHeader(caller http.Header, lastEvent string) http.Header
	// DecodeAnswer decodes the head of an engine's answer.
	DecodeAnswer(resp *http.Response) AnswerMetadata
	// EncodeRejection returns the status and headers of a rejection by the gateway itself.
	EncodeRejection(rejection request.Refusal) (status int, header http.Header)
}
