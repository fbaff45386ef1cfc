// This file defines how many engines a request may crash.

package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// mostCrashes is how many engines may crash under a request before it is refused. Of
	// requests that only ran beside the cause, or on hosts that lost power, few see a
	// second crash (TestAStormRefusesNobody).
	mostCrashes = 3
	// holdTime is for how long a request is refused after the third crash, and holdMost
	// the longest: it doubles with each crash beyond. What crashes engines is mended by
	// people, in minutes at best. A request that goes on crashing engines so costs five
	// of them in its first hour, and then one in 80 minutes.
	holdTime = 10 * time.Minute
	holdMost = 80 * time.Minute
	// life is for how long crashes count. It is longer than the longest refusal, so that
	// the crash of a later try comes on top of those before.
	life = 2 * holdMost
	// goodTime is for how long a request that has been answered is not taken for the cause
	// of crashes: many callers ask for the same, and some of them are on every engine that
	// ends. It is short, so that a request which begins to crash engines, of a new version
	// perhaps, is found soon.
	goodTime = 30 * time.Second
	// aloneRetry is when to come back with a request that is running, after engines have
	// crashed under it: its run shows within some tenths of a second whether it does so again.
	aloneRetry = time.Second
)

// Bounds of a table, so that its memory doesn't grow when every request is another: 1,024
// entries and 8,192 answered requests take some 0.4 MB.
const (
	mostEntries = 1024
	mostGood    = 4096 // of one half of goodTime
	mostNoted   = 8    // crashes of one entry
)

// Refused says that a request is kept from engines.
type Refused struct {
	Crashes    int // engines that crashed under it
	RetryAfter time.Duration
	// Running is true where it is refused only while another of its kind runs.
	Running bool
}

// Error implements error.
func (r *Refused) Error() string {
	if r.Running {
		return "engines have crashed under it, and it is running"
	}
	return "every engine that ran it has crashed"
}

// Table holds under which requests engines crashed. It isn't safe for concurrent use. New
// makes one.
type Table struct {
	entries map[Fingerprint]*entry
	running map[Fingerprint]int     // at this gateway
	good    [2]map[Fingerprint]bool // answered lately: in this half of goodTime, and in that before
	turned  time.Time               // when the halves were last exchanged
	near    queue                   // what the gateways of this region are to be told
	far     queue                   // what other regions are to be told
	turn    int                     // whose turn it is among the refused to be told again
}

// entry is what is known of one request.
type entry struct {
	crashes  []crash   // by time
	answered time.Time // crashes before are void; zero for none
}

// crash is the end of one engine.
type crash struct {
	engine uint32 // hash of its incarnation
	at     time.Time
}

// hashOf names an engine among gateways; it is never 0.
func hashOf(incarnation string) uint32 { return max(1, uint32(xxhash.Sum64String(incarnation))) }

// New makes an empty table.
func New() *Table {
	return &Table{
		entries: make(map[Fingerprint]*entry), running: make(map[Fingerprint]int),
		good: [2]map[Fingerprint]bool{make(map[Fingerprint]bool), make(map[Fingerprint]bool)},
		near: newQueue(timesNear), far: newQueue(timesFar),
	}
}

// newest is when the last crash was; zero for none.
func (e *entry) newest() time.Time {
	if len(e.crashes) == 0 {
		return time.Time{}
	}
	return e.crashes[len(e.crashes)-1].at
}

// until gives up to when the request is refused; false where it isn't.
func (e *entry) until() (time.Time, bool) {
	beyond := len(e.crashes) - mostCrashes
	if beyond < 0 {
		return time.Time{}, false
	}
	return e.newest().Add(min(holdTime<<beyond, holdMost)), true
}

// Check tells whether a request may run: nil, or a *Refused.
func (t *Table) Check(f Fingerprint, now time.Time) error {
	e, ok := t.entries[f]
	if !ok || len(e.crashes) == 0 {
		return nil
	}
	if until, refused := e.until(); refused && now.Before(until) {
		return &Refused{Crashes: len(e.crashes), RetryAfter: until.Sub(now)}
	}
	// One at a time: whoever sends it ten times a second would crash as many engines
	// before the next crash is known.
	if t.running[f] > 0 {
		return &Refused{Crashes: len(e.crashes), RetryAfter: aloneRetry, Running: true}
	}
	return nil
}

