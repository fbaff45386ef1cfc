// This file defines how an engine's answer is relayed to the caller: complete, or visibly
// truncated.

package ingress

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/streams"
)

// maxBufferedAnswer is the length up to which an answer that is not an event stream is
// buffered completely before any of it is sent, so that a truncated one can be retried.
const maxBufferedAnswer = 256 << 10

// answerSource is where an answer comes from. The functions are called while it arrives; both
// are nil for an answer of another gateway.
type answerSource struct {
	origin    *streams.Origin // of a stream that the answer begins; nil if not known
	firstByte func()          // the first bytes of the body have arrived
	// lastByte is called before an answer is sent to the caller that has arrived completely.
	// It isn't called for one that is relayed in parts.
	lastByte func()
}

// relayAnswer sends an engine's or another gateway's answer to the caller. If it fails
// before x.answerStarted is set, the caller has received nothing and another attempt is
// possible.
func (s *Server) relayAnswer(x *exchange, resp *http.Response, source answerSource) error {
	x.framing, x.trailingBytes = framingOf(resp), 0
	if isEventStream(resp) {
		return s.relayEvents(x, resp, source)
	}
	if x.answerStarted {
		return errors.New("the stream can't be resumed: the answer is not an event stream")
	}
	head := buffer{budget: &s.buffers}
	defer head.release()
	err := head.read(resp.Body, resp.ContentLength, maxBufferedAnswer)
	full := errors.Is(err, errBuffersFull)
	if err != nil && !full {
		return &truncatedAnswer{errors.Annotate(err, "answer")}
	}
	if source.firstByte != nil {
		source.firstByte()
	}
	if full || len(head.data) == maxBufferedAnswer {
		s.writeHead(x, resp, resp.ContentLength)
		_, err := relay.Copy(x.w, io.MultiReader(bytes.NewReader(head.data), resp.Body), writeTimeout, nil)
		return err
	}
	if source.lastByte != nil {
		source.lastByte()
	}
	s.writeHead(x, resp, int64(len(head.data)))
	return writeComplete(x.w, head.data)
}

// answerPiece is how many bytes of a complete answer are written under one writeTimeout. A
// caller that reads slowly gets the whole answer; one that reads nothing is cut off.
const answerPiece = 16 << 10

// writeComplete writes a complete answer to the caller. The server resets the write deadline
// after the response's last flush. The error is a *relay.CallerError.
func writeComplete(w http.ResponseWriter, data []byte) error {
	controller := http.NewResponseController(w)
	for piece := range slices.Chunk(data, answerPiece) {
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported by httptest.ResponseRecorder
		if _, err := w.Write(piece); err != nil {
			return &relay.CallerError{Cause: err}
		}
	}
	return nil
}

// truncatedAnswer is the error for a connection that ended before the answer did.
type truncatedAnswer struct{ cause error }

// Error implements error.
func (t *truncatedAnswer) Error() string { return t.cause.Error() }

// Unwrap returns the read error.
func (t *truncatedAnswer) Unwrap() error { return t.cause }

func isEventStream(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// writeHead sends the engine's status and headers to the caller. length is the length of
// the body, -1 if unknown.
func (s *Server) writeHead(x *exchange, resp *http.Response, length int64) {
	header := x.w.Header()
	for name, values := range relay.ForwardableHeaders(resp.Header) {
		header[name] = values
	}
	if _, present := header["Content-Type"]; !present {
		header["Content-Type"] = nil // else net/http guesses one
	}
	if _, present := header["Date"]; !present {
		header["Date"] = nil
	}
	header.Del("Content-Length")
	x.chunked = length < 0
	if !x.chunked {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.setOriginHeader(header)
	header.Del(request.HeaderSends)
	if x.handedOver {
		header.Set(request.HeaderSends, strconv.Itoa(x.progress.sends+1))
	}
	x.answerStarted = true
	x.w.WriteHeader(resp.StatusCode)
}

// relayEvents relays an event stream as it arrives. It forwards complete events only, so
// that another engine can resume the stream after the last event sent.
func (s *Server) relayEvents(x *exchange, resp *http.Response, source answerSource) error {
	onFirstByte := source.firstByte
	var splitter eventSplitter
	chunk := make([]byte, readChunkBytes)
	out := relay.NewWriter(x.w, writeTimeout)
	for {
		n, err := resp.Body.Read(chunk)
		if n > 0 && onFirstByte != nil {
			onFirstByte()
			onFirstByte = nil
		}
		complete := splitter.push(chunk[:n])
		if len(splitter.remainder()) > maxEventBytes {
			return &truncatedAnswer{errors.Errorf("an event of the stream is longer than %d bytes", maxEventBytes)}
		}
		if err == io.EOF {
			if trailerErr := x.checkTrailer(resp); trailerErr != nil {
				return trailerErr
			}
			x.trailingBytes = len(splitter.remainder())
			complete = append(complete, splitter.remainder()...)
		}
		if len(complete) > 0 || err == io.EOF {
			if !x.answerStarted {
				s.beginStream(x, source.origin)
				s.writeHead(x, resp, -1)
			}
			if err := out.WriteFlush(complete); err != nil {
				return err
			}
			x.recordEvent(time.Now())
			x.progress.lastEventID = splitter.lastIDOr(x.progress.lastEventID)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &truncatedAnswer{errors.Annotate(err, "stream")}
		}
	}
}

// recordEvent updates the longest pause between events; now is when an event was relayed.
func (x *exchange) recordEvent(now time.Time) {
	if !x.lastEventAt.IsZero() {
		x.longestPause = max(x.longestPause, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// readChunkBytes bounds one read of a stream. It is small because many streams are open at
// once.
const readChunkBytes = 2 << 10

// maxEventBytes bounds an event of a stream, which is held until it is complete.
const maxEventBytes = 256 << 10

// eventSplitter splits a stream of server-sent events at event boundaries. The zero value
// is ready for the start of a stream.
type eventSplitter struct {
	partial []byte
	lastID  string
}

// eventTerminator is the blank line that ends an event.
var eventTerminator = []byte("\n\n")

// push appends data and returns all events that are complete now. The result is valid
// until the next call.
func (e *eventSplitter) push(data []byte) []byte {
	e.partial = append(e.partial, data...)
	end := bytes.LastIndex(e.partial, eventTerminator)
	if end < 0 {
		return nil
	}
	complete := bytes.Clone(e.partial[:end+len(eventTerminator)])
	e.partial = append(e.partial[:0], e.partial[end+len(eventTerminator):]...)
	e.recordLastID(complete)
	return complete
}

// remainder returns the bytes after the last complete event. It is for the end of the
// stream.
func (e *eventSplitter) remainder() []byte { return e.partial }

// idPrefix begins the line of an event that contains its ID.
var idPrefix = []byte("id:")

// recordLastID remembers the last event ID in complete.
func (e *eventSplitter) recordLastID(complete []byte) {
	for line := range bytes.Lines(complete) {
		if id, ok := bytes.CutPrefix(line, idPrefix); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// lastIDOr returns the last event ID of the stream, or previous if there was none.
func (e *eventSplitter) lastIDOr(previous string) string {
	if e.lastID == "" {
		return previous
	}
	return e.lastID
}
