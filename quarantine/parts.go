// This file defines when a part of prompts is quarantined.

package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Prompt identifies the parts of a prompt that other prompts share, at the engines of one
// service that run one model. It is immutable; NewPrompt returns one. The zero value has no
// parts.
type Prompt struct {
	engines Fingerprint // the service and the model
	shared  []Fingerprint
}

// maxParts bounds the parts of one prompt that are considered, so that no caller can make its
// gateway hash and report thousands.
const maxParts = 64

// NewPrompt returns the prompt with the shared parts of the given IDs, of which it ignores those
// after the first 64.
func NewPrompt(service, model string, ids []string) Prompt {
	if len(ids) == 0 {
		return Prompt{}
	}
	p := Prompt{engines: FingerprintOf("", service, model, "", nil) | enginesBit}
	for _, id := range ids[:min(len(ids), maxParts)] {
		p.shared = append(p.shared, max(enginesBit<<1, FingerprintOf("part", service, model, id, nil)&^enginesBit))
	}
	return p
}

// enginesBit tells the fingerprints of engines from those of parts. The table records the crashes of
// all engines of a service and model like those of a part, so that gateways report them to each
// other, but never quarantines that.
const enginesBit Fingerprint = 1

// isPart reports whether a fingerprint is that of a part.
func isPart(f Fingerprint) bool { return f&enginesBit == 0 }

// IsEmpty reports whether the prompt has no shared parts.
func (p Prompt) IsEmpty() bool { return len(p.shared) == 0 }

// Contains reports whether the part is one of the prompt's shared parts.
func (p Prompt) Contains(part Fingerprint) bool { return slices.Contains(p.shared, part) }

// Run is one request that an engine runs.
type Run struct {
	Prompt Prompt
	Sent   time.Time // when the request was sent to the engine
	Begun  time.Time // when the engine began its answer; zero if it hadn't
}

// BeginSettles is how long an engine must live on after it has begun an answer for the parts of
// its prompt to be cleared. A part that crashes engines does so as they begin to answer.
const BeginSettles = 250 * time.Millisecond

const (
	// minSeparateCrashes is the number of crashes at which a part is quarantined if each of
	// their runs was sent after the one before had crashed. The crashes of one power loss
	// overlap, however many engines it takes.
	minSeparateCrashes = 3
	// With so many crashes, two that are separate suffice.
	minCrashes          = 5
	minSeparateOfOthers = 2
	// beginReportTime is how long it may take until a gateway knows that an answer has begun
	// somewhere in its region: BeginSettles, and three reports of 0.1 s.
	beginReportTime = 600 * time.Millisecond
	// Crashes within nearbyTime may have one cause. A gateway dates the crashes that others report
	// some 0.1 s too late.
	nearbyTime = 200 * time.Millisecond
	// minNearbyShare is the share, one in so many, of the engines that crashed at nearly the same
	// time that must have run a part for these crashes to count against it. Power losses take
	// engines whatever they run.
	minNearbyShare = 2
	// begunTTL is how long a gateway remembers that answers on a part have begun.
	begunTTL = 30 * time.Second
	// trialRetryAfter is the Retry-After of a request with a part that one gateway of each region
	// currently tries again.
	trialRetryAfter = 5 * time.Second
)

// Limits of the table of parts: 1,024 entries with 16 crashes each take 1.3 MB, the parts on which
// answers have begun up to 0.7 MB.
const (
	maxCrashesPerPart = 16
	maxBegun          = 4096 // in each half of begunTTL
	// maxBegunRuns is how many of the latest runs that have begun are kept for comparison.
	maxBegunRuns = 32
	// maxEngineCrashes is how many of the latest engine crashes are kept for comparison.
	maxEngineCrashes = 256
)

// Parts counts the engine crashes per part of prompts. It isn't safe for concurrent use. NewParts
// returns one.
//
// A crash counts against all parts of all requests whose answers had not begun on the engine, and
// a sound part usually shares its prompts and its engines with the cause. It is cleared by
// answers: once an engine has begun an answer on a part and lived on, no earlier crash counts
// against it. Crashes of a part that is quarantined no longer count against others.
type Parts struct {
	entries     map[Fingerprint]*partEntry
	quarantined map[Fingerprint]*partEntry
	begun       [2]map[Fingerprint]time.Time // when answers last began: in the current half of begunTTL, and in the previous one
	rotatedAt   time.Time                    // when begun was last rotated
	begunRuns   [maxBegunRuns]begunRun       // the latest ones, as a ring
	nextRun     int
	engines     [maxEngineCrashes]engineCrash // the latest ones, as a ring
	nextEngine  int
	trials      map[Fingerprint]bool // quarantined parts that this gateway currently tries
	localQueue  queue                // changes to send to the gateways of this region
	remoteQueue queue                // changes to send to other regions
	nextRepeat  int                  // position in the rotation of quarantined parts
}

