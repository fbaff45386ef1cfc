// This file defines when a request is quarantined.

package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashThreshold is the number of engine crashes at which a request is quarantined.
	// Few requests that merely ran next to the cause, or on hosts that lost power, see a
	// second crash, let alone a third (TestPowerLossQuarantinesNothing).
	crashThreshold = 3
	// A request is quarantined for baseQuarantine after the third crash; the time doubles
	// with each further crash, up to maxQuarantine. Faults that crash engines are fixed
	// by people, which takes minutes at best. A request that keeps crashing engines costs
	// five engines in its first hour, and one every 80 minutes after that.
	baseQuarantine = 10 * time.Minute
	maxQuarantine  = 80 * time.Minute
	// crashTTL is how long a crash counts. It exceeds maxQuarantine, so that a crash on a
	// retry after the quarantine adds to the earlier ones.
	crashTTL = 2 * maxQuarantine
	// answeredTTL is how long a request that was answered isn't blamed for crashes.
	// Popular requests, sent by many callers, run on every engine that crashes. The time
	// is short so that a request that begins to crash engines, for example after an
	// upgrade, is soon detected.
	answeredTTL = 30 * time.Second
	// concurrentRetryAfter is the Retry-After of a request under which engines have
	// crashed and that is running: a crash shows within a few tenths of a second.
	concurrentRetryAfter = time.Second
)

// Limits of a table, so that its memory stays bounded when every request is different:
// 1,024 entries and 8,192 answered requests take some 0.4 MB.
const (
	maxEntries         = 1024
	maxAnswered        = 4096 // in each half of answeredTTL
	maxCrashesPerEntry = 8
)

// RejectedError is the error for a request that must not be sent to an engine.
type RejectedError struct {
	Crashes    int // engines that have crashed under it
	RetryAfter time.Duration
	// Running is true if the request isn't quarantined, but engines have crashed under it
	// and it is already running.
	Running bool
}

// Error implements error.
func (r *RejectedError) Error() string {
	if r.Running {
		return "engines have crashed under it, and it is running"
	}
	return "every engine that ran it has crashed"
}

// Table counts the engine crashes per request. It isn't safe for concurrent use.
type Table struct {
	entries     map[Fingerprint]*entry
	running     map[Fingerprint]int     // requests in flight at this gateway
	answered    [2]map[Fingerprint]bool // answered recently: in the current half of answeredTTL, and in the previous one
	rotatedAt   time.Time               // when answered was last rotated
	localQueue  queue                   // changes to send to the gateways of this region
	remoteQueue queue                   // changes to send to other regions
	nextRepeat  int                     // position in the rotation of quarantined requests
}

// entry holds the crashes recorded for one request.
type entry struct {
	crashes    []crash   // in order of time
	answeredAt time.Time // crashes up to then don't count; zero if the request wasn't answered
}

// crash is the crash of one engine.
type crash struct {
	engine uint32 // engineHash of its incarnation
	at     time.Time
}

// engineHash identifies an engine's incarnation in reports between gateways; it is never
// 0, which marks an answer.
func engineHash(incarnation string) uint32 { return max(1, uint32(xxhash.Sum64String(incarnation))) }

// New returns an empty table.
func New() *Table {
	return &Table{
		entries: make(map[Fingerprint]*entry), running: make(map[Fingerprint]int),
		answered:   [2]map[Fingerprint]bool{make(map[Fingerprint]bool), make(map[Fingerprint]bool)},
		localQueue: newQueue(localSends), remoteQueue: newQueue(remoteSends),
	}
}

// lastCrash returns the time of the last crash; zero if there is none.
func (e *entry) lastCrash() time.Time {
	if len(e.crashes) == 0 {
		return time.Time{}
	}
	return e.crashes[len(e.crashes)-1].at
}

// quarantinedUntil returns when the quarantine of the request ends; false if it has had
// too few crashes to be quarantined.
func (e *entry) quarantinedUntil() (time.Time, bool) {
	excess := len(e.crashes) - crashThreshold
	if excess < 0 {
		return time.Time{}, false
	}
	return e.lastCrash().Add(min(baseQuarantine<<excess, maxQuarantine)), true
}

// Check returns nil if the request may be sent to an engine, else an error that says when
// to retry.
func (t *Table) Check(f Fingerprint, now time.Time) error {
	e, ok := t.entries[f]
	if !ok || len(e.crashes) == 0 {
		return nil
	}
	if until, quarantined := e.quarantinedUntil(); quarantined && now.Before(until) {
		return &RejectedError{Crashes: len(e.crashes), RetryAfter: until.Sub(now)}
	}
	// Only one may run at a time: a caller that sends the request ten times a second would
	// otherwise crash as many engines before the next crash is detected.
	if t.running[f] > 0 {
		return &RejectedError{Crashes: len(e.crashes), RetryAfter: concurrentRetryAfter, Running: true}
	}
	return nil
}

