package control

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/declare"
)

// Status says what became of a change.
type Status string

// The statuses. All but StatusPending and StatusBusy are final, and are the
// answer to the change's ID from then on.
const (
	StatusPending  Status = "pending"
	StatusBusy     Status = "busy" // another change is undecided; nothing was recorded
	StatusAccepted Status = "accepted"
	StatusRefused  Status = "refused" // it could not be in force everywhere it matters
	StatusStale    Status = "stale"   // made from a revision that isn't the present one
	StatusInvalid  Status = "invalid" // the configuration would not be sound
	StatusConflict Status = "conflict"
)

// Outcome is the answer to a change.
type Outcome struct {
	Status   Status `json:"status"`
	Revision uint64 `json:"revision"` // now in force, or of the change itself once accepted
	Why      string `json:"why,omitempty"`
	// Faults are those of an invalid change.
	Faults []declare.Fault `json:"faults,omitempty"`
	// DataCentres are those that the change matters to; of a refused change,
	// those that could not be reached.
	DataCentres []string `json:"data_centres,omitempty"`
	// Since lists what was accepted after the revision of a stale change.
	Since []Record `json:"since,omitempty"`
}

// Final tells whether the outcome will not change any more.
func (o Outcome) Final() bool { return o.Status != StatusPending && o.Status != StatusBusy }

// Record is one accepted change in the history.
type Record struct {
	Revision uint64        `json:"revision"`
	ID       string        `json:"id"`
	Author   string        `json:"author"`
	At       time.Time     `json:"at"` // the proposing leader's clock
	Objects  []declare.Ref `json:"objects"`
}

// Pending is a change that is proposed and not decided.
type Pending struct {
	Change declare.Change `json:"change"`
	Config declare.Config `json:"config"` // as it would be
	At     time.Time      `json:"at"`
	// Matters lists the data centres whose hosts must acknowledge it.
	Matters []string `json:"matters"`
}

// View is what hosts serve under. Seq counts the events that made it.
type View struct {
	Seq     uint64         `json:"seq"`
	Config  declare.Config `json:"config"`
	Pending *Pending       `json:"pending,omitempty"`
}

// EventKind says what an event does to a view.
type EventKind string

// The kinds of event.
const (
	EventProposed EventKind = "proposed"
	EventAccepted EventKind = "accepted"
	EventRefused  EventKind = "refused"
)

// Event is one step from a view to the next. Of a proposed change it carries
// the change itself, which is as long as the change and not as the
// configuration.
type Event struct {
	Seq     uint64          `json:"seq"`
	Kind    EventKind       `json:"kind"`
	Change  *declare.Change `json:"change,omitempty"`
	Matters []string        `json:"matters,omitempty"`
	At      time.Time       `json:"at"`
}

// With gives the view after an event. An event that doesn't follow is an
// error; the host must then ask for the whole view.
func (v View) With(e Event) (View, error) {
	if e.Seq != v.Seq+1 {
		return View{}, errors.Errorf("event %d doesn't follow view %d", e.Seq, v.Seq)
	}
	v.Seq = e.Seq
	switch e.Kind {
	case EventProposed:
		config, err := v.Config.With(*e.Change)
		if err != nil {
			return View{}, errors.Annotate(err, "a proposed change doesn't apply")
		}
		v.Pending = &Pending{Change: *e.Change, Config: config, At: e.At, Matters: e.Matters}
	case EventAccepted:
		if v.Pending == nil {
			return View{}, errors.New("an accepted change was not proposed")
		}
		v.Config, v.Pending = v.Pending.Config, nil
	case EventRefused:
		v.Pending = nil
	default:
		return View{}, errors.NotValidf("event kind %q", e.Kind)
	}
	return v, nil
}

// Command is one entry of the control log. One of its fields is set.
type Command struct {
	Propose *Propose `json:"propose,omitempty"`
	Decide  *Decide  `json:"decide,omitempty"`
}

