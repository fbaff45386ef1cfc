package once

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Limits of a table.
const (
	// Retention is how long a key is stored after its call began. A repeat
	// that arrives later runs again.
	Retention = 24 * time.Hour
	// MaxKeys is the capacity of a table. A full table rejects new calls, which
	// then fail as not run; it never evicts a key before Retention has passed.
	MaxKeys = 1 << 20
	// MaxBodyBytes is the maximum length of a recorded body in bytes.
	MaxBodyBytes = 64 << 10
)

// Op is the operation of a Command.
type Op string

// Operations on a key.
const (
	// OpBegin records the intent to send a call.
	OpBegin Op = "begin"
	// OpFinish records the response to the call.
	OpFinish Op = "finish"
	// OpRelease deletes an intent whose call was not sent.
	OpRelease Op = "release"
	// OpMarkUnknown records that the outcome of the call can no longer be determined.
	OpMarkUnknown Op = "lose"
)

// Command is one entry of the home region's replicated log.
type Command struct {
	Op      Op        `json:"op"`
	Key     Key       `json:"key"`
	Digest  uint64    `json:"digest,omitempty"` // hash of the request
	Attempt string    `json:"attempt"`          // Call.Attempt of the call that issued the command
	At      time.Time `json:"at"`               // time on the proposer's clock
	// Until is when a call that has not ended becomes OutcomeUnknown.
	Until  time.Time `json:"until,omitempty"`
	Answer *Answer   `json:"answer,omitempty"`
}

type state string

const (
	stateBegun    state = "begun"
	stateFinished state = "finished"
	stateUnknown  state = "lost"
)

type record struct {
	State   state     `json:"state"`
	Digest  uint64    `json:"digest"`
	Attempt string    `json:"attempt"`
	At      time.Time `json:"at"`
	Until   time.Time `json:"until"`
	Answer  *Answer   `json:"answer,omitempty"`
}

// Table is the state machine that stores the keys of one home region. It is not
// safe for concurrent use.
type Table struct {
	records   map[Key]record
	keysByAge []Key     // oldest first; may contain deleted keys
	now       time.Time // latest Command.At applied
	maxKeys   int
}

// NewTable returns an empty table that holds at most maxKeys keys.
func NewTable(maxKeys int) *Table {
	return &Table{records: make(map[Key]record), maxKeys: maxKeys}
}

// Apply executes one command. It is deterministic: replicas that apply the same
// commands in the same order return the same verdicts. Only OpBegin returns a
// verdict other than Proceed.
func (t *Table) Apply(c Command) Verdict {
	if c.At.After(t.now) {
		t.now = c.At // proposers' clocks differ; the table's time is monotonic
	}
	t.expire()
	rec, exists := t.records[c.Key]
	if c.Op == OpBegin {
		return t.begin(c, rec, exists)
	}
	if !exists || rec.Attempt != c.Attempt || rec.State != stateBegun {
		return Proceed{}
	}
	switch c.Op {
	case OpFinish:
		rec.State, rec.Answer = stateFinished, c.Answer
		t.records[c.Key] = rec
	case OpMarkUnknown:
		rec.State = stateUnknown
		t.records[c.Key] = rec
	case OpRelease:
		delete(t.records, c.Key)
	}
	return Proceed{}
}

func (t *Table) begin(c Command, rec record, exists bool) Verdict {
	if !exists {
		if len(t.records) >= t.maxKeys {
			return TableFull{}
		}
		t.records[c.Key] = record{State: stateBegun, Digest: c.Digest, Attempt: c.Attempt, At: t.now, Until: c.Until}
		t.keysByAge = append(t.keysByAge, c.Key)
		return Proceed{}
	}
	switch {
	case rec.Digest != c.Digest:
		return Conflict{}
	case rec.State == stateBegun && rec.Attempt == c.Attempt:
		// The host resent its own OpBegin because the first reply was lost. It
		// sends the call only after a reply, so the call has not been sent.
		return Proceed{}
	case rec.State == stateFinished:
		return Recorded{*rec.Answer}
	case rec.State == stateBegun && t.now.Before(rec.Until):
		return InProgress{rec.At}
	default:
		return OutcomeUnknown{}
	}
}

// expire deletes the keys that are older than Retention.
func (t *Table) expire() {
	for len(t.keysByAge) > 0 {
		key := t.keysByAge[0]
		rec, ok := t.records[key]
		if ok && t.now.Sub(rec.At) <= Retention {
			return
		}
		t.keysByAge = t.keysByAge[1:]
		if ok {
			delete(t.records, key)
		}
	}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.records) }

type tableJSON struct {
	Now     time.Time    `json:"now"`
	Records []recordJSON `json:"records"`
}

type recordJSON struct {
	Key    Key    `json:"key"`
	Record record `json:"record"`
}

// Snapshot encodes the table as JSON.
func (t *Table) Snapshot() ([]byte, error) {
	out := tableJSON{Now: t.now}
	for _, key := range t.keysByAge {
		if rec, ok := t.records[key]; ok {
			out.Records = append(out.Records, recordJSON{key, rec})
		}
	}
	return json.Marshal(out)
}

// Restore replaces the table's contents with those of a snapshot.
func (t *Table) Restore(data []byte) error {
	var in tableJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Annotate(err, "decode snapshot of idempotency keys")
	}
	t.records = make(map[Key]record, len(in.Records))
	t.keysByAge = t.keysByAge[:0]
	t.now = in.Now
	for _, item := range in.Records {
		t.records[item.Key] = item.Record
		t.keysByAge = append(t.keysByAge, item.Key)
	}
	return nil
}