// begunRun is a run whose engine has begun its answer and lived on.
type begunRun struct {
	prompt Prompt
	at     time.Time
}

// engineCrash is the crash of an engine that ran requests with any parts.
type engineCrash struct {
	engine uint32 // engineHash of its incarnation; 0 for none
	at     time.Time
}

// partEntry holds the crashes recorded for one part.
type partEntry struct {
	crashes       []partCrash // in order of time
	begunAt       time.Time   // crashes up to then don't count; zero if no answer has begun
	quarantinedAt time.Time   // zero if the part isn't quarantined
	remote        bool        // other regions were told of the part
}

// partCrash is the crash of an engine that ran requests with a part.
type partCrash struct {
	engine  uint32    // engineHash of its incarnation
	sent    time.Time // when the earliest of those requests was sent
	at      time.Time
	cleared bool // the part isn't the cause; kept so that late reports of the crash are ignored
}

// NewParts returns an empty table.
func NewParts() *Parts {
	return &Parts{
		entries: make(map[Fingerprint]*partEntry), quarantined: make(map[Fingerprint]*partEntry), trials: make(map[Fingerprint]bool),
		begun:      [2]map[Fingerprint]time.Time{make(map[Fingerprint]time.Time), make(map[Fingerprint]time.Time)},
		localQueue: newQueue(localSends), remoteQueue: newQueue(remoteSends),
	}
}

// counting returns the crashes that count against the part.
func (e *partEntry) counting() []partCrash {
	var out []partCrash
	for _, c := range e.crashes {
		if !c.cleared {
			out = append(out, c)
		}
	}
	return out
}

// count returns the number of crashes that count against the part.
func (e *partEntry) count() int {
	n := 0
	for _, c := range e.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

// hasCrash reports whether an engine's crash counts against the part.
func (e *partEntry) hasCrash(engine uint32) bool {
	return slices.ContainsFunc(e.crashes, func(c partCrash) bool { return c.engine == engine && !c.cleared })
}

// sharesCrashes reports whether two engines crashed under both parts.
func (e *partEntry) sharesCrashes(other *partEntry) bool {
	n := 0
	for _, c := range e.crashes {
		if !c.cleared && other.hasCrash(c.engine) {
			n++
		}
	}
	return n >= minSeparateOfOthers
}

// separateCrashes returns the largest number of crashes, given in order of time, of which each
// run was sent after the one before had crashed.
func separateCrashes(crashes []partCrash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.sent.After(last) {
			n++
			last = c.at
		}
	}
	return n
}

// suffice reports whether the crashes are enough to quarantine a part.
func suffice(crashes []partCrash) bool {
	separate := separateCrashes(crashes)
	return separate >= minSeparateCrashes || (len(crashes) >= minCrashes && separate >= minSeparateOfOthers)
}

// quarantinedUntil returns when the part may be tried again: as long after the last crash as the
// crashes have been going on, twice over.
func (e *partEntry) quarantinedUntil() time.Time {
	crashes := e.counting()
	if len(crashes) == 0 {
		return e.quarantinedAt.Add(baseQuarantine)
	}
	first, last := crashes[0].at, crashes[len(crashes)-1].at
	return last.Add(min(max(baseQuarantine, 2*last.Sub(first)), maxQuarantine))
}

// PartRejectedError is the error for a request with a part that must not be sent to an engine.
type PartRejectedError struct {
	Index      int // of the part in the prompt
	Part       Fingerprint
	Crashes    int // engines that have crashed under it, as far as this gateway knows
	RetryAfter time.Duration
}

// Error implements error.
func (r *PartRejectedError) Error() string {
	return "engines crash as they begin to answer prompts with one of its parts"
}

