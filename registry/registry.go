// Package registry holds a host's view of the engines, which register themselves.
//
// Engines are soft state: each sends a heartbeat to one control host about every second,
// and a Table isn't persisted. Control hosts and gateways each have a Table. A control
// host fills its own from heartbeats with Heartbeat and MarkLeft, and every host merges the
// updates of the control hosts that it follows. Only changes are sent: the receiver's
// cursor, the number of the last change that it has, selects them.
//
// Every start of an engine is a new incarnation. It has an ID of its own, or the ID of
// the previous incarnation and a later start time. Its heartbeats have increasing
// sequence numbers. The later start time wins, then the higher sequence number, so that a
// delayed heartbeat changes nothing, and an incarnation that has left never returns.
package registry

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/linenscale/linenscale/internal/recent"
)

// Phase is the state of an engine in its life cycle.
type Phase uint8

// The phases, in order: of two reports with the same sequence number, the later phase wins.
const (
	Ready        Phase = iota
	Unresponsive       // no heartbeat within its timeout: it may have ended
	Draining           // it finishes the requests that it has and accepts no new ones
	Left               // it has ended or is about to
)

// String returns the name used in logs, where Unresponsive is called silent.
func (p Phase) String() string {
	return [...]string{"ready", "silent", "draining", "left"}[p]
}

// Engine is the last known state of one incarnation of an engine. Its times are those of
// this process's steady clock.
type Engine struct {
	ID         string
	Born       int64 // start time by its own clock, in Unix milliseconds; 0 if it doesn't report one
	Service    string
	Version    string // of its software; "" if it doesn't report one
	Address    string // IP and port
	DataCentre string
	Slots      int // requests that it processes concurrently
	Sequence   int64
	Phase      Phase
	ColdUntil  time.Time // it has reduced capacity until then
	GoneAt     time.Time // when it will be shut down, zero if not known
	Source     string    // incarnation of the control host that receives its heartbeats
	Heard      time.Time // when Source was last known to receive them
	Began      time.Time // when this host first received a report of this incarnation
}

// Incarnation returns an identifier that is unique to one start of the engine.
func (e Engine) Incarnation() string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.Born, 10)
}

// IsCold reports whether the engine still has reduced capacity after its start.
func (e Engine) IsCold(now time.Time) bool { return now.Before(e.ColdUntil) }

// IsRestored reports whether no host has had a heartbeat of the engine since it was restored from
// disk.
func (e Engine) IsRestored() bool { return e.Source == restoredSource }

// Limits of heartbeats and retention.
const (
	// maxMissedHeartbeats is how many heartbeat intervals may pass without a heartbeat.
	maxMissedHeartbeats = 3.5
	// Retention is how long an engine is retained after its last heartbeat, so that
	// delayed heartbeats, which arrive within seconds, don't bring back one that has left.
	Retention = 60 * time.Second
	// addressOwnerHeartbeats is for how many heartbeat intervals after its last heartbeat
	// an engine owns its address, whatever others claim. An address is reassigned some
	// seconds after its engine has ended, and delayed heartbeats of that engine arrive
	// even later.
	addressOwnerHeartbeats = 1.25
	// maxStartSequence is the highest sequence number of a heartbeat that shows that an
	// engine has just started: the first heartbeat may have been lost.
	maxStartSequence = 2
	// coldEndTolerance is how far the end of a cold period may move between two
	// heartbeats without counting as a change.
	coldEndTolerance = 250 * time.Millisecond
)

// Table holds the engines that a host knows, and numbers their changes. It is safe for
// concurrent use. New makes one.
type Table struct {
	source            string // incarnation of this process
	heartbeatInterval time.Duration
	clock             func() time.Time

	mu        sync.Mutex
	engines   map[string]*entry
	changeLog recent.Log[*entry]
	byAddress map[string][]*entry
	suspects  map[*entry]struct{} // the suspected engines
	// sourceHeard is when the control hosts that receive heartbeats last answered, by
	// incarnation.
	sourceHeard map[string]time.Time
	// lapsed are the control hosts, by incarnation, some of whose engines were removed
	// although nothing about them had changed: these hosts didn't answer.
	lapsed     map[string]struct{}
	lastChange uint64 // number of the last change
	changed    chan struct{}
}

