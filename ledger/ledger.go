// Package ledger implements the state that control hosts replicate: the effective
// catalog, the data centres that are evacuated, and the rollouts of services.
//
// It is a deterministic state machine for the replicated log of package replica. All commands
// are idempotent: a catalog whose version isn't higher than the current one changes nothing,
// and neither does a second start or end of the same evacuation, or a repeated order of a
// rollout. A command may also
// arrive late, after its operator has given up on it and a newer one was acknowledged; such a
// stale command changes nothing.
//
// A State is immutable. Its Index, the log index of the last command that changed it, orders
// any two states, whichever hosts they come from.
package ledger

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/replica"
	"github.com/linenscale/linenscale/rollout"
)

// State is the content of the ledger at one log index.
type State struct {
	Index   uint64          `json:"index"`
	Catalog catalog.Catalog `json:"catalog"`
	// Source is the catalog as its operator wrote it, which is returned unchanged on request.
	Source    []byte   `json:"source,omitempty"`
	Evacuated []string `json:"evacuated,omitempty"` // names of data centres, sorted
	// Orders is, by data centre, the log index of the last accepted command to start or end its
	// evacuation, including one that changed nothing.
	Orders map[string]uint64 `json:"orders,omitempty"`
	// Rollouts is the latest rollout of each service that has had one.
	Rollouts map[string]rollout.Rollout `json:"rollouts,omitempty"`
}

// IsEvacuated reports whether a data centre is evacuated, so that no request may be sent to its
// engines.
func (s State) IsEvacuated(dataCentre string) bool { return slices.Contains(s.Evacuated, dataCentre) }

// WithoutSource returns the state without Source and Orders, for hosts that don't serve
// operators.
func (s State) WithoutSource() State {
	s.Source, s.Orders = nil, nil
	return s
}

func (s State) withEvacuation(dataCentre string, on bool) State {
	evacuated := make(map[string]bool, len(s.Evacuated)+1)
	for _, name := range s.Evacuated {
		evacuated[name] = true
	}
	evacuated[dataCentre] = true
	if !on {
		delete(evacuated, dataCentre)
	}
	s.Evacuated = slices.Sorted(maps.Keys(evacuated))
	return s
}

// Command is the sealed set of commands: PutCatalog, SetEvacuation, StartRollout and
// SetRolloutStage.
type Command interface{ command() }

// PutCatalog replaces the catalog if its version is higher than that of the current one.
type PutCatalog struct {
	Catalog catalog.Catalog `json:"catalog"`
	Source  []byte          `json:"source"`
}

// withOrder records index as that of the last accepted SetEvacuation of a data centre.
func (s State) withOrder(dataCentre string, index uint64) State {
	orders := maps.Clone(s.Orders)
	if orders == nil {
		orders = make(map[string]uint64)
	}
	orders[dataCentre] = index
	s.Orders = orders
	return s
}

// SetEvacuation starts or ends the evacuation of a data centre. It is rejected as stale if
// another command for the data centre was applied after the proposer read the state.
type SetEvacuation struct {
	DataCentre string `json:"dataCentre"`
	On         bool   `json:"on"` // true to start, false to end
	// Seen is the log index up to which the proposer had seen earlier commands for the data
	// centre. It is 0, which disables the check, in logs of versions that didn't write it.
	Seen uint64 `json:"seen,omitempty"`
}

// isStale reports whether s contains a command for the data centre that the proposer of c had
// not seen.
func (c SetEvacuation) isStale(s State) bool { return c.Seen > 0 && s.Orders[c.DataCentre] > c.Seen }

func (PutCatalog) command()      {}
func (SetEvacuation) command()   {}
func (StartRollout) command()    {}
func (SetRolloutStage) command() {}

// Result is the outcome of a command.
type Result struct {
	Changed bool   // whether the command changed the state
	Version int64  // of the catalog after the command
	Index   uint64 // of the state after the command
	Stale   bool   // the command was rejected, see SetEvacuation and StartRollout
	Busy    bool   // another rollout of the service is under way
}