// Check returns nil if a request with the prompt may be sent to an engine, else a
// *PartRejectedError. tries reports whether this gateway is the one of its region that tries a
// part whose quarantine has ended; trials lists the parts that the request tries, for
// BeginTrials.
func (t *Parts) Check(p Prompt, now time.Time, tries func(part Fingerprint) bool) (trials []Fingerprint, err error) {
	t.quarantineCauses(p, now)
	if len(t.quarantined) == 0 {
		return nil, nil
	}
	for i, part := range p.shared {
		e, ok := t.quarantined[part]
		if !ok || t.isExplained(e, p) {
			continue
		}
		rejection := &PartRejectedError{Index: i, Part: part, Crashes: e.count(), RetryAfter: trialRetryAfter}
		if until := e.quarantinedUntil(); now.Before(until) {
			rejection.RetryAfter = max(trialRetryAfter, until.Sub(now))
			return nil, rejection
		}
		if t.trials[part] || !tries(part) {
			return nil, rejection
		}
		trials = append(trials, part)
	}
	return trials, nil
}

// quarantineCauses quarantines the parts of a prompt that the crashes show to be their cause, and
// with them all other parts of which the same crashes show it: isExplained tells parts apart that
// were always together.
func (t *Parts) quarantineCauses(p Prompt, now time.Time) {
	causes := make(map[Fingerprint]*partEntry)
	for _, part := range p.shared {
		if e, ok := t.entries[part]; ok && e.quarantinedAt.IsZero() && t.isCause(part, e, p.engines, now) {
			causes[part] = e
		}
	}
	if len(causes) == 0 {
		return
	}
	found := slices.Collect(maps.Values(causes))
	for part, e := range t.entries {
		if isPart(part) && e.quarantinedAt.IsZero() && slices.ContainsFunc(found, e.sharesCrashes) && t.isCause(part, e, p.engines, now) {
			causes[part] = e
		}
	}
	for part, e := range causes {
		t.quarantine(part, e, now)
		t.pushChange(part, e)
	}
	for _, e := range causes {
		t.attributeAll(e)
	}
}

// isCause reports whether the crashes show that a part causes them: they are enough, no answer on
// the part has begun since, and answers without it began meanwhile, so that not all requests
// failed alike.
func (t *Parts) isCause(part Fingerprint, e *partEntry, engines Fingerprint, now time.Time) bool {
	crashes := e.counting()
	if !suffice(crashes) {
		return false
	}
	crashes = slices.DeleteFunc(crashes, func(c partCrash) bool { return !t.ranOnMostNearby(e, c.at) })
	if now.Sub(e.begunAt) < begunTTL || now.Sub(t.lastBegun(part, now)) < begunTTL {
		// Answers on the part are usual. They may have begun since the latest crashes without
		// this gateway knowing yet.
		crashes = slices.DeleteFunc(crashes, func(c partCrash) bool { return now.Sub(c.at) < beginReportTime })
	}
	if !suffice(crashes) {
		return false
	}
	first, last := crashes[0].at, crashes[len(crashes)-1].at
	return slices.ContainsFunc(t.begunRuns[:], func(r begunRun) bool {
		return r.prompt.engines == engines && r.at.After(first) && r.at.Before(last) && !r.prompt.Contains(part)
	})
}

// ranOnMostNearby reports whether the part ran on enough of the engines that crashed at nearly the
// given time. Those that crashed under a quarantined part don't count.
func (t *Parts) ranOnMostNearby(e *partEntry, at time.Time) bool {
	counts := func(engine uint32, other time.Time) bool {
		return engine != 0 && other.Sub(at).Abs() <= nearbyTime && !t.isAttributed(engine)
	}
	all, withPart := 0, 0
	for _, c := range t.engines {
		if counts(c.engine, c.at) {
			all++
		}
	}
	for _, c := range e.crashes {
		if counts(c.engine, c.at) {
			withPart++
		}
	}
	return withPart*minNearbyShare >= all
}

// recordEngine records that an engine crashed, unless it is known already.
func (t *Parts) recordEngine(engine uint32, at time.Time) {
	if slices.ContainsFunc(t.engines[:], func(c engineCrash) bool { return c.engine == engine }) {
		return
	}
	t.engines[t.nextEngine] = engineCrash{engine, at}
	t.nextEngine = (t.nextEngine + 1) % maxEngineCrashes
}

