// This file defines how calls to plain services are served, and how calls with an
// idempotency key run at most once.

package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/once"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/telemetry"
)

// maxBufferedKeyed is the maximum body size of a call with an idempotency key that is
// held in memory, where the digest of the call covers the whole body. For a longer body,
// the digest covers its length and its Content-Digest header (RFC 9530) instead.
const maxBufferedKeyed = 1 << 20

// servePlain serves one call to a plain service.
func (s *Server) servePlain(x *exchange) {
	x.req = x.req.WithRepeatable(isSafe(x.r.Method))
	p := &payload{length: x.r.ContentLength}
	if mayHaveBody(x.r) {
		p.unbuffered = &trackedBody{ReadCloser: x.r.Body}
		x.r.Body = p.unbuffered
	}
	var err error
	if x.req.IdempotencyKey != "" && !x.req.Repeatable && !x.handedOver {
		// For a call that was handed over, the first host has recorded the intent.
		err = s.serveKeyed(x, p)
	} else {
		err = s.serveWithRetries(x, p)
	}
	if err != nil {
		s.writeError(x.w, x.r, x.req, request.AsRefusal(err))
	}
}

// isSafe reports whether a method is safe, so that a call may be repeated (RFC 9110,
// 9.2.1).
func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}

// serveKeyed serves a call with an idempotency key. The call is sent only after its intent
// has been recorded at the key's home, and at most one attempt may reach an engine.
func (s *Server) serveKeyed(x *exchange, p *payload) error {
	digest, err := s.requestDigest(x, p)
	if err != nil {
		return err
	}
	call := once.Call{
		Key:        once.Key{Service: x.req.Service, Account: x.req.Account, Key: x.req.IdempotencyKey},
		HomeRegion: x.req.HomeRegion, Digest: digest, Attempt: uuid.NewString(), Until: x.req.Deadline,
	}
	verdict, err := s.IdempotencyStore.Begin(x.r.Context(), call)
	if err != nil {
		return err
	}
	s.Log.Info("looked up idempotency key", zap.String("request", x.req.ID), zap.String("service", x.req.Service), zap.String("verdict", verdictName(verdict)))
	switch v := verdict.(type) {
	case once.Proceed:
		return s.runOnce(x, p, call)
	case once.Recorded:
		s.replay(x, v.Answer)
		return nil
	case once.InProgress:
		return &request.NotRun{Reason: request.ReasonInProgress, Message: "an earlier call with this key is in progress; this one was not run", RetryAfter: time.Second}
	case once.Conflict:
		return &request.NotRun{Reason: request.ReasonKeyConflict, Message: "the key was used for another request"}
	case once.TableFull:
		return &request.NotRun{Reason: request.ReasonOverload, Message: "the home of the key keeps as many keys as it can", RetryAfter: time.Minute}
	default:
		return &request.OutcomeUnknown{Message: "an earlier call with this key may or may not have run; this one was not run"}
	}
}

func verdictName(v once.Verdict) string {
	switch v.(type) {
	case once.Proceed:
		return "run"
	case once.Recorded:
		return "recorded"
	case once.InProgress:
		return "in_progress"
	case once.Conflict:
		return "conflict"
	case once.TableFull:
		return "full"
	default:
		return "unknown"
	}
}

// recordTimeout bounds the time to record the outcome after the call has ended.
const recordTimeout = 5 * time.Second

// runOnce makes the call and records its outcome, even if the caller disconnects or the
// answer is aborted.
func (s *Server) runOnce(x *exchange, p *payload, call once.Call) (err error) {
	p.recorder = &recorder{save: func(r *recorder) {
		s.recordOutcome(x, p, call, true, nil)
		r.saved = true
	}}
	x.r = x.r.WithContext(context.WithoutCancel(x.r.Context()))
	ctx, cancel := context.WithDeadline(x.r.Context(), x.req.Deadline)
	defer cancel()
	// The call continues if its caller disconnects, so that a repeat gets the answer.
	x.r = x.r.WithContext(ctx)
	completed := false
	defer func() {
		// After a panic, which aborts a broken answer, completed is false and the
		// outcome is recorded as lost.
		if !p.recorder.saved {
			s.recordOutcome(x, p, call, completed, err)
		}
	}()
	err = s.serveWithRetries(x, p)
	completed = true
	return err
}

func (s *Server) recordOutcome(x *exchange, p *payload, call once.Call, completed bool, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), recordTimeout)
	defer cancel()
	var rejection *request.NotRun
	var recordErr error
	switch {
	case p.recorder.complete:
		recordErr = s.IdempotencyStore.Finish(ctx, call, s.storableAnswer(x, p))
	case completed && errors.As(err, &rejection):
		recordErr = s.IdempotencyStore.Release(ctx, call)
	default:
		recordErr = s.IdempotencyStore.MarkUnknown(ctx, call)
	}
	if recordErr != nil {
		s.Log.Warn("failed to record outcome of call with idempotency key", zap.String("request", x.req.ID), telemetry.ErrorField(recordErr))
	}
}

