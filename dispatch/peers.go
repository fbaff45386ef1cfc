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

// wordLife is how long a gateway's word is believed: it comes several times
// within it.
const wordLife = time.Second

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
	w := Word{Gateway: d.Name}
	for _, p := range d.pools {
		for _, e := range p.ordered {
			reading := int(e.read.perSecond(now))
			if e.own.Requests == 0 && reading == 0 {
				continue
			}
			w.Engines = append(w.Engines, EngineLoad{
				Engine: hashOf(e.ID), Requests: e.own.Requests, Unread: e.own.Unread, Held: e.own.Held, Reading: reading,
			})
		}
	}
	return w
}

func hashOf(engine string) uint64 { return xxhash.Sum64String(engine) }

// Hear takes another gateway's word.
func (d *Dispatcher) Hear(w Word) {
	if w.Region != "" {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.hearRegion(w, d.Clock())
		return
	}
	loads := make(map[uint64]Load, len(w.Engines))
	for _, e := range w.Engines {
		loads[e.Engine] = Load{Requests: e.Requests, Unread: e.Unread, Held: e.Held, Reading: float64(e.Reading)}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.words[w.Gateway] = heard{d.Clock(), loads}
	d.addUp(d.Clock())
}

// addUp gives each engine the sum of what the other gateways tell. The lock is
// held.
func (d *Dispatcher) addUp(now time.Time) {
	for name, word := range d.words {
		if now.Sub(word.at) > wordLife {
			delete(d.words, name)
		}
	}
	d.alike = 1 + len(d.words)
	for _, p := range d.pools {
		for _, e := range p.ordered {
			e.others = Load{}
			for _, word := range d.words {
				e.others = e.others.plus(word.loads[hashOf(e.ID)])
			}
		}
	}
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
