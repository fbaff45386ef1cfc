// Package registry knows the engines that have registered themselves.
//
// Engines are soft state: each sends a heartbeat to one control host every
// second or so, and nothing of it is written to disk. Control hosts and
// gateways each hold a Table. A control host fills its own by Beat and Leave,
// and every host merges what the control hosts that it follows announce. Only
// changes travel: Since gives what is new after a cursor.
//
// Every start of an engine is a new incarnation, with an ID of its own or under the one
// that it had, and then its time of birth is later. Its heartbeats carry a rising
// sequence. The later birth and the higher sequence hold, so that a heartbeat which
// arrives late changes nothing, and an incarnation that has left never comes back.
package registry

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/linenscale/linenscale/internal/recent"
)

// Phase is where an engine stands between its start and its end.
type Phase uint8

// The phases. A later one never gives way to an earlier one of the same
// sequence.
const (
	Ready    Phase = iota
	Silent         // no heartbeat for a while: it may have ended
	Draining       // it finishes what it has and wants nothing new
	Left           // it has ended or is about to
)

// String gives the word used in logs.
func (p Phase) String() string {
	return [...]string{"ready", "silent", "draining", "left"}[p]
}

// Engine is what is known of one incarnation of an engine. Times are those of
// this process's steady clock.
type Engine struct {
	ID         string
	Born       int64 // Unix time of its start in milliseconds by its own clock; 0 where it doesn't tell
	Service    string
	Address    string // IP and port
	DataCentre string
	Slots      int // requests that it runs side by side
	Sequence   int64
	Phase      Phase
	ColdUntil  time.Time // it bears few requests until then
	GoneAt     time.Time // when it will be taken away, zero where not known
	Source     string    // incarnation of the control host that hears it
	Heard      time.Time // when that was last known to hear it
	Began      time.Time // when it was first known here
}

// Incarnation names one start of the engine.
func (e Engine) Incarnation() string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.Born, 10)
}

// IsCold tells whether the engine bears only few requests.
func (e Engine) IsCold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Timing of the forgetting.
const (
	// silentBeats is how many heartbeats may be missed.
	silentBeats = 3.5
	// keepLeft is how long an ended incarnation is remembered, so that late
	// heartbeats don't bring it back. They come seconds late.
	keepLeft = 60 * time.Second
	// ownerBeats is for how many heartbeats an address belongs to the engine that was
	// last heard there, whatever others say: an address is given away some seconds
	// after its engine's end, and late heartbeats of that one come later still.
	ownerBeats = 1.25
	// freshSequence is the highest number of a heartbeat that comes from an engine which
	// has just started: the first may have been lost.
	freshSequence = 2
	// coldShift is how far the end of a cold period may move between two
	// heartbeats without being announced.
	coldShift = 250 * time.Millisecond
)

// Table is safe for concurrent use. New makes one.
type Table struct {
	source    string
	heartbeat time.Duration
	clock     func() time.Time

	mu      sync.Mutex
	engines map[string]*entry
	order   recent.Log[*entry]
	places  map[string][]*entry // by address
	changes uint64
	changed chan struct{}
}

type entry struct {
	Engine
	change uint64 // number of its last change here
}

// New makes an empty table. source names this process's life; heartbeat is
// how often engines register.
func New(source string, heartbeat time.Duration, clock func() time.Time) *Table {
	return &Table{source: source, heartbeat: heartbeat, clock: clock, engines: make(map[string]*entry), places: make(map[string][]*entry), changed: make(chan struct{})}
}

// Changed gives a channel that is closed with the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Number counts the changes so far.
func (t *Table) Number() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// Beat takes a heartbeat that an engine sent to this host. It tells whether
// anything changed that others need to know. A heartbeat that was held up and comes
// when another incarnation has the address changes nothing.
func (t *Table) Beat(e Engine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.Source, e.Heard = t.source, t.clock()
	if !t.mayOwn(e) {
		return false
	}
	return t.put(e)
}

// mayOwn tells whether an engine that was heard may have its address: nobody else has
// it, or the owner has fallen silent, or the engine has just started there.
func (t *Table) mayOwn(e Engine) bool {
	same, known := t.engines[e.ID]
	anew := !known || e.Born > same.Born
	if anew && e.Sequence <= freshSequence {
		return true
	}
	patience := time.Duration(ownerBeats * float64(t.heartbeat))
	for _, other := range t.places[e.Address] {
		owns := other.ID != e.ID && other.Source != recalled && (other.Phase == Ready || other.Phase == Draining)
		if owns && e.Heard.Sub(other.Heard) <= patience {
			return false
		}
	}
	return true
}

// Leave notes that an engine has said its goodbye to this host. One of an earlier life
// that comes late changes nothing; born is 0 where it doesn't tell its birth.
func (t *Table) Leave(id string, born int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	e := Engine{ID: id, Born: born}
	if known, ok := t.engines[id]; ok && (born == 0 || born == known.Born) {
		e = known.Engine
	}
	e.Phase, e.Source, e.Heard = Left, t.source, now
	return t.put(e)
}

