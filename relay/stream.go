// This file forwards a model engine's event stream. The stream is complete up to its
// last event, is resumed if the connection breaks, or fails visibly.

package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// doneEvent ends every complete stream of the OpenAI API.
var doneEvent = []byte("data: [DONE]\n\n")

// endDetector finds the last event of a stream; bytes after it are not part of the
// answer. The zero value is ready for the start of a stream.
type endDetector struct {
	tail []byte // last bytes of the stream so far, shorter than doneEvent
	done bool   // the last event has been found
}

// filter implements ChunkFilter.
func (e *endDetector) filter(chunk []byte) (keep int, end bool) {
	if at := e.findAcrossChunks(chunk); at > 0 {
		e.done = true
		return at, true
	}
	if at := bytes.Index(chunk, doneEvent); at >= 0 {
		e.done = true
		return at + len(doneEvent), true
	}
	e.keepTail(chunk)
	return len(chunk), false
}

// findAcrossChunks looks for a last event that began in an earlier chunk. It returns
// the offset in this chunk at which the event ends, or 0 if there is none.
func (e *endDetector) findAcrossChunks(chunk []byte) int {
	prefix := chunk[:min(len(chunk), len(doneEvent)-1)]
	joined := append(e.tail, prefix...)
	at := bytes.Index(joined, doneEvent)
	e.tail = joined[:len(e.tail)]
	if at < 0 {
		return 0
	}
	return at + len(doneEvent) - len(e.tail)
}

// keepTail appends the end of chunk to the tail and trims the tail to one byte less
// than doneEvent. This is the longest part of the event that can end a chunk before
// the event is complete.
func (e *endDetector) keepTail(chunk []byte) {
	e.tail = append(e.tail, chunk[max(0, len(chunk)-len(doneEvent)+1):]...)
	if excess := len(e.tail) - len(doneEvent) + 1; excess > 0 {
		e.tail = append(e.tail[:0], e.tail[excess:]...)
	}
}

// maxResumes bounds how many times one stream is resumed.
const maxResumes = 2

// Stream forwards an event stream to a caller. baseURL is the engine's URL without a
// path, for resuming the stream. If the error is nil, every byte up to the end of the
// last event has been forwarded. writeTimeout bounds each write to the caller.
func (c *Client) Stream(ctx context.Context, w http.ResponseWriter, resp *http.Response, baseURL string, writeTimeout time.Duration) error {
	var detector endDetector
	var forwarded int64
	streamID := resp.Header.Get(HeaderStreamID)
	attempt := resp.Header.Get(HeaderAttempt)
	for resumes := 0; ; resumes++ {
		n, err := Copy(w, resp.Body, writeTimeout, detector.filter)
		resp.Body.Close()
		forwarded += n
		var callerErr *CallerError
		if errors.As(err, &callerErr) || ctx.Err() != nil {
			return errors.Annotate(err, "stream")
		}
		if detector.done {
			return nil
		}
		if err == nil {
			err = errors.New("the stream ended before its last event")
		}
		if streamID == "" || resumes == maxResumes {
			return errors.Annotatef(err, "stream after %d bytes", forwarded)
		}
		next, resumeErr := c.resume(ctx, baseURL, streamID, attempt, forwarded)
		if resumeErr != nil {
			return errors.Annotatef(err, "stream after %d bytes, not resumed (%v)", forwarded, resumeErr)
		}
		resp = next
	}
}

// resume requests the rest of a stream from a byte offset.
func (c *Client) resume(ctx context.Context, baseURL, streamID, attempt string, offset int64) (*http.Response, error) {
	return c.Send(ctx, Call{
		Method:        http.MethodGet,
		URL:           baseURL + "/engine/streams/" + streamID + "?offset=" + strconv.FormatInt(offset, 10),
		Header:        http.Header{},
		AttemptID:     attempt,
		EchoesAttempt: true,
		OwnConnection: true,
	})
}

// ReadAnswer reads and closes the body of an unstreamed answer. A body that is
// truncated or longer than limit bytes is a *Failure.
func ReadAnswer(resp *http.Response, limit int64) ([]byte, error) {
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, &Failure{cause: errors.Annotate(err, "answer")}
	}
	if int64(len(data)) > limit {
		return nil, &Failure{cause: errors.Errorf("the answer is longer than %d bytes", limit)}
	}
	return data, nil
}