// Propose proposes a change.
type Propose struct {
	Change declare.Change `json:"change"`
	At     time.Time      `json:"at"`
}

// Decide decides the pending change of that ID.
type Decide struct {
	ID     string    `json:"id"`
	Accept bool      `json:"accept"`
	Why    string    `json:"why,omitempty"`
	Cut    []string  `json:"cut,omitempty"` // data centres that could not be reached
	At     time.Time `json:"at"`
}

// Bounds of what the state machine remembers.
const (
	// MaxOutcomes is how many changes' outcomes are kept for those who send
	// a change again: at 30,000 changes a day, two days' worth.
	MaxOutcomes = 1 << 16
	// MaxHistory is how many accepted changes the history holds.
	MaxHistory = 4096
	// maxEvents is how many events are kept for hosts that are behind; one
	// that is further behind gets the whole view.
	maxEvents = 4096
)

// known is the remembered outcome of a change.
type known struct {
	Digest  uint64  `json:"digest"`
	Outcome Outcome `json:"outcome"`
}

// State is the state machine. NewState makes one.
type State struct {
	view     View
	outcomes map[string]known
	order    []string // IDs in outcomes, oldest first
	history  []Record
	events   []Event
}

// NewState makes the state of an empty log.
func NewState() *State { return &State{outcomes: make(map[string]known)} }

// View gives the present view. It is immutable.
func (s *State) View() View { return s.view }

// Outcome gives what became of a change; false if its ID isn't known.
func (s *State) Outcome(id string) (Outcome, bool) {
	k, ok := s.outcomes[id]
	if !ok && s.view.Pending != nil && s.view.Pending.Change.ID == id {
		return s.pendingOutcome(), true
	}
	return k.Outcome, ok
}

func (s *State) pendingOutcome() Outcome {
	return Outcome{Status: StatusPending, Revision: s.view.Config.Revision(), DataCentres: s.view.Pending.Matters}
}

// History gives the accepted changes after a revision, oldest first.
func (s *State) History(after uint64) []Record {
	for i, r := range s.history {
		if r.Revision > after {
			return append([]Record(nil), s.history[i:]...)
		}
	}
	return nil
}

// Events gives the events after seq; false if some are no longer kept.
func (s *State) Events(seq uint64) ([]Event, bool) {
	if seq > s.view.Seq {
		return nil, false
	}
	behind := s.view.Seq - seq
	if behind > uint64(len(s.events)) {
		return nil, false
	}
	return append([]Event(nil), s.events[uint64(len(s.events))-behind:]...), true
}

// Apply carries out a command in the form of JSON. It gives an Outcome.
func (s *State) Apply(_ uint64, data []byte) any {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return Outcome{Status: StatusInvalid, Why: "the command can't be read: " + err.Error()}
	}
	switch {
	case c.Propose != nil:
		return s.propose(*c.Propose)
	case c.Decide != nil:
		return s.decide(*c.Decide)
	default:
		return Outcome{Status: StatusInvalid, Why: "the command is empty"}
	}
}

