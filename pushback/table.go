// This file defines what one gateway knows of the servers that asked something of it.

package pushback

import "time"

const (
	// trialTime is for how long the one request after a rest keeps the others away, where
	// nothing is heard of it: a refusal comes within a round trip, so that a server which says
	// nothing for longer has taken it, and may be sent one more.
	trialTime = 200 * time.Millisecond
	// forgetAfter is how long after the last word a server is remembered that nobody knows any
	// more, or that asks for nothing.
	forgetAfter = time.Minute
)

// Reason says why a server gets nothing.
type Reason uint8

// The reasons.
const (
	Resting Reason = iota + 1 // it asked for rest
	Trying                    // its rest is over, and the first request after it is on its way
	Leaving                   // it said that it leaves
)

// String gives the word used in logs.
func (r Reason) String() string { return [...]string{"", "resting", "trying", "leaving"}[r] }

// Bar is why a server gets nothing, and since and until when.
type Bar struct {
	Reason Reason
	Since  time.Time
	Until  time.Time // zero: for good
}

// Table holds what servers ask of one gateway. It isn't safe for concurrent use. New makes one.
type Table struct {
	servers map[uint64]*server
}

// server is what is known of one life of a server.
type server struct {
	restSince time.Time // when it asked for the rest that ends last
	restUntil time.Time // zero where it never asked
	returning bool      // it has taken nothing since a rest
	trial     time.Time // until when the first request after a rest counts as on its way
	leaving   time.Time // since when it is known to leave; zero where it isn't
	heard     time.Time // when it last said anything, or got anything
	asked     int       // rests
	sent      int       // requests that it was sent in spite of its word
	keptAway  int
}

// New makes an empty table.
func New() *Table { return &Table{servers: make(map[uint64]*server)} }

func (t *Table) server(id uint64) *server {
	s, known := t.servers[id]
	if !known {
		s = &server{}
		t.servers[id] = s
	}
	return s
}

// Hear takes what an answer that came now asks for. It tells whether the server rests for longer
// than was known: a shorter word that comes after a longer one, or passes it on the way, doesn't
// end that.
func (t *Table) Hear(id uint64, word Word, now time.Time) (longer bool) {
	rest, ok := word.(Rest)
	if !ok {
		return false
	}
	s := t.server(id)
	s.heard, s.returning = now, true
	s.asked++
	if until := now.Add(rest.For); until.After(s.restUntil) {
		s.restSince, s.restUntil = now, until
		return true
	}
	return false
}

// HearLeaving takes that a server leaves. It tells whether that is new.
func (t *Table) HearLeaving(id uint64, now time.Time) (first bool) {
	s := t.server(id)
	s.heard = now
	if !s.leaving.IsZero() {
		return false
	}
	s.leaving = now
	return true
}

// Stays takes that a server which doesn't tell its lives apart says no more, in answer to what was
// sent at a time, that it leaves: that is its next life.
func (t *Table) Stays(id uint64, sent time.Time) {
	if s, known := t.servers[id]; known && !s.leaving.IsZero() && sent.After(s.leaving) {
		s.leaving = time.Time{}
	}
}

// Begin counts a request that is sent to a server. It tells whether that is the one which shows
// whether the server takes requests again after a rest; End must be called when that has ended.
func (t *Table) Begin(id uint64, now time.Time) (trial bool) {
	s, known := t.servers[id]
	if !known {
		return false
	}
	if _, barred := s.bar(now); barred {
		s.sent++
		return false
	}
	if s.returning {
		s.trial = now.Add(trialTime)
		return true
	}
	return false
}

// Taken notes that a server has not refused a request that was sent at a time. One from before
// the end of its rest shows nothing.
func (t *Table) Taken(id uint64, sent time.Time) {
	if s, known := t.servers[id]; known && !sent.Before(s.restUntil) {
		s.returning = false
	}
}

// End notes that the first request after a rest has ended: the next may try where it showed
// nothing.
func (t *Table) End(id uint64) {
	if s, known := t.servers[id]; known {
		s.trial = time.Time{}
	}
}

// KeptAway counts a request that a server didn't get because of its word.
func (t *Table) KeptAway(id uint64) {
	if s, known := t.servers[id]; known {
		s.keptAway++
	}
}

// Bar gives why a server gets nothing now; false where it gets requests.
func (t *Table) Bar(id uint64, now time.Time) (Bar, bool) {
	s, known := t.servers[id]
	if !known {
		return Bar{}, false
	}
	return s.bar(now)
}

func (s *server) bar(now time.Time) (Bar, bool) {
	switch {
	case !s.leaving.IsZero():
		return Bar{Reason: Leaving, Since: s.leaving}, true
	case now.Before(s.restUntil):
		return Bar{Reason: Resting, Since: s.restSince, Until: s.restUntil}, true
	case s.returning && now.Before(s.trial):
		return Bar{Reason: Trying, Since: s.trial.Add(-trialTime), Until: s.trial}, true
	default:
		return Bar{}, false
	}
}

// Forget drops the servers that nobody knows any more, and such that ask for nothing. The owner
// calls it now and then.
func (t *Table) Forget(known func(id uint64) bool, now time.Time) {
	for id, s := range t.servers {
		last := s.heard
		if s.restUntil.After(last) {
			last = s.restUntil
		}
		if now.Sub(last) > forgetAfter && (s.leaving.IsZero() || !known(id)) {
			delete(t.servers, id)
		}
	}
}

// Counts is what came of one server's words.
type Counts struct {
	Asked    int `json:"rests_asked"`
	Sent     int `json:"sent_in_spite"` // requests
	KeptAway int `json:"kept_away"`     // requests
}

// Counts gives what came of a server's words.
func (t *Table) Counts(id uint64) Counts {
	s, known := t.servers[id]
	if !known {
		return Counts{}
	}
	return Counts{s.asked, s.sent, s.keptAway}
}
