// This file splits event streams into events.

package ingress

import (
	"bytes"
	"slices"
)

// eventSplitter splits a stream of server-sent events at event boundaries. Lines end with LF,
// CRLF or CR, and a blank line ends an event (WHATWG HTML, section 9.2). The zero value is
// ready for the start of a stream.
type eventSplitter struct {
	partial   []byte // the bytes after the last complete event
	scanned   int    // bytes of partial that have been scanned
	lineStart int    // where the current line begins in partial
	afterCR   bool   // the last byte scanned was a CR; an LF after it belongs to the same line end
	inEvent   bool   // partial has a whole line that isn't a comment
	begun     bool   // there was a complete event
	events    int    // complete events
	pendingID string // ID of the event that isn't complete yet; "" for none
	lastID    string // of the last complete event that has one
}

// push appends data and returns all events that are complete now. The result is valid
// until the next call.
func (e *eventSplitter) push(data []byte) []byte {
	e.partial = append(e.partial, data...)
	end := 0
	for ; e.scanned < len(e.partial); e.scanned++ {
		char := e.partial[e.scanned]
		continuesLineEnd := char == '\n' && e.afterCR
		e.afterCR = char == '\r'
		switch {
		case continuesLineEnd:
			if end == e.scanned {
				end++ // the blank line ended with CRLF
			}
			e.lineStart = e.scanned + 1
		case char == '\n' || char == '\r':
			if e.endLine(e.partial[e.lineStart:e.scanned]) {
				end = e.scanned + 1
			}
			e.lineStart = e.scanned + 1
		}
	}
	if end == 0 {
		return nil
	}
	complete := bytes.Clone(e.partial[:end])
	e.partial = slices.Delete(e.partial, 0, end)
	e.scanned -= end
	e.lineStart -= end
	return complete
}

// idPrefix begins the line of an event that contains its ID.
var idPrefix = []byte("id:")

// endLine records a whole line, without its line end. It reports whether the line is blank.
func (e *eventSplitter) endLine(line []byte) (blank bool) {
	if len(line) == 0 {
		if e.inEvent {
			e.begun = true
			e.events++
		}
		e.inEvent = false
		if e.pendingID != "" {
			e.lastID, e.pendingID = e.pendingID, ""
		}
		return true
	}
	if line[0] != ':' {
		e.inEvent = true
	}
	if id, ok := bytes.CutPrefix(line, idPrefix); ok {
		e.pendingID = string(bytes.TrimSpace(id))
	}
	return false
}

// remainder returns the bytes after the last complete event. It is for the end of the
// stream.
func (e *eventSplitter) remainder() []byte { return e.partial }

// endsInsideEvent reports whether a stream that ends now was cut short: in the middle of a line,
// or before the blank line that ends an event.
func (e *eventSplitter) endsInsideEvent() bool { return e.inEvent || e.lineStart < len(e.partial) }

// lastIDOr returns the last event ID of the stream, or previous if there was none.
func (e *eventSplitter) lastIDOr(previous string) string {
	if e.lastID == "" {
		return previous
	}
	return e.lastID
}