// storableAnswer returns the part of an answer that may be stored at the key's home. The
// body is included only if the selectors permit the request in that region.
func (s *Server) storableAnswer(x *exchange, p *payload) once.Answer {
	answer := p.recorder.answer()
	if !s.regionPermitted(x, x.req.HomeRegion) {
		answer.Body, answer.Whole = nil, false
	}
	return answer
}

// replay answers with the recorded answer of the earlier call.
func (s *Server) replay(x *exchange, answer once.Answer) {
	for name, values := range answer.Header {
		x.w.Header()[name] = values
	}
	x.w.Header().Set("Idempotency-Replayed", "true")
	if !answer.Whole {
		x.w.Header().Del("Content-Length")
		x.w.Header().Set("Linenscale-Body", "not-kept")
	}
	x.w.WriteHeader(answer.Status)
	_, _ = x.w.Write(answer.Body)
	s.Metrics.CountRequest(x.req.Service, "replayed")
}

// requestDigest returns a digest that differs between different requests with the same
// key. It reads a short body into memory.
func (s *Server) requestDigest(x *exchange, p *payload) (uint64, error) {
	hash := xxhash.New()
	for _, part := range []string{x.r.Method, x.r.URL.RequestURI(), x.r.Header.Get("Content-Type")} {
		_, _ = hash.WriteString(part)
		_, _ = hash.WriteString("\x00")
	}
	if p.unbuffered == nil {
		return hash.Sum64(), nil
	}
	if p.length > maxBufferedKeyed || p.length < 0 {
		_, _ = hash.WriteString(x.r.Header.Get("Content-Length") + "\x00" + x.r.Header.Get("Content-Digest"))
		return hash.Sum64(), nil
	}
	data, err := io.ReadAll(io.LimitReader(p.unbuffered, maxBufferedKeyed))
	if err != nil || int64(len(data)) != p.length {
		return 0, request.BadRequestf("the body ended early: %d of %d bytes", len(data), p.length)
	}
	_, _ = hash.Write(data)
	// Another read sees the end of the body, so that net/http can reuse the connection.
	_, _ = p.unbuffered.Read(make([]byte, 1))
	p.buffered, p.unbuffered = data, nil
	return hash.Sum64(), nil
}

// recorder records an answer while it is delivered.
type recorder struct {
	status   int
	header   http.Header
	body     bytes.Buffer
	tooLong  bool // the body exceeds once.MaxBodyBytes and is not recorded
	complete bool // the engine's answer is complete
	saved    bool // save has recorded the answer at the key's home
	save     func(*recorder)
}

func (r *recorder) recordHead(resp *http.Response) {
	r.status = resp.StatusCode
	r.header = relay.ForwardableHeaders(resp.Header)
	r.header.Del("Set-Cookie")
}

// observe is a relay.ChunkFilter that records each chunk and lets all of it pass.
func (r *recorder) observe(chunk []byte) (keep int, end bool) {
	r.appendBody(chunk)
	return len(chunk), false
}

func (r *recorder) appendBody(data []byte) {
	if r.tooLong || r.body.Len()+len(data) > once.MaxBodyBytes {
		r.tooLong = true
		r.body.Reset()
		return
	}
	r.body.Write(data)
}

// readPrefix reads as much of the answer as can be recorded. If that is the whole answer,
// it is recorded before the caller gets the first byte. So a caller that has its answer
// never finds its key still in progress.
func (r *recorder) readPrefix(body io.Reader) (prefix []byte, complete bool, err error) {
	prefix, err = io.ReadAll(io.LimitReader(body, once.MaxBodyBytes+1))
	if err != nil {
		return nil, false, errors.Annotate(err, "answer")
	}
	r.appendBody(prefix)
	if len(prefix) <= once.MaxBodyBytes {
		r.complete = true
		r.save(r)
	}
	return prefix, r.complete, nil
}

// finish records the end of the answer. If only the caller failed, it reads the rest of
// the answer for the record.
func (r *recorder) finish(resp *http.Response, err error) {
	if r.complete {
		return
	}
	if isCallerError(err) {
		_, err = io.Copy(writerFunc(r.appendBody), resp.Body)
	}
	r.complete = err == nil
}

// writerFunc adapts a function to io.Writer.
type writerFunc func([]byte)

// Write implements io.Writer.
func (f writerFunc) Write(data []byte) (int, error) {
	f(data)
	return len(data), nil
}

func (r *recorder) answer() once.Answer {
	return once.Answer{Status: r.status, Header: r.header, Body: r.body.Bytes(), Whole: !r.tooLong}
}
