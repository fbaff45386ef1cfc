// Package once makes calls run at most once.
//
// A caller names a call by an idempotency key of its account. Before the call
// goes out, its intent is recorded at the key's one home; a repeat, on
// whichever host it arrives, is told by the home what became of the first. A
// Table is the home's state machine: it is driven by commands in the order of
// a replicated log, uses no clock of its own, and answers every command with
// a Verdict.
//
// What is never guessed: an intent whose host died may or may not have been
// sent, and stays unknown for as long as the key is kept.
package once

import (
	"net/http"
	"time"
)

// Key names one call.
type Key struct {
	Service string `json:"service"`
	Account string `json:"account"`
	Key     string `json:"key"`
}

// Call is one call with a key, on the host that wants to make it.
type Call struct {
	Key     Key
	Home    string    // the region that keeps the key
	Digest  uint64    // of the request, to tell two requests with one key apart
	Attempt string    // new for each call that a host takes in
	Until   time.Time // when the call will have ended, one way or the other
}

// Answer is a recorded answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Whole is false where the body was too long to keep; a repeat is then
	// told the status alone.
	Whole bool `json:"whole"`
}

// Verdict is the sealed set of answers to Begin: Run, Recorded, InProgress,
// Unknown, Conflict and Full.
type Verdict interface{ verdict() }

// Run says that the intent is recorded and the call may go out, once.
type Run struct{}

// Recorded gives the answer of the earlier call.
type Recorded struct{ Answer Answer }

// InProgress says that an earlier call has not ended.
type InProgress struct{ Since time.Time }

// Unknown says that an earlier call may or may not have run.
type Unknown struct{}

// Conflict says that the key was used for another request.
type Conflict struct{}

// Full says that the home keeps as many keys as it can.
type Full struct{}

func (Run) verdict()        {}
func (Recorded) verdict()   {}
func (InProgress) verdict() {}
func (Unknown) verdict()    {}
func (Conflict) verdict()   {}
func (Full) verdict()       {}