// Merge takes what another host announced. Engines must be in the terms of
// this process's clock.
func (t *Table) Merge(engines []Engine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range engines {
		t.put(e)
	}
}

// recalled stands for the source of an engine that no host has heard since this
// one started.
const recalled = "recalled"

// Recall takes engines that were known before this host started. Those which no
// host hears from now on fall silent.
func (t *Table) Recall(engines []Engine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range engines {
		e.Source, e.Heard = recalled, t.clock()
		t.put(e)
	}
}

// put takes over what is newer. The lock is held.
func (t *Table) put(e Engine) bool {
	known, ok := t.engines[e.ID]
	if !ok {
		e.Began = t.clock()
		known = &entry{Engine: e}
		t.engines[e.ID] = known
		t.settle(known)
		if e.Phase == Ready || e.Phase == Draining {
			t.supersede(e)
		}
		t.note(known)
		return true
	}
	if !newer(known.Engine, e) {
		return false
	}
	old := known.Engine
	anew := e.Born != old.Born
	if !anew {
		e.Began = old.Began
	} else {
		e.Began = t.clock()
	}
	if e.Address != old.Address {
		t.unsettle(known)
		known.Engine = e
		t.settle(known)
	}
	known.Engine = e
	if (anew || old.Phase == Silent) && e.Phase != Silent && e.Phase != Left {
		t.supersede(e)
	}
	if sameNews(old, e) {
		return false
	}
	t.note(known)
	return true
}

// newer tells whether e says more than what is known. The later life does; of one
// sequence, only a
// later phase does, or a fresh heartbeat after a silence.
func newer(known, e Engine) bool {
	switch {
	case e.Born != known.Born:
		return e.Born > known.Born
	case known.Phase == Left:
		return false
	case e.Phase == Left:
		return true
	case e.Sequence != known.Sequence:
		return e.Sequence > known.Sequence
	default:
		return e.Phase > known.Phase
	}
}

// sameNews tells whether two states of an engine are alike to other hosts.
func sameNews(a, b Engine) bool {
	shift := a.ColdUntil.Sub(b.ColdUntil).Abs()
	bothWarm := !b.IsCold(b.Heard) && !a.IsCold(b.Heard)
	return a.Born == b.Born && a.Phase == b.Phase && a.Source == b.Source && a.Address == b.Address && a.Slots == b.Slots &&
		a.GoneAt.IsZero() == b.GoneAt.IsZero() && (bothWarm || shift < coldShift)
}

// supersede marks the earlier owners of an engine's address as ended: an
// address is given away only after its engine's end.
func (t *Table) supersede(e Engine) {
	for _, other := range t.places[e.Address] {
		if other.ID != e.ID && other.Phase != Left && other.Phase != Silent {
			other.Phase = Silent
			t.note(other)
		}
	}
}

// settle notes an engine at its address.
func (t *Table) settle(e *entry) { t.places[e.Address] = append(t.places[e.Address], e) }

// unsettle takes an engine off its address.
func (t *Table) unsettle(e *entry) {
	others := slices.DeleteFunc(t.places[e.Address], func(o *entry) bool { return o == e })
	if len(others) == 0 {
		delete(t.places, e.Address)
		return
	}
	t.places[e.Address] = others
}

func (t *Table) note(e *entry) {
	t.changes++
	e.change = t.changes
	t.order.Note(e, e.change)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Confirm notes that the control host of that life is in touch, so that every
// engine that it hears counts as heard now.
func (t *Table) Confirm(source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	for _, e := range t.engines {
		if e.Source == source && e.Phase != Silent {
			e.Heard = now
		}
	}
}

// Expire marks engines that this host should hear and doesn't as silent, and
// forgets what ended long ago. It gives the engines that fell silent.
func (t *Table) Expire() []Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	patience := time.Duration(silentBeats * float64(t.heartbeat))
	var silent []Engine
	for id, e := range t.engines {
		age := now.Sub(e.Heard)
		switch {
		case e.Phase == Ready && (e.Source == t.source || e.Source == recalled) && age > patience:
			e.Phase = Silent
			t.note(e)
			silent = append(silent, e.Engine)
		case age > keepLeft:
			delete(t.engines, id)
			t.order.Forget(e)
			t.unsettle(e)
		}
	}
	return silent
}

// Since gives the engines that changed after the number, of those that wanted
// allows, and the number up to which they are given.
func (t *Table) Since(number uint64, wanted func(e Engine) bool) ([]Engine, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if number == t.changes {
		return nil, number
	}
	var out []Engine
	for _, e := range t.order.Since(number) {
		if wanted(e.Engine) {
			out = append(out, e.Engine)
		}
	}
	slices.SortFunc(out, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	return out, t.changes
}

// Get gives the engine of that ID.
func (t *Table) Get(id string) (Engine, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engines[id]
	if !ok {
		return Engine{}, false
	}
	return e.Engine, true
}

// All gives every engine that has not been forgotten, in the order of IDs.
func (t *Table) All() []Engine {
	out, _ := t.Since(0, func(Engine) bool { return true })
	return out
}
