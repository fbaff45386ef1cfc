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

// answerSource is where an answer comes from. The functions are called while it arrives; all
// are nil for an answer of another gateway.
type answerSource struct {
	fromGateway bool            // the answer was relayed by another gateway
	origin      *streams.Origin // of a stream that the answer begins; nil if not known
	firstByte   func()          // the first bytes of the body have arrived
	// events is called with the number of a stream's events that have arrived. delayed is true
	// if the caller took long to take the previous ones, and the stream wasn't read meanwhile.
	events func(events int, delayed bool)
	// lastByte is called before an answer is sent to the caller that has arrived completely.
	// It isn't called for one that is relayed in parts.
	lastByte func()
	// crashed reports whether the engine has crashed. It is called when an answer without
	// framing has ended.
	crashed func() bool
}

// relayAnswer sends an engine's or another gateway's answer to the caller. If it fails
// before x.answerStarted is set, the caller has received nothing and another attempt is
// possible.
func (s *Server) relayAnswer(x *exchange, resp *http.Response, source answerSource) error {
	x.framing, x.trailingBytes, x.endUnconfirmed = framingOf(resp, source), 0, false
	if isEventStream(resp) && resp.StatusCode < http.StatusMultipleChoices {
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
		return &truncatedAnswer{cause: errors.Annotate(err, "answer")}
	}
	if source.firstByte != nil {
		source.firstByte()
	}
	if full || len(head.data) == maxBufferedAnswer {
		s.writeHead(x, resp, resp.ContentLength)
		if _, err := relay.Copy(x.w, io.MultiReader(bytes.NewReader(head.data), resp.Body), writeTimeout, nil); err != nil {
			return err
		}
		return x.confirmEnd(source)
	}
	if source.lastByte != nil {
		source.lastByte()
	}
	if err := x.confirmEnd(source); err != nil {
		return err
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

// truncatedAnswer is the error for an answer that ended before it was complete.
type truncatedAnswer struct {
	cause error
	// byEngine is true if the connection to this gateway brought all that the engine had
	// sent.
	byEngine bool
}

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
	request.RemoveAnswerHeaders(header)
	x.setFraming(header, length)
	if x.callerFraming == framedByLength {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.setOriginHeader(header)
	s.announceClose(header)
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
	defer out.Extend()
	events, delayed := 0, false
	for {
		n, err := resp.Body.Read(chunk)
		if n > 0 && onFirstByte != nil {
			onFirstByte()
			onFirstByte = nil
		}
		complete := splitter.push(chunk[:n])
		if len(splitter.remainder()) > maxEventBytes {
			return &truncatedAnswer{cause: errors.Errorf("an event of the stream is longer than %d bytes", maxEventBytes)}
		}
		if len(complete) > 0 {
			if source.events != nil {
				source.events(splitter.events-events, delayed)
			}
			events = splitter.events
			arrived := time.Now()
			if err := s.writeEvents(x, resp, out, complete, source); err != nil {
				return err
			}
			delayed = time.Since(arrived) > slowWrite
			x.progress.lastEventID = splitter.lastIDOr(x.progress.lastEventID)
		}
		if err == io.EOF {
			if endErr := x.checkStreamEnd(&splitter, source); endErr != nil {
				return out.Blame(endErr)
			}
			return s.writeEvents(x, resp, out, splitter.remainder(), source)
		}
		if err != nil {
			return out.Blame(&truncatedAnswer{cause: errors.Annotate(err, "stream")})
		}
	}
}

// writeEvents writes events of a stream to the caller, after the head if they are the first.
func (s *Server) writeEvents(x *exchange, resp *http.Response, out *relay.Writer, events []byte, source answerSource) error {
	if !x.answerStarted {
		s.beginStream(x, source.origin)
		s.writeHead(x, resp, -1)
	}
	if err := out.WriteFlush(events); err != nil {
		return err
	}
	x.recordEvent(time.Now())
	return nil
}

// checkStreamEnd returns an error if a stream whose body has ended was cut short.
func (x *exchange) checkStreamEnd(splitter *eventSplitter, source answerSource) error {
	x.trailingBytes = len(splitter.remainder())
	if splitter.endsInsideEvent() {
		return &truncatedAnswer{cause: errors.Errorf("the stream ended inside an event, framed by its %s, %d bytes after the last whole one", x.framing, x.trailingBytes), byEngine: true}
	}
	if x.framing != endsWithConnection {
		return nil
	}
	if !splitter.begun {
		return &truncatedAnswer{cause: errors.New("the connection ended before the first event"), byEngine: true}
	}
	if x.answerStarted && x.endPromised {
		// The next attempt, after the last event, may bring an answer that shows its end.
		return &truncatedAnswer{cause: errors.New("the stream was continued by an answer without framing, which doesn't show whether it is complete"), byEngine: true}
	}
	return x.confirmEnd(source)
}

// recordEvent updates the longest pause between events; now is when an event was relayed.
func (x *exchange) recordEvent(now time.Time) {
	if !x.lastEventAt.IsZero() {
		x.longestPause = max(x.longestPause, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// slowWrite is how long a write to the caller takes at least that delays the reading of the
// next event noticeably: engines send some ten to a hundred events per second.
const slowWrite = 10 * time.Millisecond

// readChunkBytes bounds one read of a stream. It is small because many streams are open at
// once.
const readChunkBytes = 2 << 10

// maxEventBytes bounds an event of a stream, which is held until it is complete.
const maxEventBytes = 256 << 10
