// This file defines the state that a gateway keeps per server.

package pushback

import "time"

const (
	// trialTimeout is how long a trial request without a response excludes other
	// requests. A rejection arrives within a round trip, so a server that hasn't answered by
	// then has accepted the request and may get another one.
	trialTimeout = 200 * time.Millisecond
	// entryTTL is how long an entry is kept after the server's last signal and the end of
	// its backoff.
	entryTTL = time.Minute
)

// Reason is why a server gets no requests.
type Reason uint8

// Reasons of an exclusion.
const (
	BackingOff Reason = iota + 1 // it asked for backoff
	OnTrial                      // its backoff is over, and the trial request is in flight
	Draining                     // it announced that it is draining
)

// String returns the value used in logs.
func (r Reason) String() string { return [...]string{"", "resting", "trying", "leaving"}[r] }

// Exclusion says why a server is excluded, since when and until when.
type Exclusion struct {
	Reason Reason
	Since  time.Time
	Until  time.Time // zero if permanent
}

// Table holds what servers have asked of one gateway. It isn't safe for concurrent use.
type Table struct {
	servers map[uint64]*server
}

// server is the state of one incarnation of a server.
type server struct {
	backoffSince  time.Time // when it asked for the backoff that ends last
	backoffUntil  time.Time // zero if it never asked
	recovering    bool      // it has accepted no request since a backoff
	trialUntil    time.Time // until when the trial request is assumed to be in flight
	drainingSince time.Time // zero if it isn't draining
	lastSeen      time.Time // when it last sent a signal
	backoffs      int
	overridden    int // requests sent although it was excluded
	excluded      int // requests not sent because of its signals
}

// New returns an empty table.
func New() *Table { return &Table{servers: make(map[uint64]*server)} }

func (t *Table) server(id uint64) *server {
	s, known := t.servers[id]
	if !known {
		s = &server{}
		t.servers[id] = s
	}
	return s
}

// ApplySignal applies the signal of a response that has just arrived. It reports whether it
// extends the server's backoff; a shorter backoff than the current one changes nothing.
func (t *Table) ApplySignal(id uint64, signal Signal, now time.Time) (longer bool) {
	backoff, ok := signal.(Backoff)
	if !ok {
		return false
	}
	s := t.server(id)
	s.lastSeen, s.recovering = now, true
	s.backoffs++
	if until := now.Add(backoff.Duration); until.After(s.backoffUntil) {
		s.backoffSince, s.backoffUntil = now, until
		return true
	}
	return false
}

// RecordDraining records that a server is draining. It reports whether that is new.
func (t *Table) RecordDraining(id uint64, now time.Time) (first bool) {
	s := t.server(id)
	s.lastSeen = now
	if !s.drainingSince.IsZero() {
		return false
	}
	s.drainingSince = now
	return true
}

// EndDraining ends the draining of a server whose incarnations can't be told apart: its
// response to a request sent after it began to drain doesn't announce draining any more,
// so it has restarted.
func (t *Table) EndDraining(id uint64, sent time.Time) {
	if s, known := t.servers[id]; known && !s.drainingSince.IsZero() && sent.After(s.drainingSince) {
		s.drainingSince = time.Time{}
	}
}

// Begin records that a request is sent to a server. It reports whether it is the trial
// request after a backoff; if so, the caller must call End when the request is over.
func (t *Table) Begin(id uint64, now time.Time) (trial bool) {
	s, known := t.servers[id]
	if !known {
		return false
	}
	if _, excluded := s.exclusion(now); excluded {
		s.overridden++
		return false
	}
	if s.recovering {
		s.trialUntil = now.Add(trialTimeout)
		return true
	}
	return false
}

// RecordAccepted records that a server has accepted a request, which ends the trial. A request
// sent before the end of the backoff doesn't count.
func (t *Table) RecordAccepted(id uint64, sent time.Time) {
	if s, known := t.servers[id]; known && !sent.Before(s.backoffUntil) {
		s.recovering = false
	}
}

// End records that the trial request is over. If it showed nothing, the next request
// becomes the trial.
func (t *Table) End(id uint64) {
	if s, known := t.servers[id]; known {
		s.trialUntil = time.Time{}
	}
}

// CountExcluded counts a request that a server didn't get because of its signals.
func (t *Table) CountExcluded(id uint64) {
	if s, known := t.servers[id]; known {
		s.excluded++
	}
}

// Exclusion returns why a server is excluded now; false if it may get requests.
func (t *Table) Exclusion(id uint64, now time.Time) (Exclusion, bool) {
	s, known := t.servers[id]
	if !known {
		return Exclusion{}, false
	}
	return s.exclusion(now)
}

func (s *server) exclusion(now time.Time) (Exclusion, bool) {
	switch {
	case !s.drainingSince.IsZero():
		return Exclusion{Reason: Draining, Since: s.drainingSince}, true
	case now.Before(s.backoffUntil):
		return Exclusion{Reason: BackingOff, Since: s.backoffSince, Until: s.backoffUntil}, true
	case s.recovering && now.Before(s.trialUntil):
		return Exclusion{Reason: OnTrial, Since: s.trialUntil.Add(-trialTimeout), Until: s.trialUntil}, true
	default:
		return Exclusion{}, false
	}
}

// Expire drops the servers whose last signal and backoff ended more than entryTTL ago. It
// keeps draining servers as long as known reports that they are registered. The owner calls
// it periodically.
func (t *Table) Expire(known func(id uint64) bool, now time.Time) {
	for id, s := range t.servers {
		last := s.lastSeen
		if s.backoffUntil.After(last) {
			last = s.backoffUntil
		}
		if now.Sub(last) > entryTTL && (s.drainingSince.IsZero() || !known(id)) {
			delete(t.servers, id)
		}
	}
}

// Counts are statistics about the pushback of one server.
type Counts struct {
	Backoffs   int `json:"rests_asked"`   // backoffs it has asked for
	Overridden int `json:"sent_in_spite"` // requests sent although it was excluded
	Excluded   int `json:"kept_away"`     // requests not sent because of its signals
}

// Counts returns the statistics of a server.
func (t *Table) Counts(id uint64) Counts {
	s, known := t.servers[id]
	if !known {
		return Counts{}
	}
	return Counts{s.backoffs, s.overridden, s.excluded}
}
