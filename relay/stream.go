// This file defines how a model engine's event stream is passed on: whole to
// its last event, resumed if the connection breaks, or visibly failed.

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

// doneEvent ends every complete stream of the OpenAI interface.
var doneEvent = []byte("data: [DONE]\n\n")

// ending finds the last event of a stream. What an engine sends after it is
// not part of the answer. The zero value is the start of a stream.
type ending struct {
	carry []byte // the end of what has been seen, shorter than doneEvent
	done  bool
}

// look implements Look.
func (e *ending) look(chunk []byte) (keep int, end bool) {
	if at := e.across(chunk); at > 0 {
		e.done = true
		return at, true
	}
	if at := bytes.Index(chunk, doneEvent); at >= 0 {
		e.done = true
		return at + len(doneEvent), true
	}
	e.remember(chunk)
	return len(chunk), false
}

// across finds a last event that began in an earlier chunk; it gives where it
// ends in this one, or 0.
func (e *ending) across(chunk []byte) int {
	head := chunk[:min(len(chunk), len(doneEvent)-1)]
	both := append(e.carry, head...)
	at := bytes.Index(both, doneEvent)
	e.carry = both[:len(e.carry)]
	if at < 0 {
		return 0
	}
	return at + len(doneEvent) - len(e.carry)
}

func (e *ending) remember(chunk []byte) {
	e.carry = append(e.carry, chunk[max(0, len(chunk)-len(doneEvent)+1):]...)
	if over := len(e.carry) - len(doneEvent) + 1; over > 0 {
		e.carry = append(e.carry[:0], e.carry[over:]...)
	}
}

// maxResumes bounds how often one stream is taken up again.
const maxResumes = 2

// Stream passes on an event stream. base is the engine's URL without a path.
// A nil error means that every byte, to the last event, has been passed on.
func (c *Client) Stream(ctx context.Context, w http.ResponseWriter, resp *http.Response, base string, slow time.Duration) error {
	var end ending
	var passed int64
	id := resp.Header.Get(HeaderStream)
	attempt := resp.Header.Get(HeaderAttempt)
	for resumes := 0; ; resumes++ {
		n, err := Copy(w, resp.Body, slow, end.look)
		resp.Body.Close()
		passed += n
		var gone *CallerError
		if errors.As(err, &gone) || ctx.Err() != nil {
			return errors.Annotate(err, "stream")
		}
		if end.done {
			return nil
		}
		if err == nil {
			err = errors.New("the stream ended before its last event")
		}
		if id == "" || resumes == maxResumes {
			return errors.Annotatef(err, "stream after %d bytes", passed)
		}
		next, resumeErr := c.resume(ctx, base, id, attempt, passed)
		if resumeErr != nil {
			return errors.Annotatef(err, "stream after %d bytes, not resumed (%v)", passed, resumeErr)
		}
		resp = next
	}
}

// resume asks the engine for the rest of a stream from a byte offset.
func (c *Client) resume(ctx context.Context, base, id, attempt string, offset int64) (*http.Response, error) {
	return c.Send(ctx, Call{
		Method:  http.MethodGet,
		URL:     base + "/engine/streams/" + id + "?offset=" + strconv.FormatInt(offset, 10),
		Header:  http.Header{},
		Attempt: attempt,
		Echoes:  true,
		Fresh:   true,
	})
}

// ReadWhole reads an unstreamed answer of at most limit bytes.
func ReadWhole(resp *http.Response, limit int64) ([]byte, error) {
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