// Begin notes that a request is sent to an engine. End must be called when that is over.
func (t *Table) Begin(f Fingerprint) {
	if f != 0 {
		t.running[f]++
	}
}

// End notes that a request's send is over. answered tells that an engine has lived
// through it: whatever crashed before, it isn't the cause.
func (t *Table) End(f Fingerprint, answered bool, now time.Time) {
	if f == 0 {
		return
	}
	if t.running[f]--; t.running[f] <= 0 {
		delete(t.running, f)
	}
	if answered {
		t.noteGood(f, now)
		if t.clear(f, now) {
			t.near.push(f)
			t.far.push(f)
		}
	}
}

// noteGood remembers a request that was answered.
func (t *Table) noteGood(f Fingerprint, now time.Time) {
	if now.Sub(t.turned) >= goodTime/2 {
		t.good[0], t.good[1], t.turned = make(map[Fingerprint]bool), t.good[0], now
	}
	if len(t.good[0]) < mostGood {
		t.good[0][f] = true
	}
}

func (t *Table) isGood(f Fingerprint, now time.Time) bool {
	if now.Sub(t.turned) >= goodTime {
		return false
	}
	return t.good[0][f] || t.good[1][f]
}

// clear drops all crashes under a request up to a time, and tells whether there were any.
func (t *Table) clear(f Fingerprint, at time.Time) bool {
	e, ok := t.entries[f]
	if !ok || !at.After(e.answered) {
		return false
	}
	before := len(e.crashes)
	e.answered = at
	e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool { return !c.at.After(at) })
	return len(e.crashes) < before
}

// Crashed notes that an engine crashed under a request of this gateway. It tells whether
// the request is refused from now on.
func (t *Table) Crashed(f Fingerprint, incarnation string, now time.Time) (refused bool) {
	if f == 0 || t.isGood(f, now) || !t.note(f, crash{hashOf(incarnation), now}, now) {
		return false
	}
	t.near.push(f)
	t.far.push(f)
	return len(t.entries[f].crashes) == mostCrashes
}

// note takes a crash over, and tells whether it is new.
func (t *Table) note(f Fingerprint, c crash, now time.Time) bool {
	e := t.entry(f, now)
	known := slices.ContainsFunc(e.crashes, func(o crash) bool { return o.engine == c.engine })
	if known || !c.at.After(e.answered) {
		return false
	}
	e.crashes = append(e.crashes, c)
	slices.SortStableFunc(e.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	if len(e.crashes) > mostNoted {
		e.crashes = e.crashes[1:]
	}
	return true
}

// entry gives the entry of a request, a new one where there is none.
func (t *Table) entry(f Fingerprint, now time.Time) *entry {
	e, ok := t.entries[f]
	if !ok {
		t.makeRoom(now)
		e = &entry{}
		t.entries[f] = e
	}
	return e
}

// makeRoom forgets what no longer counts, and where that isn't enough the entry with the
// fewest crashes whose newest is the oldest: those of a storm give way to those that are
// refused.
func (t *Table) makeRoom(now time.Time) {
	if len(t.entries) < mostEntries {
		return
	}
	t.Forget(now)
	if len(t.entries) < mostEntries {
		return
	}
	var least Fingerprint
	for f, e := range t.entries {
		o := t.entries[least]
		if o == nil || cmp.Or(cmp.Compare(len(e.crashes), len(o.crashes)), e.newest().Compare(o.newest())) < 0 {
			least = f
		}
	}
	delete(t.entries, least)
}

// Forget drops what no longer counts. The owner calls it now and then.
func (t *Table) Forget(now time.Time) {
	for f, e := range t.entries {
		if now.Sub(e.newest()) > life && now.Sub(e.answered) > goodTime {
			delete(t.entries, f)
		}
	}
}

// Refused counts the requests that are refused.
func (t *Table) Refused(now time.Time) int { return len(t.refused(now)) }

// refused lists the requests that are refused, in order.
func (t *Table) refused(now time.Time) []Fingerprint {
	var out []Fingerprint
	for f, e := range t.entries {
		if until, refused := e.until(); refused && now.Before(until) {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}
