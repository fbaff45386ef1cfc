// This file defines the reports of promises to rejected requests.

package rollup

import "time"

// ReturnPromise states when a rejected request goes before newcomers of its kind.
type ReturnPromise struct {
	_         struct{} `cbor:",toarray"`
	Request   uint32   // hash of its fingerprint
	Kind      uint32   // hash of its service and priority
	DueMillis int      // time left until then
}

// maxReturns bounds the promises in one sum to about 4 KB. A promise that is left out counts
// only at the gateways of the same group.
const maxReturns = 256

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
		if len(r.Returns) < maxReturns {
			r.Returns = append(r.Returns, p)
		}
	}
}
