// This file defines the records that one gateway keeps.

package streams

import (
	"sync"
	"time"
)

const (
	// maxRecords bounds the records of one gateway. A gateway that serves a hundred streams a
	// second and keeps each for half a minute has a twentieth of it.
	maxRecords = 1 << 16
	// maxTextBytes bounds each text of a record. Streams with longer ones aren't recorded, and
	// so can't be resumed by their callers.
	maxTextBytes = 128
	// maxKeepTime bounds how long a record is kept, whatever its sender asks for.
	maxKeepTime = 2 * time.Minute
)

// table holds the records of one gateway until they expire.
type table struct {
	mu      sync.Mutex
	records map[Key]kept
}

// kept is where one stream began.
type kept struct {
	origin    Origin
	contested bool // records contradict each other: one ID was used twice, or two streams have the same content
	expiresAt time.Time
}

// finding returns what the record says.
func (k kept) finding() Finding {
	if k.contested {
		return Contested{}
	}
	return Found{k.origin}
}

// put adds a record. It returns false if there is no room for it, or it is malformed.
func (t *table) put(r Record, now time.Time) bool {
	if r.Stream == "" || r.Service == "" || r.KeepForMS <= 0 || max(len(r.Stream), len(r.Service), len(r.Version)) > maxTextBytes {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := kept{origin: Origin{r.Service, r.Version}, expiresAt: now.Add(min(time.Duration(r.KeepForMS)*time.Millisecond, maxKeepTime))}
	previous, known := t.records[r.Stream]
	if known && now.Before(previous.expiresAt) {
		next.contested = previous.contested || previous.origin != next.origin
		if previous.expiresAt.After(next.expiresAt) {
			next.expiresAt = previous.expiresAt
		}
	}
	if !known && len(t.records) >= maxRecords {
		return false
	}
	t.records[r.Stream] = next
	return true
}

// get returns the record of a stream, and false if there is none.
func (t *table) get(stream Key, now time.Time) (kept, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, known := t.records[stream]
	return k, known && now.Before(k.expiresAt)
}

// expire removes the records that have expired.
func (t *table) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for stream, k := range t.records {
		if !now.Before(k.expiresAt) {
			delete(t.records, stream)
		}
	}
}

// all returns all records that haven't expired. Those that are contested are left out.
func (t *table) all(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for stream, k := range t.records {
		if left := k.expiresAt.Sub(now); left > 0 && !k.contested {
			out = append(out, Record{Stream: stream, Service: k.origin.Service, Version: k.origin.Version, KeepForMS: left.Milliseconds()})
		}
	}
	return out
}
