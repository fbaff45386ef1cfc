// This file distinguishes a crash of an engine from a broken connection.

package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// suspicionTTL is how long an engine stays suspected after a connection broke. It
	// exceeds the 3.5 missed heartbeats, about 4 s, after which the registry removes a
	// crashed engine.
	suspicionTTL = 10 * time.Second
	// maxRequestsPerSuspect limits the requests recorded per suspected engine. An engine
	// runs fewer at once for one gateway.
	maxRequestsPerSuspect = 128
	// maxSuspects limits the suspected engines.
	maxSuspects = 128
)

// CrashDetector records the requests whose connections to an engine broke before their answers
// were complete, until it is clear whether the engine crashed. An engine that answers a
// request sent later is alive; one that refuses connections, restarts or sends no
// heartbeats has crashed. Single answers also break off on unhealthy engines and bad
// links, and a request that meets several of those in a row must not be blamed for
// crashes.
//
// It isn't safe for concurrent use.
type CrashDetector struct {
	suspects map[string]*suspect // by incarnation of the engine
}

// suspect is an engine that may have crashed.
type suspect struct {
	lastBreak time.Time // when the last connection broke
	requests  []Fingerprint
}

// NewCrashDetector returns a detector without suspects.
func NewCrashDetector() *CrashDetector { return &CrashDetector{suspects: make(map[string]*suspect)} }

// RecordBreak records that the connection of a request to an engine broke. It reports whether
// the engine wasn't suspected before, so that the caller should probe it.
func (d *CrashDetector) RecordBreak(engine string, f Fingerprint, now time.Time) (first bool) {
	d.expire(now)
	s, ok := d.suspects[engine]
	if !ok {
		if len(d.suspects) >= maxSuspects {
			return false
		}
		s = &suspect{}
		d.suspects[engine] = s
	}
	s.lastBreak = now
	if len(s.requests) < maxRequestsPerSuspect {
		s.requests = append(s.requests, f)
	}
	return !ok
}

// RecordAnswer records that an engine answered a request sent at the given time. If all
// connections broke before that, the engine didn't crash and is no longer suspected.
func (d *CrashDetector) RecordAnswer(engine string, sent time.Time) {
	if s, ok := d.suspects[engine]; ok && s.lastBreak.Before(sent) {
		delete(d.suspects, engine)
	}
}

// RemoveSuspect removes an engine from the suspects, because it has crashed or was shutting
// down. It returns the requests whose connections to it broke, once.
func (d *CrashDetector) RemoveSuspect(engine string) []Fingerprint {
	s, ok := d.suspects[engine]
	if !ok {
		return nil
	}
	delete(d.suspects, engine)
	return s.requests
}

// Suspects lists the suspected engines.
func (d *CrashDetector) Suspects() []string { return slices.Collect(maps.Keys(d.suspects)) }

// expire removes the suspects that neither crashed nor answered in time: they are still
// registered, but get no request that would show whether they are alive.
func (d *CrashDetector) expire(now time.Time) {
	for engine, s := range d.suspects {
		if now.Sub(s.lastBreak) > suspicionTTL {
			delete(d.suspects, engine)
		}
	}
}