type entry struct {
	Engine
	changeNumber uint64 // of the engine's last change in this table
	// suspected is set if the engine is Unresponsive only by the report of a restarted
	// control host that restored it. Source is still the host that received its heartbeats.
	suspected bool
}

// New makes an empty Table. source is the incarnation of this process; heartbeatInterval
// is the interval at which engines send heartbeats.
func New(source string, heartbeatInterval time.Duration, clock func() time.Time) *Table {
	return &Table{source: source, heartbeatInterval: heartbeatInterval, clock: clock, engines: make(map[string]*entry), byAddress: make(map[string][]*entry), suspects: make(map[*entry]struct{}), sourceHeard: make(map[string]time.Time), lapsed: make(map[string]struct{}), changed: make(chan struct{})}
}

// Changed returns a channel that is closed by the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// LastChange returns the number of the last change.
func (t *Table) LastChange() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastChange
}

// Heartbeat applies a heartbeat that an engine sent to this host. It reports whether
// anything changed that other hosts need. A delayed heartbeat that arrives when another
// incarnation has the address changes nothing.
func (t *Table) Heartbeat(e Engine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.Source, e.Heard = t.source, t.clock()
	if !t.mayClaimAddress(e) {
		return false
	}
	return t.apply(e)
}

// mayClaimAddress reports whether an engine that sent a heartbeat may have its address: no
// other engine owns it, the owner's heartbeats have stopped, or the engine has just
// started.
func (t *Table) mayClaimAddress(e Engine) bool {
	previous, known := t.engines[e.ID]
	newIncarnation := !known || e.Born > previous.Born
	if newIncarnation && e.Sequence <= maxStartSequence {
		return true
	}
	ownership := time.Duration(addressOwnerHeartbeats * float64(t.heartbeatInterval))
	for _, other := range t.byAddress[e.Address] {
		owns := other.ID != e.ID && other.Source != restoredSource && (other.Phase == Ready || other.Phase == Draining)
		if owns && e.Heard.Sub(t.lastHeartbeat(other)) <= ownership {
			return false
		}
	}
	return true
}

// MarkLeft records that an engine has deregistered with this host. A delayed call of an
// earlier incarnation changes nothing. An engine without any heartbeat so far is recorded
// too, so that its delayed heartbeats have no effect. born is 0 if the engine reports no
// start time. MarkLeft reports whether that is a change for other hosts.
func (t *Table) MarkLeft(id string, born int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	e := Engine{ID: id, Born: born}
	if known, ok := t.engines[id]; ok && (born == 0 || born == known.Born) {
		e = known.Engine
	}
	e.Phase, e.Source, e.Heard = Left, t.source, now
	return t.apply(e)
}

// Merge applies updates from another host. Their times must be those of this process's
// clock. It returns the engines, already known before, whose phase has changed.
func (t *Table) Merge(engines []Engine) (changed []Engine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range engines {
		before, known := t.engines[e.ID]
		phase := Ready
		if known {
			phase = before.Phase
		}
		t.apply(e)
		if known && before.Phase != phase {
			changed = append(changed, before.Engine)
		}
	}
	return changed
}

// restoredSource is the source of an engine that no host has had a heartbeat from since
// this one started.
const restoredSource = "recalled"

// Restore restores engines that were known before this host started. Those that no host
// receives heartbeats from become Unresponsive.
func (t *Table) Restore(engines []Engine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range engines {
		e.Source, e.Heard = restoredSource, t.clock()
		t.apply(e)
	}
}

// apply applies an engine's state if it is newer, and reports whether that is a change for
// other hosts. The caller holds the lock.
func (t *Table) apply(e Engine) bool {
	current, ok := t.engines[e.ID]
	if !ok {
		e.Began = t.clock()
		current = &entry{Engine: e}
		t.engines[e.ID] = current
		t.addAddress(current)
		if e.Phase == Ready || e.Phase == Draining {
			t.markOtherOwnersUnresponsive(e)
		}
		t.recordChange(current)
		return true
	}
	if isSuspicion(current.Engine, e) {
		t.setUnresponsive(current)
		t.setSuspected(current, true)
		t.recordChange(current)
		return true
	}
	if !isNewer(current.Engine, e) {
		if e.Phase == Unresponsive && e.Source != restoredSource && e.Born == current.Born && e.Sequence == current.Sequence {
			t.setSuspected(current, false) // a host that received its heartbeats says so too
		}
		return false
	}
	old := current.Engine
	t.setSuspected(current, false)
	newIncarnation := e.Born != old.Born
	if !newIncarnation {
		e.Began = old.Began
	} else {
		e.Began = t.clock()
	}
	if e.Address != old.Address {
		t.removeAddress(current)
		current.Engine = e
		t.addAddress(current)
	}
	current.Engine = e
	if (newIncarnation || old.Phase == Unresponsive) && e.Phase != Unresponsive && e.Phase != Left {
		t.markOtherOwnersUnresponsive(e)
	}
	if sameForOthers(old, e) {
		return false
	}
	t.recordChange(current)
	return true
}

