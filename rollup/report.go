// This file defines the messages and the sums of reports.

package rollup

import (
	"slices"
	"time"

	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/ratelimit"
)

// Report is what one gateway does, or the sum over several. It is a full snapshot, not a
// change: an engine that is missing has no load.
type Report struct {
	Engines []EngineLoad `cbor:"1,keyasint,omitempty"`
	// Prompt blocks that were recently sent to engines.
	SentBlocks []SentBlock `cbor:"2,keyasint,omitempty"`
	// Hashes of engines that recently couldn't be reached.
	Unreachable []uint64 `cbor:"3,keyasint,omitempty"`
	// Hashes of engines at whose addresses another engine answered.
	Replaced []uint64 `cbor:"4,keyasint,omitempty"`
	// The client accounts whose callers currently send requests.
	Accounts []AccountUsage `cbor:"5,keyasint,omitempty"`
	// Recent changes of the crash records of requests.
	Crashes []quarantine.CrashReport `cbor:"6,keyasint,omitempty"`
	// Recent changes of the rate limits that engines announce, and a few of the unchanged
	// ones in rotation.
	Limits []ratelimit.LimitReport `cbor:"7,keyasint,omitempty"`
	// Hashes of engines that recently announced in an answer that they drain.
	Draining []uint64 `cbor:"8,keyasint,omitempty"`
	// Engines that have asked gateways to back off, until that time is over.
	BackingOff []Backoff `cbor:"9,keyasint,omitempty"`
	// Recent changes of the crash records of parts of prompts.
	Parts []quarantine.PartReport `cbor:"10,keyasint,omitempty"`
	// How fast engines have lately been.
	Speeds []EngineSpeed `cbor:"11,keyasint,omitempty"`
	// What callers ask for, by route.
	Demand []RouteDemand `cbor:"12,keyasint,omitempty"`
	// The work of very long prompts, by service.
	LongReads []ServiceWork `cbor:"13,keyasint,omitempty"`
	// Promises recently made to rejected requests.
	Returns []ReturnPromise `cbor:"15,keyasint,omitempty"`
	// What client accounts ask for and get, by service and priority.
	Shares []AccountWork `cbor:"16,keyasint,omitempty"`
	// What was refunded to client accounts.
	Refunds []AccountRefund `cbor:"17,keyasint,omitempty"`
}

// Backoff is an engine that asks for backoff, with the number of gateways that it asked.
type Backoff struct {
	_        struct{} `cbor:",toarray"`
	Engine   uint64   // hash of its incarnation
	Gateways int
}

// AccountUsage is what the callers of one client account do. The rates are in hundredths
// of a unit per second.
type AccountUsage struct {
	_             struct{} `cbor:",toarray"`
	Account       uint32   // hash of its name
	AdmittedRate  int      // over the last 0.2 s
	SmoothedRate  int      // admitted, averaged over the last 0.5 s
	RequestedRate int      // requested, whether admitted or not
	WindowTotal   int      // whole units admitted within the last window of the allowance
}

// EngineLoad is the load of one engine.
type EngineLoad struct {
	_        struct{} `cbor:",toarray"`
	Engine   uint64   // hash of its incarnation
	Requests int      // in flight
	Unread   int      // prompt tokens of requests that have produced no event yet
	Reserved int      // tokens of memory: prompts, and what their answers may grow to
	ReadRate int      // prompt tokens per second, recently
}

// SentBlock is a shared prompt block that was sent to an engine.
type SentBlock struct {
	_      struct{} `cbor:",toarray"`
	Block  uint32   // hash of the block
	Engine uint64   // hash of the engine's incarnation
}

// Member identifies the report of one gateway that a sum includes.
type Member struct {
	_            struct{} `cbor:",toarray"`
	NameHash     uint32   // of the gateway
	ReportNumber uint32   // counts the gateway's reports
}

