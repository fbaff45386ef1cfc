// This file defines the reports about parts of prompts that gateways exchange.

package quarantine

import (
	"maps"
	"slices"
	"time"
)

// PartEvent is what a PartReport reports.
type PartEvent uint8

// The events.
const (
	PartCrash       PartEvent = iota + 1 // an engine crashed before it had begun an answer on the part
	PartBegun                            // an engine began an answer on the part and lived on
	PartQuarantined                      // a gateway quarantined the part
)

// PartReport reports one event that concerns a part of prompts. All that leaves a gateway about the
// part is its fingerprint.
type PartReport struct {
	_         struct{} `cbor:",toarray"`
	Part      Fingerprint
	Event     PartEvent
	Engine    uint32 // engineHash of the incarnation that crashed; 0 for other events
	AgeMillis uint32 // since the event
	RunMillis uint32 // of a crash: since the earliest request with the part was sent there
}

const (
	// maxPartReports is the number of reports, some 400 bytes, at which a message gets no
	// further changes.
	maxPartReports = 24
	// maxRepeatedCrashes bounds the crashes in the repeated report of a quarantined part. One in
	// repeatInterval messages contains one such report, in rotation, for gateways that have just
	// started or were partitioned.
	maxRepeatedCrashes = minCrashes
	repeatInterval     = 5
)

// OutgoingLocal returns the reports for the next message to the gateways of this region.
func (t *Parts) OutgoingLocal(now time.Time) []PartReport { return t.outgoing(&t.localQueue, now) }

// OutgoingRemote returns the reports for the next message to other regions.
func (t *Parts) OutgoingRemote(now time.Time) []PartReport { return t.outgoing(&t.remoteQueue, now) }

func (t *Parts) outgoing(q *queue, now time.Time) []PartReport {
	if len(t.entries) == 0 {
		return nil
	}
	var out []PartReport
	q.pop(t.priority, func(part Fingerprint) (full bool) {
		if len(out) >= maxPartReports {
			return true
		}
		out = append(out, t.reports(part, maxCrashesPerPart, now)...)
		return false
	})
	q.messages++
	if len(t.quarantined) > 0 && q.messages%repeatInterval == 0 {
		parts := slices.Sorted(maps.Keys(t.quarantined))
		t.nextRepeat++
		out = append(out, t.reports(parts[t.nextRepeat%len(parts)], maxRepeatedCrashes, now)...)
	}
	return out
}

// reports returns what is recorded for a part, with at most so many crashes, the latest ones.
func (t *Parts) reports(part Fingerprint, maxCrashes int, now time.Time) []PartReport {
	e, ok := t.entries[part]
	if !ok {
		return nil
	}
	var out []PartReport
	if !e.begunAt.IsZero() {
		out = append(out, PartReport{Part: part, Event: PartBegun, AgeMillis: millisSince(e.begunAt, now)})
	}
	crashes := e.counting()
	for _, c := range crashes[max(0, len(crashes)-maxCrashes):] {
		out = append(out, PartReport{Part: part, Event: PartCrash, Engine: c.engine, AgeMillis: millisSince(c.at, now), RunMillis: millisSince(c.sent, c.at)})
	}
	if !e.quarantinedAt.IsZero() {
		out = append(out, PartReport{Part: part, Event: PartQuarantined, AgeMillis: millisSince(e.quarantinedAt, now)})
	}
	return out
}

// maxReportedMillis is the highest age of a report: crashTTL, after which the event no longer
// counts.
const maxReportedMillis = uint32(crashTTL / time.Millisecond)

func millisSince(at, now time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at).Milliseconds()), int64(maxReportedMillis)))
}

// ReceiveLocal applies the reports of a gateway of this region, and queues what is new for other
// regions. It returns the parts that have become quarantined.
func (t *Parts) ReceiveLocal(reports []PartReport, now time.Time) []Fingerprint {
	return t.receive(reports, now, true)
}

// ReceiveRemote applies the reports of another region, which sends them to all regions itself. It
// returns the parts that have become quarantined.
func (t *Parts) ReceiveRemote(reports []PartReport, now time.Time) []Fingerprint {
	return t.receive(reports, now, false)
}

func (t *Parts) receive(reports []PartReport, now time.Time, forward bool) []Fingerprint {
	var quarantined []Fingerprint
	for _, r := range reports {
		if r.Part == 0 || r.AgeMillis >= maxReportedMillis {
			continue
		}
		changed, newly := t.apply(r, now)
		if newly {
			quarantined = append(quarantined, r.Part)
		}
		if changed && forward {
			t.pushRemote(r.Part, t.entries[r.Part])
		}
	}
	return quarantined
}

// apply applies one report. It reports whether it changed what counts, and whether the part has
// become quarantined.
func (t *Parts) apply(r PartReport, now time.Time) (changed, quarantined bool) {
	at := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
	switch r.Event {
	case PartCrash:
		sent := at.Add(-time.Duration(r.RunMillis) * time.Millisecond)
		return t.addCrash(r.Part, partCrash{engine: r.Engine, sent: sent, at: at}, now), false
	case PartBegun:
		t.entryFor(r.Part, now) // so that earlier crashes that are reported later are ignored
		return t.clear(r.Part, at), false
	case PartQuarantined:
		e := t.entryFor(r.Part, now)
		if !isPart(r.Part) || !e.quarantinedAt.IsZero() || !at.After(e.begunAt) || e.count() == 0 {
			return false, false
		}
		t.quarantine(r.Part, e, at)
		t.attributeAll(e)
		return true, true
	default:
		return false, false
	}
}
