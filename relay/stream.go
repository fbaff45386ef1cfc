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

// tail keeps the last bytes of a stream, enough to know doneEvent.
type tail struct {
	last []byte
}

func (t *tail) see(data []byte) {
	if len(data) >= len(doneEvent) {
		t.last = append(t.last[:0], data[len(data)-len(doneEvent):]...)
		return
	}
	t.last = append(t.last, data...)
	if over := len(t.last) - len(doneEvent); over > 0 {
		t.last = append(t.last[:0], t.last[over:]...)
	}
}

func (t *tail) done() bool { return bytes.Equal(t.last, doneEvent) }

// maxResumes bounds how often one stream is taken up again.
const maxResumes = 2

// Stream passes on an event stream. base is the engine's URL without a path.
// A nil error means that every byte, to the last event, has been passed on.
func (c *Client) Stream(ctx context.Context, w http.ResponseWriter, resp *http.Response, base string, slow time.Duration) error {
	var end tail
	var passed int64
	id := resp.Header.Get(HeaderStream)
	attempt := resp.Header.Get(HeaderAttempt)
	for resumes := 0; ; resumes++ {
		n, err := Copy(w, resp.Body, slow, end.see)
		resp.Body.Close()
		passed += n
		var gone *CallerError
		if errors.As(err, &gone) || ctx.Err() != nil {
			return errors.Annotate(err, "stream")
		}
		if end.done() {
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