// Begin records that a request is sent to an engine. The caller must call End when the
// send is over.
func (t *Table) Begin(f Fingerprint) {
	if f != 0 {
		t.running[f]++
	}
}

// End records that a request's send has ended. If an engine answered, the request isn't the
// cause of the earlier crashes, and they are cleared.
func (t *Table) End(f Fingerprint, answered bool, now time.Time) {
	if f == 0 {
		return
	}
	if t.running[f]--; t.running[f] <= 0 {
		delete(t.running, f)
	}
	if answered {
		t.recordAnswered(f, now)
		if t.clearCrashes(f, now) {
			t.localQueue.push(f)
			t.remoteQueue.push(f)
		}
	}
}

// recordAnswered remembers that a request was answered, and rotates the two halves when
// due.
func (t *Table) recordAnswered(f Fingerprint, now time.Time) {
	if now.Sub(t.rotatedAt) >= answeredTTL/2 {
		t.answered[0], t.answered[1], t.rotatedAt = make(map[Fingerprint]bool), t.answered[0], now
	}
	if len(t.answered[0]) < maxAnswered {
		t.answered[0][f] = true
	}
}

// answeredRecently reports whether a request was answered within answeredTTL.
func (t *Table) answeredRecently(f Fingerprint, now time.Time) bool {
	if now.Sub(t.rotatedAt) >= answeredTTL {
		return false
	}
	return t.answered[0][f] || t.answered[1][f]
}

// clearCrashes removes all crashes of a request up to a time, and reports whether there
// were any.
func (t *Table) clearCrashes(f Fingerprint, upTo time.Time) bool {
	e, ok := t.entries[f]
	if !ok || !upTo.After(e.answeredAt) {
		return false
	}
	count := len(e.crashes)
	e.answeredAt = upTo
	e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool { return !c.at.After(upTo) })
	return len(e.crashes) < count
}

// RecordCrash records that an engine crashed under a request of this gateway. It reports
// whether the request has become quarantined.
func (t *Table) RecordCrash(f Fingerprint, incarnation string, now time.Time) (quarantined bool) {
	if f == 0 || t.answeredRecently(f, now) || !t.addCrash(f, crash{engineHash(incarnation), now}, now) {
		return false
	}
	t.localQueue.push(f)
	t.remoteQueue.push(f)
	return len(t.entries[f].crashes) == crashThreshold
}

// addCrash adds a crash to a request's entry, and reports whether it counts: it must be
// new, and later than the last answer.
func (t *Table) addCrash(f Fingerprint, c crash, now time.Time) bool {
	e := t.entryFor(f, now)
	duplicate := slices.ContainsFunc(e.crashes, func(o crash) bool { return o.engine == c.engine })
	if duplicate || !c.at.After(e.answeredAt) {
		return false
	}
	e.crashes = append(e.crashes, c)
	slices.SortStableFunc(e.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	if len(e.crashes) > maxCrashesPerEntry {
		e.crashes = e.crashes[1:]
	}
	return true
}

// entryFor returns the entry of a request, and creates it if there is none.
func (t *Table) entryFor(f Fingerprint, now time.Time) *entry {
	e, ok := t.entries[f]
	if !ok {
		t.evictIfFull(now)
		e = &entry{}
		t.entries[f] = e
	}
	return e
}

// evictIfFull ensures that an entry can be added. If the table is full, it removes expired
// entries, and if there are none, the entry with the fewest crashes; of those the one whose
// last crash is the oldest. Thus quarantined requests survive a burst of unrelated crashes.
func (t *Table) evictIfFull(now time.Time) {
	if len(t.entries) < maxEntries {
		return
	}
	t.Expire(now)
	if len(t.entries) < maxEntries {
		return
	}
	var victim Fingerprint
	for f, e := range t.entries {
		o := t.entries[victim]
		if o == nil || cmp.Or(cmp.Compare(len(e.crashes), len(o.crashes)), e.lastCrash().Compare(o.lastCrash())) < 0 {
			victim = f
		}
	}
	delete(t.entries, victim)
}

// Expire removes expired entries. The owner calls it periodically.
func (t *Table) Expire(now time.Time) {
	for f, e := range t.entries {
		if now.Sub(e.lastCrash()) > crashTTL && now.Sub(e.answeredAt) > answeredTTL {
			delete(t.entries, f)
		}
	}
}

// QuarantinedCount returns the number of quarantined requests.
func (t *Table) QuarantinedCount(now time.Time) int { return len(t.quarantined(now)) }

// quarantined lists the quarantined requests, sorted so that their rotation is stable.
func (t *Table) quarantined(now time.Time) []Fingerprint {
	var out []Fingerprint
	for f, e := range t.entries {
		if until, quarantined := e.quarantinedUntil(); quarantined && now.Before(until) {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}
