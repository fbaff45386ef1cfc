// This file defines the reports of limits that gateways exchange.

package ratelimit

import (
	"math"
	"slices"
	"time"
)

// LimitReport reports an engine's limit to another gateway.
type LimitReport struct {
	_      struct{} `cbor:",toarray"`
	Engine uint64   // hash of its incarnation
	// PerSecond is the limit in thousandths of a request per second, or lifted.
	PerSecond int64
	Age       uint16 // of the signal, in milliseconds
}

const (
	// lifted is the PerSecond of an engine that no longer names a limit.
	lifted = -1
	// milli is the number of PerSecond units in one request per second.
	milli = 1000
	// sendsPerChange is how many messages include each change, because about one datagram
	// in a hundred is lost.
	sendsPerChange = 3
	// maxReports bounds the reports in one message, to about 1,000 bytes.
	maxReports = 64
	// repeatsPerMessage is how many limits without a change each message repeats in turn,
	// for gateways that have just started or were partitioned: a hundred limits within 3
	// s.
	repeatsPerMessage = 4
	// maxAgeMillis is the highest age that fits a report: about a minute.
	maxAgeMillis = math.MaxUint16
)

// Outgoing returns the reports for the next message to the gateways of this region.
func (t *Table) Outgoing(now time.Time) []LimitReport {
	if len(t.engines) == 0 {
		return nil
	}
	engines := t.sortedEngines()
	var out []LimitReport
	for _, id := range engines {
		if e := t.engines[id]; e.sendsLeft > 0 && len(out) < maxReports {
			e.sendsLeft--
			out = append(out, e.report(id, now))
		}
	}
	for range min(repeatsPerMessage, len(engines)) {
		t.nextRepeat++
		id := engines[t.nextRepeat%len(engines)]
		out = append(out, t.engines[id].report(id, now))
	}
	return out
}

// LatestReports returns the most recently updated limits, as many as fit one message, for
// a host that is polled for them.
func (t *Table) LatestReports(now time.Time) []LimitReport {
	engines := t.sortedEngines()
	slices.SortStableFunc(engines, func(a, b uint64) int { return t.engines[b].since.Compare(t.engines[a].since) })
	var out []LimitReport
	for _, id := range engines[:min(len(engines), maxReports)] {
		out = append(out, t.engines[id].report(id, now))
	}
	return out
}

func (e *engineLimit) report(id uint64, now time.Time) LimitReport {
	n := LimitReport{Engine: id, PerSecond: lifted, Age: uint16(min(maxAgeMillis, max(0, now.Sub(e.since).Milliseconds())))}
	if limit, ok := e.signal.(Limited); ok {
		n.PerSecond = int64(math.Round(min(limit.PerSecond, math.MaxInt32) * milli))
	}
	return n
}

// signal returns the reported limit as a signal.
func (n LimitReport) signal() Signal {
	if n.PerSecond < 0 {
		return Unlimited{}
	}
	return Limited{PerSecond: float64(n.PerSecond) / milli}
}

// AddAge returns a copy of reports with age added to each. Two reports of one engine are
// ordered by their ages.
func AddAge(reports []LimitReport, age time.Duration) []LimitReport {
	out := slices.Clone(reports)
	for i := range out {
		out[i].Age = uint16(min(maxAgeMillis, int64(out[i].Age)+age.Milliseconds()))
	}
	return out
}

// Receive applies the reports of another gateway. It returns the engines whose limits
// changed.
//
// A report of the signal that is already effective changes nothing, not even its age.
// Network delay makes reports seem younger than they are: if gateways adopted the lower
// ages and sent them on, a signal would never age, and no later one could replace it.
func (t *Table) Receive(reports []LimitReport, now time.Time) []uint64 {
	var changed []uint64
	for _, n := range reports {
		since := now.Add(-time.Duration(n.Age) * time.Millisecond)
		e, known := t.engines[n.Engine]
		if !known {
			e = &engineLimit{} // also if the limit is lifted: older reports of it may follow
			e.share.refilledAt = now
			t.engines[n.Engine] = e
		}
		if known && (!since.After(e.since) || n.matches(e.signal)) {
			continue
		}
		t.set(e, n.Engine, n.signal(), since, now)
		e.sendsLeft = 0 // the gateway that reports the change sends it to all others
		if known || n.PerSecond != lifted {
			changed = append(changed, n.Engine)
		}
	}
	return changed
}

// matches reports whether the report has the same limit as a signal, in its precision.
func (n LimitReport) matches(signal Signal) bool {
	limit, limited := signal.(Limited)
	if !limited {
		return n.PerSecond == lifted
	}
	return n.PerSecond == int64(math.Round(min(limit.PerSecond, math.MaxInt32)*milli))
}
