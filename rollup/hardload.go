// This file defines the reports about speeds and demand, which add up over gateways.

package rollup

import (
	"cmp"
	"slices"
)

// EngineSpeed is what gateways have lately seen of one engine's speed. It is evidence, not an
// estimate: that of several gateways adds up.
type EngineSpeed struct {
	_      struct{} `cbor:",toarray"`
	Engine uint64   // hash of its incarnation
	// LogSum and Weight are the sums of the logarithms of the observed speeds, relative to the
	// service's mean, and of the weights of the observations, both in hundredths.
	LogSum, Weight int
	// TokenMicros and Tokens are the time that streams took for their tokens after the first
	// event, in microseconds, and those tokens.
	TokenMicros, Tokens int
}

// RouteDemand is what callers lately asked for in one class of requests of one service: those
// of all routes that are alike for the decisions of gateways.
type RouteDemand struct {
	_      struct{} `cbor:",toarray"`
	Route  uint32   // stands for the class
	Tokens int      // prompt tokens per second that engines would have to read
	Shared int      // shared prompt tokens per second, whether engines have cached them or not
	// Requests are in hundredths per second, a caller's retries included.
	Requests int
}

// ServiceWork is work of one service.
type ServiceWork struct {
	_       struct{} `cbor:",toarray"`
	Service uint32   // hash of its name
	Tokens  int      // prompt tokens per second
}

// AccountRefund is what was refunded to one client account of what its callers were charged
// within the last window of its allowance: their requests were never run.
type AccountRefund struct {
	_       struct{} `cbor:",toarray"`
	Account uint32   // hash of its name
	Units   int
}

func (f AccountRefund) plus(o AccountRefund, factor int) AccountRefund {
	f.Units += factor * o.Units
	return f
}

// AccountKey identifies a client account among those that compete for the same room.
type AccountKey struct {
	Kind    uint32 // hash of the service and the priority
	Account uint32 // hash of its name
}

// AccountWork is what the callers of a client account lately asked for and got, in tokens per
// second.
type AccountWork struct {
	_               struct{} `cbor:",toarray"`
	Kind, Account   uint32   // as in AccountKey
	Asked, Admitted int
}

// maxSpeeds bounds the engines in one sum to about 10 KB. In larger regions the speeds of
// those with the most evidence are sent, which are the busiest.
const maxSpeeds = 512

// maxDemand bounds the classes in one report to about 5 KB.
const maxDemand = 256

// LimitDemand returns the classes with the largest demand, at most as many as a report holds.
func LimitDemand(demand []RouteDemand) []RouteDemand {
	if len(demand) <= maxDemand {
		return demand
	}
	slices.SortFunc(demand, func(a, b RouteDemand) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Route, b.Route))
	})
	return demand[:maxDemand]
}

func (e EngineSpeed) plus(o EngineSpeed, factor int) EngineSpeed {
	e.LogSum += factor * o.LogSum
	e.Weight += factor * o.Weight
	e.TokenMicros += factor * o.TokenMicros
	e.Tokens += factor * o.Tokens
	return e
}

func (d RouteDemand) plus(o RouteDemand, factor int) RouteDemand {
	d.Tokens += factor * o.Tokens
	d.Shared += factor * o.Shared
	d.Requests += factor * o.Requests
	return d
}

func (w AccountWork) plus(o AccountWork, factor int) AccountWork {
	w.Asked += factor * o.Asked
	w.Admitted += factor * o.Admitted
	return w
}

func (w ServiceWork) plus(o ServiceWork, factor int) ServiceWork {
	w.Tokens += factor * o.Tokens
	return w
}

// addLoadReports adds the reports of this file factor times.
func (s *sum) addLoadReports(r Report, factor int) {
	for _, e := range r.Speeds {
		known := s.speeds[e.Engine]
		known.Engine = e.Engine
		s.speeds[e.Engine] = known.plus(e, factor)
	}
	s.addRefunds(r.Refunds, factor)
	for _, demand := range r.Demand {
		known := s.demand[demand.Route]
		known.Route = demand.Route
		s.demand[demand.Route] = known.plus(demand, factor)
	}
	for _, work := range r.LongReads {
		known := s.longReads[work.Service]
		known.Service = work.Service
		s.longReads[work.Service] = known.plus(work, factor)
	}
	for _, work := range r.Shares {
		key := AccountKey{work.Kind, work.Account}
		known := s.shares[key]
		known.Kind, known.Account = work.Kind, work.Account
		s.shares[key] = known.plus(work, factor)
	}
}

// addRefunds adds refunds factor times.
func (s *sum) addRefunds(refunds []AccountRefund, factor int) {
	for _, f := range refunds {
		known := s.refunds[f.Account]
		known.Account = f.Account
		s.refunds[f.Account] = known.plus(f, factor)
	}
}

// putLoadReports sets the reports of this file in r.
func (s *sum) putLoadReports(r *Report) {
	for _, e := range s.speeds {
		r.Speeds = append(r.Speeds, e)
	}
	if len(r.Speeds) > maxSpeeds {
		slices.SortFunc(r.Speeds, func(a, b EngineSpeed) int {
			return cmp.Or(cmp.Compare(b.Weight, a.Weight), compareHash(a.Engine, b.Engine))
		})
		r.Speeds = r.Speeds[:maxSpeeds]
	}
	for _, refund := range s.refunds {
		r.Refunds = append(r.Refunds, refund)
	}
	for _, demand := range s.demand {
		r.Demand = append(r.Demand, demand)
	}
	r.Demand = LimitDemand(r.Demand)
	for _, work := range s.longReads {
		r.LongReads = append(r.LongReads, work)
	}
	for _, work := range s.shares {
		r.Shares = append(r.Shares, work)
	}
}
