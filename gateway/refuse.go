// This file defines how refusals are written, in the form that each
// interface's clients expect, and without reading an unread body.

package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
)

// errorBody is the error form of the OpenAI interface; plain services' callers
// get the same JSON.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   any    `json:"param"`
}

func bodyOf(refusal request.Refusal) errorBody {
	switch r := refusal.(type) {
	case *request.NotRun:
		kind := "server_error"
		if status := request.Status(r); status < 500 && status != http.StatusTooManyRequests {
			kind = "invalid_request_error"
		}
		return errorBody{errorDetail{Message: r.Message, Type: kind, Code: string(r.Reason)}}
	default:
		return errorBody{errorDetail{Message: refusal.Error(), Type: "server_error", Code: "outcome_unknown"}}
	}
}

// refuse writes the final answer of a request that no engine answers. A body
// that has not been read stays unread.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, req request.Request, refusal request.Refusal) {
	s.logRefusal(req, refusal)
	data, err := json.Marshal(bodyOf(refusal))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(request.HeaderOutcome, request.OutcomeUnknownValue)
	if attempt := w.Header().Get(relay.HeaderAttempt); attempt != "" {
		header.Set(relay.HeaderAttempt, attempt)
	}
	if n, ok := refusal.(*request.NotRun); ok {
		setNotRun(header, n)
	}
	if mayHaveBody(r) && !sawEnd(r) {
		s.refuseUnread(w, request.Status(refusal), header, data)
		return
	}
	for name, values := range header {
		w.Header()[name] = values
	}
	w.WriteHeader(request.Status(refusal))
	_, _ = w.Write(data)
}

func setNotRun(header http.Header, n *request.NotRun) {
	header.Set(request.HeaderOutcome, request.NotRunValue)
	if n.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(n.RetryAfter.Seconds()))))
	}
	if n.Location != "" {
		header.Set("Location", n.Location)
	}
}

func mayHaveBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// bodyEnd marks a body that has been read to its end.
type bodyEnd struct {
	io.ReadCloser
	ended bool
	read  int64
}

func (b *bodyEnd) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

func sawEnd(r *http.Request) bool {
	b, ok := r.Body.(*bodyEnd)
	return ok && b.ended
}

// lingerTime is how long a refused caller has to read the refusal before the
// connection is reset by what it still sends.
const lingerTime = 300 * time.Millisecond

// refuseUnread answers on the bare connection and closes it. net/http would
// read up to 256 KiB of the body first, and a host that a selector forbids
// must not take in one byte.
func (s *Server) refuseUnread(w http.ResponseWriter, status int, header http.Header, data []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	header.Set("Connection", "close")
	resp := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header,
		ContentLength: int64(len(data)), Body: io.NopCloser(bytes.NewReader(data)), Close: true,
	}
	_ = conn.SetWriteDeadline(time.Now().Add(s.Limits.HeaderTime))
	if resp.Write(conn) != nil {
		return
	}
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	// Waiting without reading lets the refusal arrive before the reset.
	time.Sleep(lingerTime)
}

// abort ends a connection whose answer can't be completed, so that the caller
// sees it fail.
func abort() { panic(http.ErrAbortHandler) }
