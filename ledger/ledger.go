// Package ledger is the state that control hosts replicate: the catalog in
// force and the data centres that are evacuated.
//
// It is a deterministic state machine over the replicated log of package
// replica. Both kinds of command may be proposed again without harm: a catalog
// whose version is not above the one held changes nothing, and an evacuation
// that is begun or ended twice stays as it is. Both may also arrive late, after
// their operator has given them up and another order was acknowledged: then they
// change nothing. A State is immutable; Index, the
// place in the log of the last command that changed it, orders any two states,
// whichever host they come from.
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
)

// State is what the ledger holds.
type State struct {
	Index   uint64          `json:"index"`
	Catalog catalog.Catalog `json:"catalog"`
	// Source is the catalog as its operator wrote it, given back unchanged.
	Source    []byte   `json:"source,omitempty"`
	Evacuated []string `json:"evacuated,omitempty"` // data centres, in order
	// Orders is, by data centre, the place in the log of the last order to begin or
	// end its evacuation, also of one that changed nothing.
	Orders map[string]uint64 `json:"orders,omitempty"`
}

// IsEvacuated tells whether nothing may be sent to a data centre's engines.
func (s State) IsEvacuated(dataCentre string) bool { return slices.Contains(s.Evacuated, dataCentre) }

// WithoutSource gives the state as hosts that serve no operators need it.
func (s State) WithoutSource() State {
	s.Source, s.Orders = nil, nil
	return s
}

func (s State) withEvacuation(dataCentre string, on bool) State {
	set := make(map[string]bool, len(s.Evacuated)+1)
	for _, name := range s.Evacuated {
		set[name] = true
	}
	set[dataCentre] = true
	if !on {
		delete(set, dataCentre)
	}
	s.Evacuated = slices.Sorted(maps.Keys(set))
	return s
}

// Command is the sealed set of commands.
type Command interface{ command() }

// PutCatalog replaces the catalog if its version is above the one held.
type PutCatalog struct {
	Catalog catalog.Catalog `json:"catalog"`
	Source  []byte          `json:"source"`
}

func (s State) withOrder(dataCentre string, index uint64) State {
	orders := maps.Clone(s.Orders)
	if orders == nil {
		orders = make(map[string]uint64)
	}
	orders[dataCentre] = index
	s.Orders = orders
	return s
}

// SetEvacuation begins or ends the evacuation of a data centre, unless another order
// came in between.
type SetEvacuation struct {
	DataCentre string `json:"dataCentre"`
	On         bool   `json:"on"`
	// Seen is the place in the log up to which the proposer knew the orders before this
	// one; 0 in logs of versions that didn't write it.
	Seen uint64 `json:"seen,omitempty"`
}

// isStale tells whether another order came in between.
func (c SetEvacuation) isStale(s State) bool { return c.Seen > 0 && s.Orders[c.DataCentre] > c.Seen }

func (PutCatalog) command()    {}
func (SetEvacuation) command() {}

// Result is the outcome of a command: whether it changed the state, and the
// catalog's version after it.
type Result struct {
	Changed bool
	Version int64
	Index   uint64
	Stale   bool // it was not carried out: another order came in between
}

// envelope carries one command in the log. One of its fields is set.
type envelope struct {
	PutCatalog    *PutCatalog    `json:"put,omitempty"`
	SetEvacuation *SetEvacuation `json:"evacuate,omitempty"`
}

// Encode gives a command's bytes for the log.
func Encode(c Command) ([]byte, error) {
	var e envelope
	switch c := c.(type) {
	case PutCatalog:
		e.PutCatalog = &c
	case SetEvacuation:
		e.SetEvacuation = &c
	}
	return Pack(e)
}

// Pack gives a value as compressed JSON: catalogs cross regions, and are long
// and repetitive.
func Pack(value any) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Annotate(err, "compress")
	}
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return nil, errors.Annotate(err, "encode")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Annotate(err, "compress")
	}
	return out.Bytes(), nil
}

// Unpack reads what Pack wrote.
func Unpack(data []byte, value any) error {
	plain, err := io.ReadAll(flate.NewReader(bytes.NewReader(data)))
	if err != nil {
		return errors.Annotate(err, "uncompress")
	}
	return errors.Annotate(json.Unmarshal(plain, value), "decode")
}

// Machine applies the commands. New makes one. State may be called from any
// goroutine, the other methods from the replica's only.
type Machine struct {
	state   atomic.Pointer[State]
	onChange func(State)
}

var _ replica.Machine = (*Machine)(nil)

// New makes a machine that holds nothing. changed is called with each new
// state, in the replica's goroutine, and must not block.
func New(changed func(State)) *Machine {
	m := &Machine{onChange: changed}
	m.state.Store(&State{})
	return m
}

// State gives the newest state that has been applied here.
func (m *Machine) State() State { return *m.state.Load() }

func (m *Machine) replaceState(s State) {
	m.state.Store(&s)
	m.onChange(s)
}

// Apply implements replica.Machine; the result is a Result, or an error for a
// command that can't be read.
func (m *Machine) Apply(index uint64, data []byte) any {
	var e envelope
	if err := Unpack(data, &e); err != nil {
		return errors.Annotatef(err, "command %d", index)
	}
	current := m.State()
	next, stale := current, false
	switch {
	case e.PutCatalog != nil && e.PutCatalog.Catalog.Version > current.Catalog.Version:
		next.Catalog, next.Source, next.Index = e.PutCatalog.Catalog, e.PutCatalog.Source, index
	case e.SetEvacuation != nil:
		next, stale = current.applyEvacuation(*e.SetEvacuation, index)
	}
	m.state.Store(&next)
	if next.Index == index {
		m.onChange(next)
	}
	return Result{Changed: next.Index == index, Version: next.Catalog.Version, Index: next.Index, Stale: stale}
}

// applyEvacuation gives the state after an order.
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
func (m *Machine) Snapshot() ([]byte, error) { return Pack(m.State()) }

// Restore implements replica.Machine.
func (m *Machine) Restore(data []byte) error {
	var s State
	if err := Unpack(data, &s); err != nil {
		return errors.Annotate(err, "snapshot of the ledger")
	}
	m.replaceState(s)
	return nil
}
