package control

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/declare"
)

// Status is the state of a change.
type Status string

// Statuses of a change. All except StatusPending and StatusBusy are final: every
// later proposal with the same ID and content gets the same outcome.
const (
	StatusPending  Status = "pending"
	StatusBusy     Status = "busy" // another change is pending; nothing was recorded
	StatusAccepted Status = "accepted"
	StatusRefused  Status = "refused"  // an affected data centre had no majority in time
	StatusStale    Status = "stale"    // its base is not the current revision
	StatusInvalid  Status = "invalid"  // the resulting configuration fails validation
	StatusConflict Status = "conflict" // its ID belongs to a change with other content
)

// Outcome is the result of a proposed change.
type Outcome struct {
	Status   Status `json:"status"`
	Revision uint64 `json:"revision"` // the effective one; of an accepted change, its own
	Why      string `json:"why,omitempty"`
	// Faults lists the validation errors of an invalid change.
	Faults []declare.Fault `json:"faults,omitempty"`
	// DataCentres lists the data centres that the change affects or, for a refused
	// change, those without a majority.
	DataCentres []string `json:"data_centres,omitempty"`
	// Since lists the changes accepted after the base revision of a stale change.
	Since []Record `json:"since,omitempty"`
}

// Final reports whether the outcome is permanent.
func (o Outcome) Final() bool { return o.Status != StatusPending && o.Status != StatusBusy }

// Record describes one accepted change in the history.
type Record struct {
	Revision uint64        `json:"revision"`
	ID       string        `json:"id"`
	Author   string        `json:"author"`
	At       time.Time     `json:"at"` // when it was accepted, by the leader's clock
	Objects  []declare.Ref `json:"objects"`
}

// Pending is a proposed change that is not decided yet.
type Pending struct {
	Change declare.Change `json:"change"`
	Config declare.Config `json:"config"` // with the change applied
	At     time.Time      `json:"at"`
	// Matters lists the affected data centres, whose hosts must acknowledge the change.
	Matters []string `json:"matters"`
}

// View is the configuration state under which a host serves: the effective
// configuration and the pending change, if any. Seq is the number of events applied
// so far.
type View struct {
	Seq     uint64         `json:"seq"`
	Config  declare.Config `json:"config"`
	Pending *Pending       `json:"pending,omitempty"`
}

// EventKind is the effect of an event on a view.
type EventKind string

// Kinds of events.
const (
	EventProposed EventKind = "proposed"
	EventAccepted EventKind = "accepted"
	EventRefused  EventKind = "refused"
)

// Event is the difference between a view and the next one. A proposal carries the
// change and not the resulting configuration, so its size depends only on the change.
type Event struct {
	Seq     uint64          `json:"seq"`
	Kind    EventKind       `json:"kind"`
	Change  *declare.Change `json:"change,omitempty"`
	Matters []string        `json:"matters,omitempty"`
	At      time.Time       `json:"at"`
}

// With returns the view after an event. It returns an error if the event does not
// directly follow the view; the host must then fetch the whole view.
func (v View) With(e Event) (View, error) {
	if e.Seq != v.Seq+1 {
		return View{}, errors.Errorf("event %d does not follow view %d", e.Seq, v.Seq)
	}
	v.Seq = e.Seq
	switch e.Kind {
	case EventProposed:
		config, err := v.Config.Apply(*e.Change)
		if err != nil {
			return View{}, errors.Annotate(err, "proposed change does not apply to the view")
		}
		v.Pending = &Pending{Change: *e.Change, Config: config, At: e.At, Matters: e.Matters}
	case EventAccepted:
		if v.Pending == nil {
			return View{}, errors.New("accepted event without a pending change")
		}
		v.Config, v.Pending = v.Pending.Config, nil
	case EventRefused:
		v.Pending = nil
	default:
		return View{}, errors.NotValidf("event kind %q", e.Kind)
	}
	return v, nil
}

// Command is the data of one entry of the control log. Exactly one field is set.
type Command struct {
	Propose *Propose `json:"propose,omitempty"`
	Decide  *Decide  `json:"decide,omitempty"`
}

// Propose is the command that makes a change pending.
type Propose struct {
	Change declare.Change `json:"change"`
	At     time.Time      `json:"at"`
}