// RegionReport is the report that a region sends to the gateways of other regions, which
// forward it among themselves.
type RegionReport struct {
	Region  string        `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint,omitempty"` // since it reached the receiving region
	Digests []byte        `cbor:"3,keyasint"`           // encoded by the owner of the Aggregator
	// What the region's callers do.
	Accounts []AccountUsage `cbor:"4,keyasint,omitempty"`
	// The crash records of requests that the region's gateways report.
	Crashes []quarantine.CrashReport `cbor:"5,keyasint,omitempty"`
	// The software versions of the region's engines.
	Versions []VersionCount `cbor:"6,keyasint,omitempty"`
	// The crash records of parts of prompts that the region's gateways report.
	Parts []quarantine.PartReport `cbor:"7,keyasint,omitempty"`
	// What the region's callers ask for, by route.
	Demand []RouteDemand `cbor:"8,keyasint,omitempty"`
	// What was refunded to the accounts of the region's callers.
	Refunds []AccountRefund `cbor:"9,keyasint,omitempty"`
	// VersionsComplete says that Versions has all versions of the region's engines, those that have
	// ended lately included: the reporting gateway was in contact with all control hosts.
	VersionsComplete bool `cbor:"10,keyasint,omitempty"`
}

// VersionCount is the number of a region's engines that serve one service at one software
// version.
type VersionCount struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Version string // "" if the engines report none
	Engines int
}

// Message is what gateways send to each other: the Report of one gateway, to its leader or
// to all others; the Report of a group, to other leaders; the Report of the whole region,
// to the members of a group; or just a region's report in Remote, where From is a gateway
// of another region.
type Message struct {
	From          string         `cbor:"1,keyasint"`
	Group         Group          `cbor:"2,keyasint"`
	Members       []Member       `cbor:"3,keyasint,omitempty"` // gateways of the group that the report includes
	Total         bool           `cbor:"4,keyasint,omitempty"` // the report covers the whole region
	OtherGateways int            `cbor:"5,keyasint,omitempty"` // number of gateways of other groups in a total
	Report        Report         `cbor:"6,keyasint,omitempty"`
	Remote        []RegionReport `cbor:"7,keyasint,omitempty"`
}

// additiveFields returns the report with only those fields that can be summed and
// subtracted; the others are events.
func (r Report) additiveFields() Report {
	return Report{Engines: r.Engines, Accounts: r.Accounts, Speeds: r.Speeds, Demand: r.Demand, LongReads: r.LongReads, Refunds: r.Refunds, Shares: r.Shares}
}

// sum accumulates reports.
type sum struct {
	loads       map[uint64]EngineLoad
	blocks      map[SentBlock]bool
	unreachable map[uint64]bool
	replaced    map[uint64]bool
	draining    map[uint64]bool
	backingOff  map[uint64]int // number of gateways that the engine asked for backoff
	accounts    map[uint32]AccountUsage
	// crashes keeps the greatest age reported for each crash: a report that is forwarded
	// appears younger than it is.
	crashes map[crashKey]quarantine.CrashReport
	parts   map[partKey]quarantine.PartReport // likewise
	limits  map[uint64]ratelimit.LimitReport  // by engine, the youngest report

	speeds    map[uint64]EngineSpeed
	demand    map[uint32]RouteDemand
	longReads map[uint32]ServiceWork
	refunds   map[uint32]AccountRefund
	shares    map[AccountKey]AccountWork
	returns   map[uint32]ReturnPromise // by request, the one that is due last
}

// maxCrashes bounds the crash reports in one sum to about 4 KB, those of twelve engines
// that crash at once with twenty requests each. The rest goes out with later messages.
const maxCrashes = 256

// maxLimits bounds the limit reports in one sum to about 4 KB. The rest goes out with
// later messages.
const maxLimits = 256

// aged returns a report that was received that long ago, ready to be forwarded.
func (r Report) aged(by time.Duration) Report {
	r.Limits = ratelimit.AddAge(r.Limits, by)
	r.Returns = agedReturns(r.Returns, by)
	return r
}

// crashKey identifies one crash of an engine during a request.
type crashKey struct {
	request quarantine.Fingerprint
	engine  uint32
}

// partKey identifies one event that concerns a part of prompts.
type partKey struct {
	part   quarantine.Fingerprint
	event  quarantine.PartEvent
	engine uint32
}

