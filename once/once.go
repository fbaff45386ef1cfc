// Package once provides at-most-once execution of calls that carry an
// idempotency key.
//
// The caller chooses the key, which is scoped to its account and the service.
// Each key has one home region. Before a host sends the call, it records its
// intent there; a host that receives a repeat asks the home region for the
// outcome of the first call. A Table is the state machine of the home region:
// it applies the commands of a replicated log in order, reads no clock, and
// returns a Verdict for every command.
//
// The table never guesses an outcome. If a host dies after recording its
// intent, the call may or may not have been sent, and its outcome remains
// unknown until the key expires.
package once

import (
	"net/http"
	"time"
)

// Key identifies one call.
type Key struct {
	Service string `json:"service"`
	Account string `json:"account"`
	Key     string `json:"key"`
}

// Call describes a call with an idempotency key on the host that sends it.
type Call struct {
	Key        Key
	HomeRegion string    // home region of the key
	Digest     uint64    // hash of the request; detects reuse of a key for another request
	Attempt    string    // unique for each call that a host accepts
	Until      time.Time // time by which the call has succeeded, failed or timed out
}

// Answer is the recorded response to a call.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Whole is false if the body exceeded MaxBodyBytes and was not stored. A repeat
	// then receives only the status.
	Whole bool `json:"whole"`
}

// Verdict is the result of an OpBegin command. It is a sealed interface, which
// is implemented by Proceed, Recorded, InProgress, OutcomeUnknown, Conflict and TableFull.
type Verdict interface{ verdict() }

// Proceed means that the intent is recorded and the host may send the call once.
type Proceed struct{}

// Recorded carries the response to the earlier call.
type Recorded struct{ Answer Answer }

// InProgress means that an earlier call, begun at Since, has not ended.
type InProgress struct{ Since time.Time }

// OutcomeUnknown means that an earlier call may or may not have run.
type OutcomeUnknown struct{}

// Conflict means that the key was used before for a different request.
type Conflict struct{}

// TableFull means that the table holds its maximum number of keys and rejected the call.
type TableFull struct{}

func (Proceed) verdict()        {}
func (Recorded) verdict()       {}
func (InProgress) verdict()     {}
func (OutcomeUnknown) verdict() {}
func (Conflict) verdict()       {}
func (TableFull) verdict()      {}
