// This file defines how errors are written in the form that clients of each interface
// expect, without reading an unread body.

package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
)

// errorBody is the error format of the OpenAI interface. Callers of plain services get the
// same JSON.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   any    `json:"param"`
}

func errorBodyOf(refusal request.Refusal) errorBody {
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

// writeError writes the error as the final answer to a request. It does not read an unread
// body.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, req request.Request, refusal request.Refusal) {
	s.logError(req, refusal)
	data, err := json.Marshal(errorBodyOf(refusal))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(request.HeaderOutcome, request.OutcomeValueUnknown)
	if attempt := w.Header().Get(relay.HeaderAttempt); attempt != "" {
		header.Set(relay.HeaderAttempt, attempt)
	}
	if n, ok := refusal.(*request.NotRun); ok {
		setNotRunHeaders(header, n)
	}
	if mayHaveBody(r) && !bodyFullyRead(r) {
		s.writeErrorAndClose(w, request.Status(refusal), header, data)
		return
	}
	for name, values := range header {
		w.Header()[name] = values
	}
	w.WriteHeader(request.Status(refusal))
	_, _ = w.Write(data)
}

func setNotRunHeaders(header http.Header, n *request.NotRun) {
	header.Set(request.HeaderOutcome, request.OutcomeValueNotRun)
	if n.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(n.RetryAfter.Seconds()))))
	}
	if n.Location != "" {
		header.Set("Location", n.Location)
	}
}

func mayHaveBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// trackedBody records whether a request body has been read to its end. net/http may still read it,
// to send it to an engine, when the engine's answer has arrived.
type trackedBody struct {
	io.ReadCloser
	atEnd     atomic.Bool
	bytesRead atomic.Int64
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytesRead.Add(int64(n))
	if err == io.EOF {
		b.atEnd.Store(true)
	}
	return n, err
}

func bodyFullyRead(r *http.Request) bool {
	b, ok := r.Body.(*trackedBody)
	return ok && b.atEnd.Load()
}

// lingerTime is the time for which a connection with an unread body stays open after an
// error was written, so that the caller can read the error before the connection is
// reset.
const lingerTime = 300 * time.Millisecond

// writeErrorAndClose writes an error to the hijacked connection and closes it. Otherwise,
// net/http would read up to 256 KiB of the body first, but a host that the selectors
// forbid must not receive any byte of it.
func (s *Server) writeErrorAndClose(w http.ResponseWriter, status int, header http.Header, data []byte) {
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
	_ = conn.SetWriteDeadline(time.Now().Add(s.Limits.HeaderTimeout))
	if resp.Write(conn) != nil {
		return
	}
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	// Close only after a delay: closing a connection with unread data resets it, which
	// could discard the error before the caller reads it.
	time.Sleep(lingerTime)
}

// abortConnection closes the connection of an answer that can't be completed, so that the
// caller sees it fail.
func abortConnection() { panic(http.ErrAbortHandler) }
