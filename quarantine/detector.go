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
type CrashDetector[R any] struct {
	suspects map[string]*suspect[R] // by incarnation of the engine
}

// suspect is an engine that may have crashed.
type suspect[R any] struct {
	lastBreak time.Time // when the last connection broke
	requests  []R
}

// NewCrashDetector returns a detector without suspects, which records an R for each request.
func NewCrashDetector[R any]() *CrashDetector[R] {
	return &CrashDetector[R]{suspects: make(map[string]*suspect[R])}
}

// RecordBreak records that the connection of a request to an engine broke. It reports whether
// the engine wasn't suspected before, so that the caller should probe it.
func (d *CrashDetector[R]) RecordBreak(engine string, request R, now time.Time) (first bool) {
	d.expire(now)
	s, ok := d.suspects[engine]
	if !ok {
		if len(d.suspects) >= maxSuspects {
			return false
		}
		s = &suspect[R]{}
		d.suspects[engine] = s
	}
	s.lastBreak = now
	if len(s.requests) < maxRequestsPerSuspect {
		s.requests = append(s.requests, request)
	}
	return !ok
}

// RecordAnswer records that an engine answered a request sent at the given time. If all
// connections broke before that, the engine didn't crash and is no longer suspected.
func (d *CrashDetector[R]) RecordAnswer(engine string, sent time.Time) {
	if s, ok := d.suspects[engine]; ok && s.lastBreak.Before(sent) {
		delete(d.suspects, engine)
	}
}

// RemoveSuspect removes an engine from the suspects, because it has crashed or was shutting
// down. It returns the requests whose connections to it broke, once.
func (d *CrashDetector[R]) RemoveSuspect(engine string) []R {
	s, ok := d.suspects[engine]
	if !ok {
		return nil
	}
	delete(d.suspects, engine)
	return s.requests
}

// Suspects lists the suspected engines.
func (d *CrashDetector[R]) Suspects() []string { return slices.Collect(maps.Keys(d.suspects)) }

// expire removes the suspects that neither crashed nor answered in time: they are still
// registered, but get no request that would show whether they are alive.
func (d *CrashDetector[R]) expire(now time.Time) {
	for engine, s := range d.suspects {
		if now.Sub(s.lastBreak) > suspicionTTL {
			delete(d.suspects, engine)
		}
	}
}