func (s *State) propose(p Propose) Outcome {
	id, digest := p.Change.ID, p.Change.Digest()
	if k, ok := s.outcomes[id]; ok {
		if k.Digest != digest {
			return Outcome{Status: StatusConflict, Revision: s.view.Config.Revision(), Why: "the ID " + id + " belongs to another change"}
		}
		return k.Outcome
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
	return s.proposeNew(p, digest)
}

func (s *State) proposeNew(p Propose, digest uint64) Outcome {
	now := s.view.Config.Revision()
	if p.Change.Base != now {
		return s.remember(p.Change.ID, digest, Outcome{Status: StatusStale, Revision: now, Why: "the change was made from another revision", Since: s.History(p.Change.Base)})
	}
	next, err := s.view.Config.With(p.Change)
	if err != nil {
		out := Outcome{Status: StatusInvalid, Revision: now, Why: err.Error()}
		var faults *declare.FaultsError
		if errors.As(err, &faults) {
			out.Faults = faults.Faults
		}
		return s.remember(p.Change.ID, digest, out)
	}
	matters := AffectedDataCentres(s.view.Config, next, p.Change)
	if now == 0 {
		matters = nil // nobody can serve under an earlier configuration
	}
	s.emit(Event{Kind: EventProposed, Change: &p.Change, Matters: matters, At: p.At})
	if len(matters) == 0 {
		return s.decide(Decide{ID: p.Change.ID, Accept: true, At: p.At})
	}
	return s.pendingOutcome()
}

func (s *State) decide(d Decide) Outcome {
	pending := s.view.Pending
	if pending == nil || pending.Change.ID != d.ID {
		if k, ok := s.outcomes[d.ID]; ok {
			return k.Outcome // decided before, perhaps otherwise
		}
		return Outcome{Status: StatusInvalid, Why: "no such change is undecided"}
	}
	id, digest := d.ID, pending.Change.Digest()
	if !d.Accept {
		s.emit(Event{Kind: EventRefused, At: d.At})
		return s.remember(id, digest, Outcome{Status: StatusRefused, Revision: s.view.Config.Revision(), Why: d.Why, DataCentres: d.Cut})
	}
	s.emit(Event{Kind: EventAccepted, At: d.At})
	record := Record{Revision: s.view.Config.Revision(), ID: id, Author: pending.Change.Author, At: d.At, Objects: refsOf(pending.Change)}
	s.history = append(s.history, record)
	if len(s.history) > MaxHistory {
		s.history = s.history[1:]
	}
	return s.remember(id, digest, Outcome{Status: StatusAccepted, Revision: s.view.Config.Revision(), DataCentres: pending.Matters})
}

func refsOf(c declare.Change) []declare.Ref {
	out := append([]declare.Ref(nil), c.Deletes...)
	for _, put := range c.Puts {
		out = append(out, put.Object.Ref())
	}
	return out
}

// emit makes the next event and applies it to the view. The event was made
// from this very view, so it can't fail to apply.
func (s *State) emit(e Event) {
	e.Seq = s.view.Seq + 1
	next, err := s.view.With(e)
	if err != nil {
		panic("control: an event doesn't apply to the view that it was made from: " + err.Error())
	}
	s.view = next
	s.events = append(s.events, e)
	if len(s.events) > maxEvents {
		s.events = append([]Event(nil), s.events[len(s.events)-maxEvents/2:]...)
	}
}

func (s *State) remember(id string, digest uint64, out Outcome) Outcome {
	s.outcomes[id] = known{digest, out}
	s.order = append(s.order, id)
	if len(s.order) > MaxOutcomes {
		delete(s.outcomes, s.order[0])
		s.order = s.order[1:]
	}
	return out
}

type stateJSON struct {
	View     View           `json:"view"`
	Outcomes []outcomesJSON `json:"outcomes"`
	History  []Record       `json:"history"`
}

type outcomesJSON struct {
	ID    string `json:"id"`
	Known known  `json:"known"`
}

// Snapshot writes the whole state. Events are not in it: hosts that are behind
// a snapshot get the whole view.
func (s *State) Snapshot() ([]byte, error) {
	out := stateJSON{View: s.view, History: s.history}
	for _, id := range s.order {
		out.Outcomes = append(out.Outcomes, outcomesJSON{id, s.outcomes[id]})
	}
	return json.Marshal(out)
}

// Restore replaces the state by a snapshot.
func (s *State) Restore(data []byte) error {
	var in stateJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Annotate(err, "snapshot of the control log")
	}
	*s = *NewState()
	s.view, s.history = in.View, in.History
	for _, o := range in.Outcomes {
		s.outcomes[o.ID] = o.Known
		s.order = append(s.order, o.ID)
	}
	return nil
}
