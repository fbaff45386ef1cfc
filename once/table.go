package once

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Bounds of a table.
const (
	// Retention is how long a key is kept after its call began. A repeat
	// that comes later runs again.
	Retention = 24 * time.Hour
	// MaxKeys is how many keys a table keeps. When it is full, new calls
	// are refused as not run; no key is dropped before its time.
	MaxKeys = 1 << 20
	// MaxBody is the longest recorded body, in bytes.
	MaxBody = 64 << 10
)

// Op is what a command does.
type Op string

// The operations.
const (
	// OpBegin records an intent.
	OpBegin Op = "begin"
	// OpFinish records the answer.
	OpFinish Op = "finish"
	// OpRelease forgets an intent of which nothing was sent.
	OpRelease Op = "release"
	// OpLose records that the outcome will never be known.
	OpLose Op = "lose"
)

// Command is one entry of the home's log.
type Command struct {
	Op      Op        `json:"op"`
	Key     Key       `json:"key"`
	Digest  uint64    `json:"digest,omitempty"` // of the request
	Attempt string    `json:"attempt"`          // who began the call
	At      time.Time `json:"at"`               // the proposer's clock
	// Until is when a call that has not ended counts as unknown.
	Until  time.Time `json:"until,omitempty"`
	Answer *Answer   `json:"answer,omitempty"`
}

type state string

const (
	stateBegun    state = "begun"
	stateFinished state = "finished"
	stateLost     state = "lost"
)

type record struct {
	State   state     `json:"state"`
	Digest  uint64    `json:"digest"`
	Attempt string    `json:"attempt"`
	At      time.Time `json:"at"`
	Until   time.Time `json:"until"`
	Answer  *Answer   `json:"answer,omitempty"`
}

// Table is the state machine. NewTable makes one; it is not safe for
// concurrent use.
type Table struct {
	records map[Key]record
	order   []Key // by time of their beginning, oldest first
	now     time.Time
	maxKeys int
}

// NewTable makes an empty table of at most maxKeys keys.
func NewTable(maxKeys int) *Table {
	return &Table{records: make(map[Key]record), maxKeys: maxKeys}
}

// Apply carries out one command. Commands of the same order give the same
// verdicts on every replica. Only OpBegin has a verdict other than Run.
func (t *Table) Apply(c Command) Verdict {
	if c.At.After(t.now) {
		t.now = c.At // clocks of proposers differ; the table's never goes back
	}
	t.expire()
	old, known := t.records[c.Key]
	if c.Op == OpBegin {
		return t.begin(c, old, known)
	}
	if !known || old.Attempt != c.Attempt || old.State != stateBegun {
		return Run{}
	}
	switch c.Op {
	case OpFinish:
		old.State, old.Answer = stateFinished, c.Answer
		t.records[c.Key] = old
	case OpLose:
		old.State = stateLost
		t.records[c.Key] = old
	case OpRelease:
		delete(t.records, c.Key)
	}
	return Run{}
}

func (t *Table) begin(c Command, old record, known bool) Verdict {
	if !known {
		if len(t.records) >= t.maxKeys {
			return Full{}
		}
		t.records[c.Key] = record{State: stateBegun, Digest: c.Digest, Attempt: c.Attempt, At: t.now, Until: c.Until}
		t.order = append(t.order, c.Key)
		return Run{}
	}
	switch {
	case old.Digest != c.Digest:
		return Conflict{}
	case old.State == stateBegun && old.Attempt == c.Attempt:
		// The same Begin, resent by its own host because the first answer
		// was lost: the call has not gone out.
		return Run{}
	case old.State == stateFinished:
		return Recorded{*old.Answer}
	case old.State == stateBegun && t.now.Before(old.Until):
		return InProgress{old.At}
	default:
		return Unknown{}
	}
}

// expire drops keys that are older than Retention.
func (t *Table) expire() {
	for len(t.order) > 0 {
		key := t.order[0]
		r, ok := t.records[key]
		if ok && t.now.Sub(r.At) <= Retention {
			return
		}
		t.order = t.order[1:]
		if ok {
			delete(t.records, key)
		}
	}
}

// Len gives the number of keys kept.
func (t *Table) Len() int { return len(t.records) }

type tableJSON struct {
	Now     time.Time    `json:"now"`
	Records []recordJSON `json:"records"`
}

type recordJSON struct {
	Key    Key    `json:"key"`
	Record record `json:"record"`
}

// Snapshot writes the whole table.
func (t *Table) Snapshot() ([]byte, error) {
	out := tableJSON{Now: t.now}
	for _, key := range t.order {
		if r, ok := t.records[key]; ok {
			out.Records = append(out.Records, recordJSON{key, r})
		}
	}
	return json.Marshal(out)
}

// Restore replaces the table by a snapshot.
func (t *Table) Restore(data []byte) error {
	var in tableJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Annotate(err, "snapshot of keys")
	}
	t.records = make(map[Key]record, len(in.Records))
	t.order = t.order[:0]
	t.now = in.Now
	for _, r := range in.Records {
		t.records[r.Key] = r.Record
		t.order = append(t.order, r.Key)
	}
	return nil
}