// isNewer reports whether e supersedes the current state. A later incarnation does. Within
// an incarnation Left is final, and a higher sequence number wins, so that a new heartbeat
// ends the Unresponsive phase; at the same sequence number a later phase wins.
func isNewer(current, e Engine) bool {
	switch {
	case e.Born != current.Born:
		return e.Born > current.Born
	case current.Phase == Left:
		return false
	case e.Phase == Left:
		return true
	case e.Sequence != current.Sequence:
		return e.Sequence > current.Sequence
	default:
		return e.Phase > current.Phase
	}
}

// isSuspicion reports whether e is the report of a restarted control host that restored the
// engine and has learned of no heartbeats since, while another host received them. A
// control host that is partitioned from the others reports that of all engines, and its
// sequence numbers are as high as those of the other host's last change: only changes are
// sent, so that host doesn't contradict it.
func isSuspicion(current, e Engine) bool {
	return e.Phase == Unresponsive && e.Source == restoredSource && current.Phase == Ready && current.Source != restoredSource &&
		e.Born == current.Born && e.Sequence >= current.Sequence
}

// sameForOthers reports whether two states of an engine are the same for other hosts.
func sameForOthers(a, b Engine) bool {
	shift := a.ColdUntil.Sub(b.ColdUntil).Abs()
	bothWarm := !b.IsCold(b.Heard) && !a.IsCold(b.Heard)
	return a.Born == b.Born && a.Version == b.Version && a.Phase == b.Phase && a.Source == b.Source && a.Address == b.Address && a.Slots == b.Slots &&
		a.GoneAt.IsZero() == b.GoneAt.IsZero() && (bothWarm || shift < coldEndTolerance)
}

// markOtherOwnersUnresponsive marks the other engines at an engine's address as
// Unresponsive: an address is reassigned only after its engine has ended.
func (t *Table) markOtherOwnersUnresponsive(e Engine) {
	for _, other := range t.byAddress[e.Address] {
		if other.ID == e.ID {
			continue
		}
		t.setSuspected(other, false)
		if other.Phase != Left && other.Phase != Unresponsive {
			t.setUnresponsive(other)
			t.recordChange(other)
		}
	}
}

// addAddress adds an engine to the index by address.
func (t *Table) addAddress(e *entry) { t.byAddress[e.Address] = append(t.byAddress[e.Address], e) }

// removeAddress removes an engine from the index by address.
func (t *Table) removeAddress(e *entry) {
	others := slices.DeleteFunc(t.byAddress[e.Address], func(o *entry) bool { return o == e })
	if len(others) == 0 {
		delete(t.byAddress, e.Address)
		return
	}
	t.byAddress[e.Address] = others
}

// recordChange gives an engine's change the next number and wakes those who wait for it.
func (t *Table) recordChange(e *entry) {
	t.lastChange++
	e.changeNumber = t.lastChange
	t.changeLog.Record(e, e.changeNumber)
	close(t.changed)
	t.changed = make(chan struct{})
}

// ConfirmSource is ConfirmSources for one control host.
func (t *Table) ConfirmSource(source string) (ready []Engine) {
	return t.ConfirmSources([]string{source})
}

// ConfirmSources records that the control hosts with these incarnations have answered, after
// the changes in their answers have been merged. That counts as a heartbeat of every engine
// whose source they are, except those that they reported as Unresponsive. ConfirmSources
// returns the engines that are ready again because only a restarted host had reported
// otherwise.
func (t *Table) ConfirmSources(sources []string) (ready []Engine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	for _, source := range sources {
		t.sourceHeard[source] = now
	}
	for e := range t.suspects {
		if slices.Contains(sources, e.Source) {
			e.Phase = Ready
			t.setSuspected(e, false)
			t.recordChange(e)
			ready = append(ready, e.Engine)
		}
	}
	return ready
}

