package allowance

import (
	"math"
	"time"
)

const (
	// blindTime is how long it takes until what callers begin to ask for everywhere at once
	// is known of all gateways: words of other regions are 0.4 s old and come four times a
	// second.
	blindTime = 600 * time.Millisecond
	// toldTime is how long after a jump another gateway's word must have been told to hold
	// what began there.
	toldTime = 200 * time.Millisecond
	// jumpOver is over which time requests are counted to see a jump, and usualOver over
	// which their usual rate is taken.
	jumpOver  = 500 * time.Millisecond
	usualOver = 5 * time.Second
	// knownShare is the share of an account's rate from which on it counts as in use, by what
	// others have reported over knownOver. Reports of the jump itself, which come 0.1 s after it
	// began, must not count.
	knownShare = 0.25
	knownOver  = 3 * time.Second
	// jumpErrors and jumpLeast say what isn't chance: more than the usual number by four
	// times its standard deviation, and three requests besides. Of an account that has one
	// request a second at a gateway, seven must come within half a second, which happens by
	// chance once in six days.
	jumpErrors = 4
	jumpLeast  = 3
)

// jump notices that a gateway's callers suddenly ask for much more of an account than they
// did. Whoever is behind it may do the same at all gateways, none of which knows of the
// others for blindTime; until then each admits no more than its part of what is left
// (TestASuddenStartIsHeld). One gateway that begins alone to be asked for as much as the
// account may refuses nothing (TestOneCallerMayBeginAtOnce). The zero value has seen nothing.
type jump struct {
	recent   moving // requests
	usual    average
	high     bool      // more come than usual
	since    time.Time // when that began
	admitted float64   // units since, and in jumpOver before
	most     float64   // units that may be
	inUse    bool      // the account was in use at other gateways before
}

// note counts a request, and tells whether a jump begins with it.
func (j *jump) note(now time.Time) (begins bool) {
	j.recent.add(1, now)
	j.usual.over = usualOver
	j.usual.add(1, now)
	usual := j.usual.perSecond(now) * jumpOver.Seconds()
	beyond := j.recent.within(now, jumpOver) - usual
	begins = !j.high && beyond >= jumpErrors*math.Sqrt(usual)+jumpLeast
	// It is over once the requests are as usual again, lest one jump be taken for many.
	j.high = begins || (j.high && beyond > math.Sqrt(usual))
	return begins
}

// begin notes a jump: what was admitted just before, and what may be until others can have
// told of theirs.
func (j *jump) begin(admitted, most float64, inUse bool, now time.Time) {
	j.since, j.admitted, j.most, j.inUse = now, admitted, most, inUse
}

// admits reports whether a request may be admitted beside what was since the jump. asked is in
// units a second; blind says that others can't have reported theirs. The reports on an account in use
// bound a moderate jump: one that still fits if all gateways are asked for as much.
func (j *jump) admits(cost, asked float64, blind bool) bool {
	if !blind || j.admitted+cost <= j.most {
		return true
	}
	return j.inUse && asked*blindTime.Seconds() <= j.most
}