// Decide is the command that accepts or refuses the pending change with the given ID.
type Decide struct {
	ID     string    `json:"id"`
	Accept bool      `json:"accept"`
	Why    string    `json:"why,omitempty"`
	Cut    []string  `json:"cut,omitempty"` // data centres without a majority
	At     time.Time `json:"at"`
}

// Limits on the size of the state machine.
const (
	// MaxOutcomes is the number of recorded outcomes, kept so that a resent change
	// gets its first outcome again. It covers two days at 30,000 changes a day.
	MaxOutcomes = 1 << 16
	// MaxHistory is the number of accepted changes in the history.
	MaxHistory = 4096
	// maxEvents is the number of events kept for hosts that lag behind. A host
	// that lags further gets the whole view.
	maxEvents = 4096
)

// recordedOutcome is the final outcome of a change. Digest identifies its content, so
// that another change with the same ID is detected.
type recordedOutcome struct {
	Digest  uint64  `json:"digest"`
	Outcome Outcome `json:"outcome"`
}

// State is the replicated state machine. It is not safe for concurrent use. Use
// NewState to create one.
type State struct {
	view         View
	outcomes     map[string]recordedOutcome
	outcomeOrder []string // IDs in outcomes, oldest first
	history      []Record
	events       []Event
}

// NewState returns the state of an empty log.
func NewState() *State { return &State{outcomes: make(map[string]recordedOutcome)} }

// View returns the current view. The caller must not modify it.
func (s *State) View() View { return s.view }

// Outcome returns the outcome of the change with the given ID, or false if the
// change is neither recorded nor pending.
func (s *State) Outcome(id string) (Outcome, bool) {
	recorded, ok := s.outcomes[id]
	if !ok && s.view.Pending != nil && s.view.Pending.Change.ID == id {
		return s.pendingOutcome(), true
	}
	return recorded.Outcome, ok
}

func (s *State) pendingOutcome() Outcome {
	return Outcome{Status: StatusPending, Revision: s.view.Config.Revision(), DataCentres: s.view.Pending.Matters}
}

// History returns the recorded changes accepted after the given revision, oldest first.
func (s *State) History(after uint64) []Record {
	for i, r := range s.history {
		if r.Revision > after {
			return append([]Record(nil), s.history[i:]...)
		}
	}
	return nil
}

// Events returns the events after seq, oldest first. It returns false if some have
// been discarded or seq is ahead of the view.
func (s *State) Events(seq uint64) ([]Event, bool) {
	if seq > s.view.Seq {
		return nil, false
	}
	missing := s.view.Seq - seq
	if missing > uint64(len(s.events)) {
		return nil, false
	}
	return append([]Event(nil), s.events[uint64(len(s.events))-missing:]...), true
}

// Apply applies a JSON-encoded Command and returns its Outcome.
func (s *State) Apply(_ uint64, data []byte) any {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return Outcome{Status: StatusInvalid, Why: "the command can't be read: " + err.Error()}
	}
	switch {
	case c.Propose != nil:
		return s.applyPropose(*c.Propose)
	case c.Decide != nil:
		return s.applyDecide(*c.Decide)
	default:
		return Outcome{Status: StatusInvalid, Why: "the command is empty"}
	}
}

func (s *State) applyPropose(p Propose) Outcome {
	id, digest := p.Change.ID, p.Change.Digest()
	if recorded, ok := s.outcomes[id]; ok {
		if recorded.Digest != digest {
			return Outcome{Status: StatusConflict, Revision: s.view.Config.Revision(), Why: "the ID " + id + " belongs to another change"}
		}
		return recorded.Outcome
	}
	if pending := s.view.Pending; pending != nil {
		if pending.Change.ID != id {
			return Outcome{Status: StatusBusy, Revision: s.view.Config.Revision(), Why: "change " + pending.Change.ID + " is undecided"}
		}
		if pending.Change.Digest() != digest {
			return Outcome{Status: StatusConflict, Revision: s.view.Config.Revision(), Why: "the ID " + id + " belongs to another change"}
		}
		return s.pendingOutcome()
	}
	return s.applyNewPropose(p, digest)
}

