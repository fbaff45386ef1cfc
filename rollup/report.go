// This file defines what is told.

package rollup

import (
	"slices"
	"time"

	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/ratelimit"
)

// Report is what one gateway does, or the sum of several. It stands for all that there
// is at its time: engines that are not in it have nothing.
type Report struct {
	Engines []EngineLoad `cbor:"1,keyasint,omitempty"`
	Parts   []SentPart   `cbor:"2,keyasint,omitempty"` // that were sent lately
	Dead    []uint64     `cbor:"3,keyasint,omitempty"` // hashes of engines that couldn't be reached lately
	Gone    []uint64     `cbor:"4,keyasint,omitempty"` // hashes of engines whose addresses others were found at
	// Accounts are those whose callers ask for anything.
	Accounts []AccountUse `cbor:"5,keyasint,omitempty"`
	// Crashes are what is new of requests under which engines crashed.
	Crashes []quarantine.Note `cbor:"6,keyasint,omitempty"`
	// Limits are what is new of limits that engines name, and in turn the others.
	Limits []ratelimit.Note `cbor:"7,keyasint,omitempty"`
	// Leaving are hashes of engines whose answers said lately that they leave.
	Leaving []uint64 `cbor:"8,keyasint,omitempty"`
	// Resting are engines that have asked gateways for rest, as long as it lasts.
	Resting []Resting `cbor:"9,keyasint,omitempty"`
}

// Resting is an engine that has asked so many gateways for rest.
type Resting struct {
	_        struct{} `cbor:",toarray"`
	Engine   uint64   // hash of its incarnation
	Gateways int
}

