// This file defines what the ingress needs to know of the protocols that
// callers and engines speak.

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

// Identity is what a caller says of a request.
type Identity struct {
	ID        string
	Remaining time.Duration // that the caller will wait; 0 where not said
	Prompt    dispatch.Prompt
	Tokens    int               // of the prompt and of the longest answer together; Untold where not said
	LastEvent string            // ID of the last event that the caller has; "" for none
	Key       catalog.KeyDigest // that the caller shows; "" for none
}

// Untold stands for a number of tokens that a caller doesn't say.
const Untold = -1

// Send is what the system tells an engine beside the caller's own words.
type Send struct {
	Engine    string        // the incarnation that is meant
	Remaining time.Duration // after which the engine may stop
	LastEvent string        // the stream goes on after this event; "" for the caller's own
	Keyed     bool          // callers show keys, which engines don't get
	Account   string        // client account; "" for none
	CopyFrom  string        // address of the engine to copy the prompt's shared parts from; "" for none
}

// Verdict is what an answer's head says.
type Verdict struct {
	ID          string // of the request that it answers
	Engine      string // incarnation that answered, "" where not said
	NotRun      bool   // the engine says that it did not run the request
	Misdirected bool   // another engine answers at this address
	Cold        time.Duration
	Limit       ratelimit.Word // what the engine takes from all gateways together
	Pushback    pushback.Word  // for how long it wants nothing from this gateway
	Leaving     bool           // it leaves, and wants nothing any more
}

// Dialect speaks the protocol of callers and engines.
type Dialect interface {
	// Identify reads a caller's headers; the error is a *request.NotRun.
	Identify(header http.Header) (Identity, error)
	// Outgoing gives the headers for an engine: the caller's, without those
	// that only the system may set, and with what is sent.
	Outgoing(caller http.Header, send Send) http.Header
	// Continue gives a caller's headers as if it had asked to go on after the
	// event.
	Continue(caller http.Header, lastEvent string) http.Header
	// Judge reads the head of an engine's answer.
	Judge(resp *http.Response) Verdict
	// Refuse gives the status and headers of an answer that is no engine's.
	Refuse(refusal request.Refusal) (status int, header http.Header)
}
