// This file defines the crash reports that gateways exchange.

package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// CrashReport reports one crash of an engine under a request, or that an engine answered the
// request.
type CrashReport struct {
	_       struct{} `cbor:",toarray"`
	Request Fingerprint
	Engine  uint32 // engineHash of the incarnation that crashed; 0 if the request was answered
	Age     uint16 // since the event, in units of ageUnit
}

const (
	// ageUnit is the resolution of the age of a report.
	ageUnit = 100 * time.Millisecond
	// localSends is how often each change is sent to the gateways of this region, and
	// remoteSends how often each of the two gateways that report to other regions sends
	// it there. The repeats make up for lost datagrams (about one in a hundred);
	// quarantined requests are also resent periodically, see repeatsPerMessage.
	localSends  = 3
	remoteSends = 2
	// maxReports is the number of reports, some 600 bytes, at which a message gets no
	// further changes. A crashing engine typically runs about ten requests of one gateway.
	maxReports = 32
	// maxQueued limits the requests whose changes wait to be sent. When many engines
	// crash at once, the requests with the most crashes are sent first.
	maxQueued = 256
	// repeatsPerMessage is how many quarantined requests are resent in each message, in
	// rotation, for gateways that have just started or were partitioned: 100 quarantined
	// requests take less than 3 s.
	repeatsPerMessage = 4
)

// queue holds the requests whose crash counts have changed and how many more times each
// is to be sent.
type queue struct {
	sends     int
	messages  int // built so far
	pending   []Fingerprint
	remaining map[Fingerprint]int
}

func newQueue(sends int) queue { return queue{sends: sends, remaining: make(map[Fingerprint]int)} }

// push schedules a request for sending. When the queue is full, the request at its head is
// dropped.
func (q *queue) push(f Fingerprint) {
	if _, queued := q.remaining[f]; !queued {
		if len(q.pending) >= maxQueued {
			delete(q.remaining, q.pending[0])
			q.pending = q.pending[1:]
		}
		q.pending = append(q.pending, f)
	}
	q.remaining[f] = q.sends
}

// pop passes the requests to emit, highest priority first, until emit reports that the
// message is full. Requests that have been sent often enough leave the queue.
func (q *queue) pop(priority func(Fingerprint) int, emit func(Fingerprint) (full bool)) {
	slices.SortStableFunc(q.pending, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(priority(b), priority(a)), cmp.Compare(q.remaining[b], q.remaining[a]))
	})
	for _, f := range slices.Clone(q.pending) {
		if emit(f) {
			break
		}
		q.remaining[f]--
	}
	q.pending = slices.DeleteFunc(q.pending, func(f Fingerprint) bool {
		sent := q.remaining[f] <= 0
		if sent {
			delete(q.remaining, f)
		}
		return sent
	})
}

// OutgoingLocal returns the reports for the next message to the gateways of this region: the
// changes seen by this gateway, and some of the quarantined requests in rotation.
func (t *Table) OutgoingLocal(now time.Time) []CrashReport { return t.outgoing(&t.localQueue, now) }

// OutgoingRemote returns the reports for the next message to other regions: the changes seen
// anywhere in this region, and some of the quarantined requests in rotation, including
// those reported by other regions, because two regions may be partitioned from each other
// while both reach this one.
func (t *Table) OutgoingRemote(now time.Time) []CrashReport { return t.outgoing(&t.remoteQueue, now) }

func (t *Table) outgoing(q *queue, now time.Time) []CrashReport {
	var out []CrashReport
	if len(t.entries) == 0 {
		return nil
	}
	q.pop(t.crashCount, func(f Fingerprint) (full bool) {
		if len(out) >= maxReports {
			return true
		}
		out = append(out, t.reports(f, now)...)
		return false
	})
	quarantined := t.quarantined(now)
	for range min(repeatsPerMessage, len(quarantined)) {
		t.nextRepeat++
		out = append(out, t.reports(quarantined[t.nextRepeat%len(quarantined)], now)...)
	}
	return out
}

// Summary returns the reports that fill one message, for hosts that are polled
// periodically: the requests with the most crashes first, and of those the ones with the
// latest crash.
func (t *Table) Summary(now time.Time) []CrashReport {
	order := slices.SortedFunc(maps.Keys(t.entries), func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(t.crashCount(b), t.crashCount(a)), t.entries[b].lastCrash().Compare(t.entries[a].lastCrash()), cmp.Compare(a, b))
	})
	var out []CrashReport
	for _, f := range order {
		if len(out) >= maxReports {
			break
		}
		out = append(out, t.reports(f, now)...)
	}
	return out
}

func (t *Table) crashCount(f Fingerprint) int {
	if e, ok := t.entries[f]; ok {
		return len(e.crashes)
	}
	return 0
}

// reports returns everything recorded for a request.
func (t *Table) reports(f Fingerprint, now time.Time) []CrashReport {
	e, ok := t.entries[f]
	if !ok {
		return nil
	}
	var out []CrashReport
	if !e.answeredAt.IsZero() {
		out = append(out, CrashReport{Request: f, Age: encodeAge(e.answeredAt, now)})
	}
	for _, c := range e.crashes {
		out = append(out, CrashReport{Request: f, Engine: c.engine, Age: encodeAge(c.at, now)})
	}
	return out
}

func encodeAge(at, now time.Time) uint16 {
	return uint16(min(max(0, now.Sub(at)/ageUnit), maxAge))
}

// maxAge is the highest age of a report, in units of ageUnit: 1.8 hours.
const maxAge = 1<<16 - 1

// AddAge returns reports that were received earlier, with the time since then added to
// their ages. It drops those that become older than a report can represent.
func AddAge(reports []CrashReport, d time.Duration) []CrashReport {
	var out []CrashReport
	for _, r := range reports {
		if age := time.Duration(r.Age)*ageUnit + d; age/ageUnit < maxAge {
			r.Age = uint16(age / ageUnit)
			out = append(out, r)
		}
	}
	return out
}

// ReceiveLocal applies the reports of a gateway of this region, and queues what is new for
// other regions. It returns the requests that have become quarantined.
func (t *Table) ReceiveLocal(reports []CrashReport, now time.Time) []Fingerprint {
	return t.receive(reports, now, func(f Fingerprint) { t.remoteQueue.push(f) })
}

// ReceiveRemote applies the reports of another region. It doesn't forward them: that region
// sends its reports to all regions itself. It returns the requests that have become
// quarantined.
func (t *Table) ReceiveRemote(reports []CrashReport, now time.Time) []Fingerprint {
	return t.receive(reports, now, func(Fingerprint) {})
}

func (t *Table) receive(reports []CrashReport, now time.Time, onChange func(Fingerprint)) []Fingerprint {
	var quarantined []Fingerprint
	for _, r := range reports {
		if r.Request == 0 {
			continue
		}
		at := now.Add(-time.Duration(r.Age) * ageUnit)
		if r.Engine == 0 {
			// Remember the answer, so that reports of earlier crashes that arrive later
			// are ignored.
			t.entryFor(r.Request, now)
			if t.clearCrashes(r.Request, at) {
				onChange(r.Request)
			}
			continue
		}
		if t.answeredRecently(r.Request, now) || !t.addCrash(r.Request, crash{r.Engine, at}, now) {
			continue
		}
		onChange(r.Request)
		if len(t.entries[r.Request].crashes) == crashThreshold {
			quarantined = append(quarantined, r.Request)
		}
	}
	return quarantined
}
