// This file defines what gateways tell each other of limits.

package ratelimit

import (
	"math"
	"slices"
	"time"
)

// Note is what one gateway knows of an engine's limit.
type Note struct {
	_      struct{} `cbor:",toarray"`
	Engine uint64   // hash of its incarnation
	// PerSecond is the limit in thousandths of a request a second; lifted for none.
	PerSecond int64
	Age       uint16 // of the word, in milliseconds
}

const (
	// lifted stands for the limit of an engine that names none any more.
	lifted = -1
	// thousandths is the unit in which limits are told.
	thousandths = 1000
	// timesTold is how often each change is told; datagrams are lost now and then, one in
	// some hundred.
	timesTold = 3
	// mostNotes bounds the notes of one message, to some 1,000 bytes.
	mostNotes = 64
	// againTold is how many of those that were told before are told in each message, in turn,
	// to gateways that have just started or were cut off: a hundred of them within 3 s.
	againTold = 4
	// maxAge is the highest age that a note can tell, in its unit: a minute.
	maxAge = math.MaxUint16
)

// Tell gives the notes for the next message to the gateways of this region.
func (t *Table) Tell(now time.Time) []Note {
	if len(t.engines) == 0 {
		return nil
	}
	all := t.sorted()
	var out []Note
	for _, id := range all {
		if e := t.engines[id]; e.left > 0 && len(out) < mostNotes {
			e.left--
			out = append(out, e.note(id, now))
		}
	}
	for range min(againTold, len(all)) {
		t.turn++
		id := all[t.turn%len(all)]
		out = append(out, t.engines[id].note(id, now))
	}
	return out
}

// Standing gives what a host tells that is asked now and then: the engines that were heard of
// last, as many as one message holds.
func (t *Table) Standing(now time.Time) []Note {
	all := t.sorted()
	slices.SortStableFunc(all, func(a, b uint64) int { return t.engines[b].at.Compare(t.engines[a].at) })
	var out []Note
	for _, id := range all[:min(len(all), mostNotes)] {
		out = append(out, t.engines[id].note(id, now))
	}
	return out
}

func (e *engine) note(id uint64, now time.Time) Note {
	n := Note{Engine: id, PerSecond: lifted, Age: uint16(min(maxAge, max(0, now.Sub(e.at).Milliseconds())))}
	if limit, ok := e.word.(Limited); ok {
		n.PerSecond = int64(math.Round(min(limit.PerSecond, math.MaxInt32) * thousandths))
	}
	return n
}

// word gives what the note says.
func (n Note) word() Word {
	if n.PerSecond < 0 {
		return Unlimited{}
	}
	return Limited{PerSecond: float64(n.PerSecond) / thousandths}
}

// Older gives notes that were told so long ago. Those of one engine that a sum holds differ
// by their ages.
func Older(notes []Note, by time.Duration) []Note {
	out := slices.Clone(notes)
	for i := range out {
		out[i].Age = uint16(min(maxAge, int64(out[i].Age)+by.Milliseconds()))
	}
	return out
}

// HearNotes takes what another gateway told. It gives the engines of which something is new.
//
// A note that says what is known already changes nothing, not even its age: on its way it
// seems younger than it is, and if each gateway believed that and told it on, a word would
// never grow old and no newer one could take its place.
func (t *Table) HearNotes(notes []Note, now time.Time) []uint64 {
	var changed []uint64
	for _, n := range notes {
		at := now.Add(-time.Duration(n.Age) * time.Millisecond)
		e, known := t.engines[n.Engine]
		if !known {
			e = &engine{} // also of a limit that is lifted: the one before may be told later
			e.share.filled = now
			t.engines[n.Engine] = e
		}
		if known && (!at.After(e.at) || n.same(e.word)) {
			continue
		}
		t.set(e, n.Engine, n.word(), at, now)
		e.left = 0 // whoever told it tells all others
		if known || n.PerSecond != lifted {
			changed = append(changed, n.Engine)
		}
	}
	return changed
}

// same tells whether the note says the same as a word, as exactly as it can.
func (n Note) same(w Word) bool {
	limit, limited := w.(Limited)
	if !limited {
		return n.PerSecond == lifted
	}
	return n.PerSecond == int64(math.Round(min(limit.PerSecond, math.MaxInt32)*thousandths))
}
