// This file defines what the gateways of a region tell each other of the load
// that they cause.

package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linenscale/linenscale/roster"
)

// Word is what one gateway tells others: those of its region the load that it
// causes itself, those of other regions a digest of its region. Each word stands
// for all that there is at that time; engines that are not in it have nothing
// of the gateway.
type Word struct {
	Gateway string       `cbor:"1,keyasint"`
	Engines []EngineLoad `cbor:"2,keyasint,omitempty"`
	Parts   []SentPart   `cbor:"5,keyasint,omitempty"` // that the gateway has sent lately
	Dead    []uint64     `cbor:"6,keyasint,omitempty"` // hashes of engines that it couldn't reach lately
	Gone    []uint64     `cbor:"7,keyasint,omitempty"` // hashes of engines whose addresses others were found at
	Region  string       `cbor:"3,keyasint,omitempty"` // set in a word to other regions
	Digests []Digest     `cbor:"4,keyasint,omitempty"`
}

// EngineLoad is the load of one engine.
type EngineLoad struct {
	_        struct{} `cbor:",toarray"`
	Engine   uint64   // hash of its incarnation
	Requests int
	Unread   int
	Held     int
	Reading  int
}

// SentPart is a shared part of a prompt that an engine has been sent, both by
// their hashes.
type SentPart struct {
	_      struct{} `cbor:",toarray"`
	Part   uint32
	Engine uint64
}

// wordLife is how long a gateway's word is believed: it comes several times
// within it.
const wordLife = time.Second

const (
	// deadTold is for how long a gateway tells that it couldn't reach an engine:
	// one or two words.
	deadTold = 500 * time.Millisecond
	// goneTold is for how long it tells of an engine that was replaced: a few words,
	// since each may be lost, and it is for good.
	goneTold = time.Second
	// deadBelieved is for how long the others avoid the engine then. After it
	// each may try for itself: the way may be cut for one gateway only.
	deadBelieved = 600 * time.Millisecond
	// deadDoubted is how fresh a gateway's own sign of an engine must be for it
	// not to believe the others of either.
	deadDoubted = 500 * time.Millisecond
)

// heard is the last word of another gateway.
type heard struct {
	at    time.Time
	loads map[uint64]Load
}

// Word gives what this gateway tells.
func (d *Dispatcher) Word() Word {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	w := Word{Gateway: d.Name, Parts: d.recentlySent(now)}
	for _, p := range d.pools {
		for _, e := range p.ordered {
			if e.unreached > 0 && now.Sub(e.unreachedAt) < deadTold {
				w.Dead = append(w.Dead, e.hash)
			}
			if e.misdirected && now.Sub(e.misdirectedAt) < goneTold {
				w.Gone = append(w.Gone, e.hash)
			}
			reading := int(e.read.perSecond(now))
			if e.own.Requests == 0 && reading == 0 {
				continue
			}
			w.Engines = append(w.Engines, EngineLoad{
				Engine: e.hash, Requests: e.own.Requests, Unread: e.own.Unread, Held: e.own.Held, Reading: reading,
			})
		}
	}
	return w
}

func hashOf(engine string) uint64 { return xxhash.Sum64String(engine) }

// Hear takes another gateway's word.
func (d *Dispatcher) Hear(w Word) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	if w.Region != "" {
		d.hearRegion(w, now)
		return
	}
	loads := make(map[uint64]Load, len(w.Engines))
	for _, e := range w.Engines {
		loads[e.Engine] = Load{Requests: e.Requests, Unread: e.Unread, Held: e.Held, Reading: float64(e.Reading)}
	}
	for _, p := range w.Parts {
		if e, ok := d.byHash[p.Engine]; ok {
			e.kept[p.Part] = now
		}
	}
	for _, hash := range w.Dead {
		if e, ok := d.byHash[hash]; ok && now.Sub(e.sign) > deadDoubted && now.After(e.avoidUntil) {
			e.avoidUntil = now.Add(deadBelieved)
		}
	}
	for _, hash := range w.Gone {
		if e, ok := d.byHash[hash]; ok && now.Sub(e.sign) > deadDoubted {
			e.misdirected = true
		}
	}
	d.replace(d.words[w.Gateway].loads, loads)
	d.words[w.Gateway] = heard{now, loads}
}

// replace takes one gateway's former loads from the engines and adds its new
// ones. The lock is held.
func (d *Dispatcher) replace(old, loads map[uint64]Load) {
	for hash, l := range old {
		if e, ok := d.byHash[hash]; ok {
			e.others = e.others.minus(l)
		}
	}
	for hash, l := range loads {
		if e, ok := d.byHash[hash]; ok {
			e.others = e.others.plus(l)
		}
	}
}

// index lets engines be found by their hash, drops the words that are too old,
// and adds up the others afresh. The lock is held.
func (d *Dispatcher) index(now time.Time) {
	clear(d.byHash)
	for _, p := range d.pools {
		for _, e := range p.ordered {
			e.others = Load{}
			d.byHash[e.hash] = e
		}
	}
	for name, word := range d.words {
		if now.Sub(word.at) > wordLife {
			delete(d.words, name)
			continue
		}
		d.replace(nil, word.loads)
	}
	d.alike = 1 + len(d.words)
}

// Listeners gives the addresses of the other gateways of the region.
func (d *Dispatcher) Listeners() []string {
	var out []string
	for _, h := range d.Peers() {
		if h.Region == d.Region && h.Name != d.Name && h.Role == roster.RoleGateway {
			out = append(out, h.Peer)
		}
	}
	return out
}