// envelope is the encoding of one command in the log. Exactly one field is set.
type envelope struct {
	PutCatalog      *PutCatalog      `json:"put,omitempty"`
	SetEvacuation   *SetEvacuation   `json:"evacuate,omitempty"`
	StartRollout    *StartRollout    `json:"rollout,omitempty"`
	SetRolloutStage *SetRolloutStage `json:"rolloutStage,omitempty"`
}

// EncodeCommand encodes a command for the log.
func EncodeCommand(c Command) ([]byte, error) {
	var e envelope
	switch c := c.(type) {
	case PutCatalog:
		e.PutCatalog = &c
	case SetEvacuation:
		e.SetEvacuation = &c
	case StartRollout:
		e.StartRollout = &c
	case SetRolloutStage:
		e.SetRolloutStage = &c
	}
	return EncodeCompressed(e)
}

// EncodeCompressed encodes a value as compressed JSON. Catalogs are sent between regions,
// and are large and repetitive.
func EncodeCompressed(value any) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, errors.Annotate(err, "compress")
	}
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return nil, errors.Annotate(err, "encode")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Annotate(err, "compress")
	}
	return buf.Bytes(), nil
}

// DecodeCompressed decodes the output of EncodeCompressed into the variable that value
// points to.
func DecodeCompressed(data []byte, value any) error {
	decompressed, err := io.ReadAll(flate.NewReader(bytes.NewReader(data)))
	if err != nil {
		return errors.Annotate(err, "uncompress")
	}
	return errors.Annotate(json.Unmarshal(decompressed, value), "decode")
}

// Machine is the state machine that applies the commands. Any goroutine may call State; only
// the replica's goroutine may call the other methods.
type Machine struct {
	state    atomic.Pointer[State]
	onChange func(State)
}

var _ replica.Machine = (*Machine)(nil)

// New returns a machine with an empty state. It calls changed with each new state, in the
// replica's goroutine. changed must not block.
func New(changed func(State)) *Machine {
	m := &Machine{onChange: changed}
	m.state.Store(&State{})
	return m
}

// State returns the latest state that this replica has applied.
func (m *Machine) State() State { return *m.state.Load() }

func (m *Machine) replaceState(s State) {
	m.state.Store(&s)
	m.onChange(s)
}

// Apply implements replica.Machine. It returns a Result, or an error if the command can't be
// decoded.
func (m *Machine) Apply(index uint64, data []byte) any {
	var e envelope
	if err := DecodeCompressed(data, &e); err != nil {
		return errors.Annotatef(err, "decode the ledger command at index %d", index)
	}
	current := m.State()
	next, stale, busy := current, false, false
	switch {
	case e.PutCatalog != nil && e.PutCatalog.Catalog.Version > current.Catalog.Version:
		next.Catalog, next.Source, next.Index = e.PutCatalog.Catalog, e.PutCatalog.Source, index
	case e.SetEvacuation != nil:
		next, stale = current.applyEvacuation(*e.SetEvacuation, index)
	case e.StartRollout != nil:
		next, stale, busy = current.applyStartRollout(*e.StartRollout, index)
	case e.SetRolloutStage != nil:
		next = current.applyRolloutStage(*e.SetRolloutStage, index)
	}
	m.state.Store(&next)
	if next.Index == index {
		m.onChange(next)
	}
	return Result{Changed: next.Index == index, Version: next.Catalog.Version, Index: next.Index, Stale: stale, Busy: busy}
}

// applyEvacuation returns the state after a SetEvacuation command. stale reports that the
// command was rejected.
func (s State) applyEvacuation(c SetEvacuation, index uint64) (next State, stale bool) {
	if c.isStale(s) {
		return s, true
	}
	next = s.withOrder(c.DataCentre, index)
	if c.On != s.IsEvacuated(c.DataCentre) {
		next = next.withEvacuation(c.DataCentre, c.On)
		next.Index = index
	}
	return next, false
}

// Snapshot implements replica.Machine.
func (m *Machine) Snapshot() ([]byte, error) { return EncodeCompressed(m.State()) }

// Restore implements replica.Machine.
func (m *Machine) Restore(data []byte) error {
	var s State
	if err := DecodeCompressed(data, &s); err != nil {
		return errors.Annotate(err, "restore the ledger from a snapshot")
	}
	m.replaceState(s)
	return nil
}