// lastHeartbeat returns when an engine's source was last known to receive its heartbeats. While it
// isn't Unresponsive, every answer of its source counts: there are thousands of engines,
// so that the time is kept for each source instead of for each engine.
func (t *Table) lastHeartbeat(e *entry) time.Time {
	if confirmed := t.sourceHeard[e.Source]; e.Phase != Unresponsive && confirmed.After(e.Heard) {
		return confirmed
	}
	return e.Heard
}

// current returns an engine with the time of its last heartbeat.
func (t *Table) current(e *entry) Engine {
	out := e.Engine
	out.Heard = t.lastHeartbeat(e)
	return out
}

// setUnresponsive changes an engine's phase, after which answers of its source no longer
// count as its heartbeats.
func (t *Table) setUnresponsive(e *entry) {
	e.Heard = t.lastHeartbeat(e)
	e.Phase = Unresponsive
}

// setSuspected sets or clears the suspicion of an engine.
func (t *Table) setSuspected(e *entry, suspected bool) {
	e.suspected = suspected
	if suspected {
		t.suspects[e] = struct{}{}
	} else {
		delete(t.suspects, e)
	}
}

// Expire marks ready engines as Unresponsive whose heartbeats this host should receive and
// doesn't, and removes engines that have had no heartbeat for the retention time. It
// returns the engines that have become Unresponsive.
func (t *Table) Expire() []Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	timeout := time.Duration(maxMissedHeartbeats * float64(t.heartbeatInterval))
	for source, at := range t.sourceHeard {
		if now.Sub(at) > Retention {
			delete(t.sourceHeard, source)
		}
	}
	var unresponsive []Engine
	for id, e := range t.engines {
		age := now.Sub(t.lastHeartbeat(e))
		switch {
		case e.Phase == Ready && (e.Source == t.source || e.Source == restoredSource) && age > timeout:
			t.setUnresponsive(e)
			t.recordChange(e)
			unresponsive = append(unresponsive, e.Engine)
		case age > Retention:
			t.remove(id, e)
		}
	}
	return unresponsive
}

// remove removes an engine. Its source may still receive its heartbeats if nothing was
// received that says otherwise.
func (t *Table) remove(id string, e *entry) {
	if e.Phase == Ready || e.Phase == Draining || e.suspected {
		t.lapsed[e.Source] = struct{}{}
	}
	delete(t.engines, id)
	t.changeLog.Remove(e)
	t.removeAddress(e)
	delete(t.suspects, e)
}

// TakeLapsed reports whether Expire has removed engines because one of these control hosts,
// which have answered now, didn't answer: they don't send what hasn't changed. It reports
// each removal once.
func (t *Table) TakeLapsed(sources []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.lapsed)
	for _, source := range sources {
		delete(t.lapsed, source)
	}
	return len(t.lapsed) < before
}

// ChangedSince returns the engines that match and whose last change has a higher number
// than the given one, sorted by ID, and the number of the table's last change.
func (t *Table) ChangedSince(number uint64, matches func(e Engine) bool) ([]Engine, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if number == t.lastChange {
		return nil, number
	}
	var out []Engine
	for _, e := range t.changeLog.ChangedSince(number) {
		if matches(e.Engine) {
			out = append(out, t.current(e))
		}
	}
	slices.SortFunc(out, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	return out, t.lastChange
}

// Page returns up to limit engines that match and whose last change has a higher number than
// the given one, in the order of these changes. number is the one up to which the result
// reaches, from which the next page continues; more reports whether there is one.
func (t *Table) Page(after uint64, limit int, matches func(e Engine) bool) (engines []Engine, number uint64, more bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	number = after
	for changed, e := range t.changeLog.After(after) {
		if !matches(e.Engine) {
			continue
		}
		if len(engines) == limit {
			return engines, number, true
		}
		engines, number = append(engines, t.current(e)), changed
	}
	return engines, t.lastChange, false
}

// Get returns the engine with that ID.
func (t *Table) Get(id string) (Engine, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engines[id]
	if !ok {
		return Engine{}, false
	}
	return t.current(e), true
}

// All returns every engine in the table, sorted by ID.
func (t *Table) All() []Engine {
	out, _ := t.ChangedSince(0, func(Engine) bool { return true })
	return out
}