// AccountUse is what the callers of one client account do, in hundredths of a unit a
// second but for Window.
type AccountUse struct {
	_        struct{} `cbor:",toarray"`
	Account  uint32   // hash of its name
	Admitted int      // over the last 0.2 s
	Steady   int      // admitted over the last 0.5 s
	Asked    int
	Window   int // whole units admitted within the last window
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

// Member says which report of a gateway is in a sum.
type Member struct {
	_            struct{} `cbor:",toarray"`
	NameHash     uint32   // of its name
	ReportNumber uint32   // of its report
}

// FarWord is what another region tells of itself, as it is passed on.
type FarWord struct {
	Region string        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint,omitempty"` // since it was heard in this region
	Body   []byte        `cbor:"3,keyasint"`
	// Accounts is what its callers do.
	Accounts []AccountUse `cbor:"4,keyasint,omitempty"`
	// Crashes are what its gateways know of requests under which engines crashed.
	Crashes []quarantine.Note `cbor:"5,keyasint,omitempty"`
}

// Message is what travels: the Report of a group to leaders, or that of the whole
// region to the members of a group; or, where From is a gateway of another region, just
// its word.
type Message struct {
	From          string    `cbor:"1,keyasint"`
	Group         Group     `cbor:"2,keyasint"`
	Members       []Member  `cbor:"3,keyasint,omitempty"` // of the group that the report holds
	Total         bool      `cbor:"4,keyasint,omitempty"` // the report is of the whole region
	OtherGateways int       `cbor:"5,keyasint,omitempty"` // gateways of other groups that a total holds
	Report        Report    `cbor:"6,keyasint,omitempty"`
	Far           []FarWord `cbor:"7,keyasint,omitempty"`
}

// additiveFields gives what adds up: the rest is news of its moment.
func (r Report) additiveFields() Report { return Report{Engines: r.Engines, Accounts: r.Accounts} }

// sum adds reports up.
type sum struct {
	loads       map[uint64]EngineLoad
	blocks      map[SentPart]bool
	unreachable map[uint64]bool
	replaced    map[uint64]bool
	draining    map[uint64]bool // engines that leave
	backingOff  map[uint64]int  // by engine: gateways that it asked for rest
	uses        map[uint32]AccountUse
	// crashes are by request and engine, each as old as the one who knows it best tells.
	crashes map[crashKey]quarantine.Note
	limits  map[uint64]ratelimit.Note // by engine, the newest
}

// maxCrashes bounds the notes of one sum, to some 4 KB: those of twelve engines that end
// at once with twenty requests each. What is left out is told with one of the next.
const maxCrashes = 256

// maxLimits bounds the notes of limits in one sum, to some 4 KB. What is left out is told
// with one of the next.
const maxLimits = 256

// aged gives a report that was heard so long ago, as it is told on.
func (r Report) aged(by time.Duration) Report {
	r.Limits = ratelimit.Older(r.Limits, by)
	return r
}

// crashKey names one crash under a request.
type crashKey struct {
	request quarantine.Fingerprint
	engine  uint32
}

func newSum() *sum {
	return &sum{make(map[uint64]EngineLoad), make(map[SentPart]bool), make(map[uint64]bool), make(map[uint64]bool), make(map[uint64]bool), make(map[uint64]int), make(map[uint32]AccountUse), make(map[crashKey]quarantine.Note), make(map[uint64]ratelimit.Note)}
}

// add adds a report times so many: -1 takes it away.
func (s *sum) add(r Report, factor int) {
	for _, e := range r.Engines {
		l := s.loads[e.Engine]
		l.Engine = e.Engine
		l.Requests += factor * e.Requests
		l.Unread += factor * e.Unread
		l.Held += factor * e.Held
		l.Reading += factor * e.Reading
		s.loads[e.Engine] = l
	}
	for _, a := range r.Accounts {
		u := s.uses[a.Account]
		u.Account = a.Account
		u.Admitted += factor * a.Admitted
		u.Steady += factor * a.Steady
		u.Window += factor * a.Window
		u.Asked += factor * a.Asked
		s.uses[a.Account] = u
	}
	for _, p := range r.Parts {
		s.blocks[p] = true
	}
	for _, hash := range r.Dead {
		s.unreachable[hash] = true
	}
	for _, hash := range r.Gone {
		s.replaced[hash] = true
	}
	for _, hash := range r.Leaving {
		s.draining[hash] = true
	}
	for _, b := range r.Resting {
		s.backingOff[b.Engine] += b.Gateways
	}
	for _, n := range r.Crashes {
		key := crashKey{n.Request, n.Engine}
		if known, ok := s.crashes[key]; !ok || n.Age > known.Age {
			s.crashes[key] = n
		}
	}
	for _, n := range r.Limits {
		if known, ok := s.limits[n.Engine]; !ok || n.Age < known.Age {
			s.limits[n.Engine] = n
		}
	}
}

func (s *sum) report() Report {
	r := Report{Engines: make([]EngineLoad, 0, len(s.loads)), Parts: make([]SentPart, 0, len(s.blocks))}
	for _, l := range s.loads {
		r.Engines = append(r.Engines, l)
	}
	for p := range s.blocks {
		r.Parts = append(r.Parts, p)
	}
	for hash := range s.unreachable {
		r.Dead = append(r.Dead, hash)
	}
	for hash := range s.replaced {
		r.Gone = append(r.Gone, hash)
	}
	for hash := range s.draining {
		r.Leaving = append(r.Leaving, hash)
	}
	for hash, gateways := range s.backingOff {
		r.Resting = append(r.Resting, Resting{Engine: hash, Gateways: gateways})
	}
	for _, u := range s.uses {
		r.Accounts = append(r.Accounts, u)
	}
	for _, n := range s.crashes {
		if len(r.Crashes) < maxCrashes {
			r.Crashes = append(r.Crashes, n)
		}
	}
	for _, n := range s.limits {
		if len(r.Limits) < maxLimits {
			r.Limits = append(r.Limits, n)
		}
	}
	slices.SortFunc(r.Engines, func(a, b EngineLoad) int { return compareHash(a.Engine, b.Engine) })
	return r
}

func compareHash(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