// isExplained reports whether a quarantined part may only have been beside the cause: too many of
// its crashes are also those of quarantined parts that the prompt lacks.
func (t *Parts) isExplained(e *partEntry, p Prompt) bool {
	crashes := e.counting()
	rest := slices.DeleteFunc(slices.Clone(crashes), func(c partCrash) bool {
		for part, other := range t.quarantined {
			if other != e && !p.Contains(part) && other.hasCrash(c.engine) {
				return true
			}
		}
		return false
	})
	return len(rest) < len(crashes) && !suffice(rest)
}

// quarantine quarantines a part. The caller then calls attributeAll.
func (t *Parts) quarantine(part Fingerprint, e *partEntry, now time.Time) {
	e.quarantinedAt = now
	t.quarantined[part] = e
}

// attributeAll clears the parts that aren't quarantined of the crashes of one that is.
func (t *Parts) attributeAll(e *partEntry) {
	for _, c := range e.counting() {
		t.attribute(c.engine)
	}
}

// attribute clears all parts that aren't quarantined of an engine's crash.
func (t *Parts) attribute(engine uint32) {
	for _, e := range t.entries {
		if !e.quarantinedAt.IsZero() {
			continue
		}
		for i := range e.crashes {
			if e.crashes[i].engine == engine {
				e.crashes[i].cleared = true
			}
		}
	}
}

// isAttributed reports whether an engine's crash is that of a quarantined part.
func (t *Parts) isAttributed(engine uint32) bool {
	for _, e := range t.quarantined {
		if e.hasCrash(engine) {
			return true
		}
	}
	return false
}

// BeginTrials records that a request tries parts whose quarantine has ended.
func (t *Parts) BeginTrials(parts []Fingerprint) {
	for _, part := range parts {
		t.trials[part] = true
	}
}

// EndTrials records that the request has ended.
func (t *Parts) EndTrials(parts []Fingerprint) {
	for _, part := range parts {
		delete(t.trials, part)
	}
}

// RecordCrash records that an engine crashed while it ran a request of this gateway. If the answer
// had begun, and that BeginSettles before, no part of the prompt is the cause.
func (t *Parts) RecordCrash(r Run, incarnation string, at, now time.Time) {
	if r.Prompt.IsEmpty() {
		return
	}
	parts := []Fingerprint{r.Prompt.engines} // lets others compare parts with all that crashed
	if r.Begun.IsZero() || at.Sub(r.Begun) < BeginSettles {
		parts = append(parts, r.Prompt.shared...)
	}
	for _, part := range parts {
		if t.addCrash(part, partCrash{engine: engineHash(incarnation), sent: r.Sent, at: at}, now) {
			t.pushChange(part, t.entries[part])
		}
	}
}

// addCrash adds a crash to a part's entry, and reports whether it changed what counts.
func (t *Parts) addCrash(part Fingerprint, c partCrash, now time.Time) bool {
	e := t.entryFor(part, now)
	if i := slices.IndexFunc(e.crashes, func(o partCrash) bool { return o.engine == c.engine }); i >= 0 {
		known := &e.crashes[i]
		earlier := c.sent.Before(known.sent)
		if earlier {
			known.sent = c.sent
		}
		return earlier && !known.cleared
	}
	begunAt := e.begunAt
	if own := t.lastBegun(part, now); own.After(begunAt) {
		begunAt = own
	}
	t.recordEngine(c.engine, c.at)
	c.cleared = !c.at.After(begunAt) || (e.quarantinedAt.IsZero() && t.isAttributed(c.engine))
	e.crashes = append(e.crashes, c)
	slices.SortStableFunc(e.crashes, func(a, b partCrash) int { return a.at.Compare(b.at) })
	if len(e.crashes) > maxCrashesPerPart {
		e.crashes = e.crashes[1:]
	}
	if !e.quarantinedAt.IsZero() && !c.cleared {
		t.attribute(c.engine)
	}
	if c.cleared && begunAt.After(e.begunAt) {
		e.begunAt = begunAt // the gateways that count the crash don't know of the answer
		t.localQueue.push(part)
		t.remoteQueue.push(part)
	}
	return !c.cleared
}

