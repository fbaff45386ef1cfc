// This file defines when rejected callers return, and which of them go before newcomers: it
// supplies package returns with what this gateway admits and rejects.

package dispatch

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/returns"
	"github.com/linenscale/linenscale/rollup"
)

// returnHash returns the hash that stands for the request in promises; 0 if nothing identifies
// it when it returns.
func (r Request) returnHash() uint32 { return uint32(r.Fingerprint) }

// kindHash returns the hash that stands for requests of the same service and priority.
func (r Request) kindHash() uint32 {
	return uint32(hashString(strconv.Itoa(r.Priority) + "\x00" + r.Service))
}

// ReturnAfter returns the Retry-After of a caller's request that is rejected for lack of
// capacity, with so much time left, and whether it is promised to go before newcomers then.
// random is 64 uniformly distributed bits.
func (d *Dispatcher) ReturnAfter(req Request, rejection *request.NotRun, remaining time.Duration, random uint64) (after time.Duration, promised bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	r := returns.Rejection{
		Request: req.returnHash(), Kind: req.kindHash(), Ranks: 1, Remaining: remaining, Earliest: rejection.RetryAfter, Random: random,
		Promisable: rejection.Reason == request.ReasonOverload && req.Target > 0,
	}
	if p, ok := d.pools[req.Service]; ok {
		r.Rank, r.Ranks = p.demand.Rank(req.Priority, now)
	}
	return d.returns.Reject(r, now)
}

// isPromised reports whether the request returns as it was promised.
func (d *Dispatcher) isPromised(req Request, now time.Time) bool {
	return req.isRanked() && d.returns.Returns(req.returnHash(), now)
}

// logReturns logs and counts what has become of the promises, if anything has. The lock is held.
func (d *Dispatcher) logReturns() {
	if counts := d.returns.Counts(); counts != d.loggedReturns {
		if d.Metrics != nil {
			d.Metrics.CountPromises("made", counts.Made-d.loggedReturns.Made)
			d.Metrics.CountPromises("kept", counts.Kept-d.loggedReturns.Kept)
			d.Metrics.CountPromises("lapsed", counts.Lapsed-d.loggedReturns.Lapsed)
		}
		d.loggedReturns = counts
		d.Log.Info("promised returns", zap.Int("made", counts.Made), zap.Int("kept", counts.Kept), zap.Int("lapsed", counts.Lapsed))
	}
}

// outgoingReturns returns the promises to report to the region's other gateways.
func (d *Dispatcher) outgoingReturns(now time.Time) []rollup.ReturnPromise {
	var out []rollup.ReturnPromise
	for _, p := range d.returns.Outgoing(now) {
		out = append(out, rollup.ReturnPromise{Request: p.Request, Kind: p.Kind, DueMillis: int(p.Due.Sub(now).Milliseconds())})
	}
	return rollup.LimitReturns(out)
}

// mergeReturns adds the promises that other gateways report. The lock is held.
func (d *Dispatcher) mergeReturns(m rollup.Message, now time.Time) {
	for _, p := range m.Report.Returns {
		d.returns.Receive(returns.Promise{Request: p.Request, Kind: p.Kind, Due: now.Add(time.Duration(p.DueMillis) * time.Millisecond)}, now)
	}
}