func newSum() *sum {
	return &sum{
		loads: make(map[uint64]EngineLoad), blocks: make(map[SentBlock]bool), unreachable: make(map[uint64]bool), replaced: make(map[uint64]bool), draining: make(map[uint64]bool),
		backingOff: make(map[uint64]int), accounts: make(map[uint32]AccountUsage), crashes: make(map[crashKey]quarantine.CrashReport), parts: make(map[partKey]quarantine.PartReport),
		limits: make(map[uint64]ratelimit.LimitReport), speeds: make(map[uint64]EngineSpeed), demand: make(map[uint32]RouteDemand), longReads: make(map[uint32]ServiceWork), refunds: make(map[uint32]AccountRefund), shares: make(map[AccountKey]AccountWork), returns: make(map[uint32]ReturnPromise),
	}
}

// add adds the report factor times; -1 subtracts it.
func (s *sum) add(r Report, factor int) {
	for _, e := range r.Engines {
		l := s.loads[e.Engine]
		l.Engine = e.Engine
		l.Requests += factor * e.Requests
		l.Unread += factor * e.Unread
		l.Reserved += factor * e.Reserved
		l.ReadRate += factor * e.ReadRate
		s.loads[e.Engine] = l
	}
	for _, a := range r.Accounts {
		u := s.accounts[a.Account]
		u.Account = a.Account
		u.AdmittedRate += factor * a.AdmittedRate
		u.SmoothedRate += factor * a.SmoothedRate
		u.WindowTotal += factor * a.WindowTotal
		u.RequestedRate += factor * a.RequestedRate
		s.accounts[a.Account] = u
	}
	s.addLoadReports(r, factor)
	s.addReturns(r)
	for _, block := range r.SentBlocks {
		s.blocks[block] = true
	}
	for _, hash := range r.Unreachable {
		s.unreachable[hash] = true
	}
	for _, hash := range r.Replaced {
		s.replaced[hash] = true
	}
	for _, hash := range r.Draining {
		s.draining[hash] = true
	}
	for _, b := range r.BackingOff {
		s.backingOff[b.Engine] += b.Gateways
	}
	for _, crash := range r.Crashes {
		key := crashKey{crash.Request, crash.Engine}
		if known, ok := s.crashes[key]; !ok || crash.Age > known.Age {
			s.crashes[key] = crash
		}
	}
	for _, part := range r.Parts {
		key := partKey{part.Part, part.Event, part.Engine}
		if known, ok := s.parts[key]; !ok || part.AgeMillis > known.AgeMillis {
			s.parts[key] = part
		}
	}
	for _, limit := range r.Limits {
		if known, ok := s.limits[limit.Engine]; !ok || limit.Age < known.Age {
			s.limits[limit.Engine] = limit
		}
	}
}

func (s *sum) report() Report {
	r := Report{Engines: make([]EngineLoad, 0, len(s.loads)), SentBlocks: make([]SentBlock, 0, len(s.blocks))}
	for _, l := range s.loads {
		r.Engines = append(r.Engines, l)
	}
	for block := range s.blocks {
		r.SentBlocks = append(r.SentBlocks, block)
	}
	for hash := range s.unreachable {
		r.Unreachable = append(r.Unreachable, hash)
	}
	for hash := range s.replaced {
		r.Replaced = append(r.Replaced, hash)
	}
	for hash := range s.draining {
		r.Draining = append(r.Draining, hash)
	}
	for hash, gateways := range s.backingOff {
		r.BackingOff = append(r.BackingOff, Backoff{Engine: hash, Gateways: gateways})
	}
	for _, u := range s.accounts {
		r.Accounts = append(r.Accounts, u)
	}
	for _, crash := range s.crashes {
		if len(r.Crashes) < maxCrashes {
			r.Crashes = append(r.Crashes, crash)
		}
	}
	for _, part := range s.parts {
		if len(r.Parts) < maxCrashes {
			r.Parts = append(r.Parts, part)
		}
	}
	for _, limit := range s.limits {
		if len(r.Limits) < maxLimits {
			r.Limits = append(r.Limits, limit)
		}
	}
	s.putLoadReports(&r)
	s.putReturns(&r)
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