// RecordBegun records that an engine began an answer on a prompt at the given time and lived on for
// BeginSettles, or answered completely.
func (t *Parts) RecordBegun(p Prompt, at, now time.Time) {
	t.begunRuns[t.nextRun] = begunRun{p, at}
	t.nextRun = (t.nextRun + 1) % maxBegunRuns
	if now.Sub(t.rotatedAt) >= begunTTL/2 {
		t.begun[0], t.begun[1], t.rotatedAt = make(map[Fingerprint]time.Time), t.begun[0], now
	}
	for _, part := range p.shared {
		if last, known := t.begun[0][part]; at.After(last) && (known || len(t.begun[0]) < maxBegun) {
			t.begun[0][part] = at
		}
		if t.clear(part, at) {
			t.pushChange(part, t.entries[part])
		}
	}
}

// lastBegun returns when an answer of this gateway on a part last began; zero if it isn't known.
func (t *Parts) lastBegun(part Fingerprint, now time.Time) time.Time {
	if now.Sub(t.rotatedAt) >= begunTTL {
		return time.Time{}
	}
	if at, ok := t.begun[0][part]; ok {
		return at
	}
	return t.begun[1][part]
}

// clear clears a part of all crashes up to a time, at which an answer on it began. It reports
// whether that changed what counts.
func (t *Parts) clear(part Fingerprint, at time.Time) bool {
	e, ok := t.entries[part]
	if !ok || !at.After(e.begunAt) {
		return false
	}
	e.begunAt = at
	changed := false
	for i := range e.crashes {
		if c := &e.crashes[i]; !c.cleared && !c.at.After(at) {
			c.cleared, changed = true, true
		}
	}
	if changed && !e.quarantinedAt.IsZero() && !suffice(e.counting()) {
		e.quarantinedAt = time.Time{}
		delete(t.quarantined, part)
	}
	return changed
}

// pushChange schedules an entry for sending.
func (t *Parts) pushChange(part Fingerprint, e *partEntry) {
	t.localQueue.push(part)
	t.pushRemote(part, e)
}

// pushRemote schedules an entry for other regions, once two engines have crashed: most parts were
// beside one crash and nothing else.
func (t *Parts) pushRemote(part Fingerprint, e *partEntry) {
	e.remote = e.remote || e.count() > 1 || !e.quarantinedAt.IsZero()
	if e.remote {
		t.remoteQueue.push(part)
	}
}

// entryFor returns the entry of a part, and creates it if there is none.
func (t *Parts) entryFor(part Fingerprint, now time.Time) *partEntry {
	e, ok := t.entries[part]
	if !ok {
		t.evictIfFull(now)
		e = &partEntry{}
		t.entries[part] = e
	}
	return e
}

// evictIfFull ensures that an entry can be added, as Table.evictIfFull does: a caller that makes
// up parts can't push out those with more crashes, let alone quarantined ones.
func (t *Parts) evictIfFull(now time.Time) {
	if len(t.entries) < maxEntries {
		return
	}
	t.Expire(now)
	if len(t.entries) < maxEntries {
		return
	}
	var victim Fingerprint
	least := -1
	var oldest time.Time
	for part, e := range t.entries {
		weight := t.priority(part)
		at := e.lastChange()
		if least < 0 || cmp.Or(cmp.Compare(weight, least), at.Compare(oldest)) < 0 {
			victim, least, oldest = part, weight, at
		}
	}
	delete(t.entries, victim)
	delete(t.quarantined, victim)
}

// lastChange returns the time of the last crash or answer.
func (e *partEntry) lastChange() time.Time {
	last := e.begunAt
	for _, c := range e.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// priority ranks the entries: quarantined ones first, then those with the most crashes.
func (t *Parts) priority(part Fingerprint) int {
	e, ok := t.entries[part]
	if !ok {
		return 0
	}
	n := e.count()
	if !e.quarantinedAt.IsZero() {
		n += maxCrashesPerPart
	}
	return n
}

// Expire removes expired entries. The owner calls it periodically.
func (t *Parts) Expire(now time.Time) {
	for part, e := range t.entries {
		counts := e.count() > 0 || !e.quarantinedAt.IsZero()
		if since := now.Sub(e.lastChange()); since > crashTTL || (!counts && since > begunTTL) {
			delete(t.entries, part)
			delete(t.quarantined, part)
		}
	}
}

// QuarantinedCount returns the number of quarantined parts.
func (t *Parts) QuarantinedCount() int { return len(t.quarantined) }
