// This file defines the reports of promises to rejected requests.

package rollup

import (
	"cmp"
	"slices"
	"time"
)

// ReturnPromise states when a rejected request goes before newcomers of its kind.
type ReturnPromise struct {
	_         struct{} `cbor:",toarray"`
	Request   uint32   // hash of its fingerprint
	Kind      uint32   // hash of its service and priority
	DueMillis int      // time left until then
}

// maxReturns bounds the promises in one report to about 0.5 KB: in an overload there are
// hundreds a second, just when the links of leaders are needed for loads and usage. A promise
// that is left out counts only at the gateways of the same group, or at the one that made it.
const maxReturns = 32

// LimitReturns returns the promises that are due first, at most as many as a report holds.
func LimitReturns(promises []ReturnPromise) []ReturnPromise {
	if len(promises) <= maxReturns {
		return promises
	}
	slices.SortFunc(promises, func(a, b ReturnPromise) int {
		return cmp.Or(cmp.Compare(a.DueMillis, b.DueMillis), cmp.Compare(a.Request, b.Request))
	})
	return promises[:maxReturns]
}

// agedReturns returns promises that were received that long ago, ready to be forwarded.
func agedReturns(promises []ReturnPromise, by time.Duration) []ReturnPromise {
	out := make([]ReturnPromise, 0, len(promises))
	for _, p := range promises {
		p.DueMillis -= int(by.Milliseconds())
		out = append(out, p)
	}
	return out
}

func (s *sum) addReturns(r Report) {
	for _, p := range r.Returns {
		if known, ok := s.returns[p.Request]; !ok || p.DueMillis > known.DueMillis {
			s.returns[p.Request] = p
		}
	}
}

func (s *sum) putReturns(r *Report) {
	for _, p := range s.returns {
		r.Returns = append(r.Returns, p)
	}
	r.Returns = LimitReturns(r.Returns)
}