func (s *State) applyNewPropose(p Propose, digest uint64) Outcome {
	revision := s.view.Config.Revision()
	if p.Change.Base != revision {
		return s.recordOutcome(p.Change.ID, digest, Outcome{Status: StatusStale, Revision: revision, Why: "the change was made from another revision", Since: s.History(p.Change.Base)})
	}
	next, err := s.view.Config.Apply(p.Change)
	if err != nil {
		out := Outcome{Status: StatusInvalid, Revision: revision, Why: err.Error()}
		var faults *declare.InvalidError
		if errors.As(err, &faults) {
			out.Faults = faults.Faults
		}
		return s.recordOutcome(p.Change.ID, digest, out)
	}
	matters := AffectedDataCentres(s.view.Config, next, p.Change)
	if revision == 0 {
		matters = nil // there is no earlier configuration to serve under
	}
	s.emit(Event{Kind: EventProposed, Change: &p.Change, Matters: matters, At: p.At})
	if len(matters) == 0 {
		return s.applyDecide(Decide{ID: p.Change.ID, Accept: true, At: p.At})
	}
	return s.pendingOutcome()
}

func (s *State) applyDecide(d Decide) Outcome {
	pending := s.view.Pending
	if pending == nil || pending.Change.ID != d.ID {
		if recorded, ok := s.outcomes[d.ID]; ok {
			return recorded.Outcome // an earlier decision stands, even if it differs
		}
		return Outcome{Status: StatusInvalid, Why: "no such change is undecided"}
	}
	id, digest := d.ID, pending.Change.Digest()
	if !d.Accept {
		s.emit(Event{Kind: EventRefused, At: d.At})
		return s.recordOutcome(id, digest, Outcome{Status: StatusRefused, Revision: s.view.Config.Revision(), Why: d.Why, DataCentres: d.Cut})
	}
	s.emit(Event{Kind: EventAccepted, At: d.At})
	record := Record{Revision: s.view.Config.Revision(), ID: id, Author: pending.Change.Author, At: d.At, Objects: changedRefs(pending.Change)}
	s.history = append(s.history, record)
	if len(s.history) > MaxHistory {
		s.history = s.history[1:]
	}
	return s.recordOutcome(id, digest, Outcome{Status: StatusAccepted, Revision: s.view.Config.Revision(), DataCentres: pending.Matters})
}

func changedRefs(c declare.Change) []declare.Ref {
	out := append([]declare.Ref(nil), c.Deletes...)
	for _, put := range c.Puts {
		out = append(out, put.Object.Ref())
	}
	return out
}

// emit numbers an event, applies it to the view and appends it to the log of events.
// The event was built from the current view, so a failure to apply it is a bug.
func (s *State) emit(e Event) {
	e.Seq = s.view.Seq + 1
	next, err := s.view.With(e)
	if err != nil {
		panic("control: event does not apply to the view it was built from: " + err.Error())
	}
	s.view = next
	s.events = append(s.events, e)
	if len(s.events) > maxEvents {
		s.events = append([]Event(nil), s.events[len(s.events)-maxEvents/2:]...)
	}
}

// recordOutcome stores the final outcome of a change and discards the oldest one
// beyond MaxOutcomes.
func (s *State) recordOutcome(id string, digest uint64, out Outcome) Outcome {
	s.outcomes[id] = recordedOutcome{digest, out}
	s.outcomeOrder = append(s.outcomeOrder, id)
	if len(s.outcomeOrder) > MaxOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
	return out
}

type stateJSON struct {
	View     View          `json:"view"`
	Outcomes []outcomeJSON `json:"outcomes"`
	History  []Record      `json:"history"`
}

type outcomeJSON struct {
	ID    string          `json:"id"`
	Known recordedOutcome `json:"known"`
}

// Snapshot encodes the state without its events. After Restore, hosts with an older
// view get the whole view.
func (s *State) Snapshot() ([]byte, error) {
	out := stateJSON{View: s.view, History: s.history}
	for _, id := range s.outcomeOrder {
		out.Outcomes = append(out.Outcomes, outcomeJSON{id, s.outcomes[id]})
	}
	return json.Marshal(out)
}

// Restore replaces the state with that of a snapshot.
func (s *State) Restore(data []byte) error {
	var in stateJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Annotate(err, "decode control log snapshot")
	}
	*s = *NewState()
	s.view, s.history = in.View, in.History
	for _, o := range in.Outcomes {
		s.outcomes[o.ID] = o.Known
		s.outcomeOrder = append(s.outcomeOrder, o.ID)
	}
	return nil
}
