// Package relay sends one attempt of a request to an engine or to another entry
// host, and forwards the answer. A caller gets either the complete answer or a
// visible failure.
//
// Four rules make an answer safe to forward:
//
//   - Its head is valid. Package httphead rejects what net/http lets pass.
//   - It belongs to this attempt. Model engines echo the attempt's identity;
//     connections to backend servers that don't echo it are never reused.
//   - It is complete. HTTP framing shows this for ordinary answers, the final
//     [DONE] event for streams.
//   - The HTTP library has not sent the request twice. A request that must not be
//     repeated uses a connection of its own, on which net/http never retries.
package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/internal/httphead"
)

// HeaderAttempt carries the identity of an attempt to an engine, which echoes it in
// its answer.
const HeaderAttempt = "Linenscale-Attempt"

// HeaderNotRun is "true" in the answer of an engine that rejects a request before it
// has run any part of it.
const HeaderNotRun = "Engine-Not-Run"

// HeaderRateLimit is the number of requests per second that an engine accepts from all
// hosts together. The limit lasts as long as the engine's answers carry the header.
const HeaderRateLimit = "Engine-Rate-Limit"

// HeaderDraining is "true" in each answer of an engine that is draining before it
// stops, and accepts no new requests.
const HeaderDraining = "Engine-Leaving"

// HeaderStreamID carries the identifier with which a broken stream can be resumed.
// Streams without it can't be resumed.
const HeaderStreamID = "Engine-Stream-Id"

// Failure is the error of an attempt that brought no answer that can be forwarded.
type Failure struct {
	// NotRun is true if the engine can't have received any byte of the request,
	// or if it reports that it ran no part of it.
	NotRun bool
	// Overloaded is true if the engine rejected the request because of its load. This
	// doesn't count as a failure of the engine's health.
	Overloaded bool
	// ConnectionBroken is true if the connection ended before the header of an answer
	// arrived.
	ConnectionBroken bool
	cause            error
}

// Error implements error.
func (f *Failure) Error() string {
	text := f.cause.Error()
	if len(text) > maxErrorBytes {
		return text[:maxErrorBytes] + "…"
	}
	return text
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.cause }

// Call describes one attempt of a request.
type Call struct {
	Method     string
	URL        string
	Host       string // Host header; "" for the host of the URL
	Header     http.Header
	Body       io.Reader // nil for none
	BodyLength int64     // length of Body in bytes; -1 if unknown
	AttemptID  string    // identity of the attempt, sent in HeaderAttempt
	// EchoesAttempt is true if the engine echoes the attempt's identity. Only then may
	// the call use a pooled connection.
	EchoesAttempt bool
	// OwnConnection requires a connection of its own, for a call that must not be
	// repeated.
	OwnConnection bool
	// CheckAnswer checks the status and headers of the answer, and returns an error,
	// usually a *Failure, if the answer can't be forwarded. If CheckAnswer is nil, the
	// call follows linenscale's own engine protocol: Send sets HeaderAttempt, and
	// checks that the answer isn't marked as not run, echoes the attempt if EchoesAttempt
	// is set, and is framed so that truncation can be detected.
	CheckAnswer func(*http.Response) error
	// CheckUsable runs once a new connection for the call is open, before anything is
	// written to it. Opening may take so long that the engine has announced in
	// the meantime that it accepts no requests. An error ends the call as not
	// run. CheckUsable may be nil; it doesn't run if a pooled connection is reused.
	CheckUsable func() error
	// OnAnswer receives an engine's answer to this attempt before CheckAnswer checks it,
	// including a rejection, to read what the headers report about the engine. It
	// may be nil.
	OnAnswer func(*http.Response)
	// OnInformational receives the headers of each informational response (1xx), on
	// another goroutine. It may be nil.
	OnInformational func(http.Header)
}

// Client sends calls over pooled connections, or over connections that serve one
// call each. New creates one; it is safe for concurrent use.
type Client struct {
	pooled   *httphead.Transport
	unpooled *httphead.Transport
}

// Dialer opens connections; *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// bufferSize is the size of each connection's read buffer and write buffer, in
// bytes. It is small because many streams are open at once.
const bufferSize = 1 << 10

const (
	// maxHeadBytes bounds the head of an answer with all informational responses before it, which
	// is held in memory.
	maxHeadBytes = 64 << 10
	// maxErrorBytes bounds the text of an error, which may quote what a server has sent.
	maxErrorBytes = 512
)

// Options configures a Client. Zero fields have the defaults below.
type Options struct {
	// AnswerTimeout bounds the wait for the headers of an answer. If it is 0, only
	// the call's context bounds the wait.
	AnswerTimeout time.Duration
	// IdleTimeout is how long an idle connection stays open. It should be shorter
	// than the engines' own idle timeout, so that no call uses a connection that
	// the engine is closing.
	IdleTimeout time.Duration
	// MaxIdlePerHost bounds the idle connections to one address.
	MaxIdlePerHost int
}

// New creates a client that opens its connections with dialer.
func New(dialer Dialer, opts Options) *Client {
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultIdleTime
	}
	if opts.MaxIdlePerHost == 0 {
		opts.MaxIdlePerHost = defaultIdlePerHost
	}
	pooled := &http.Transport{
		DialContext:           httphead.DialWith(checkingDialer{dialer}),
		MaxIdleConnsPerHost:   opts.MaxIdlePerHost,
		IdleConnTimeout:       opts.IdleTimeout,
		ResponseHeaderTimeout: opts.AnswerTimeout,
		ExpectContinueTimeout: opts.AnswerTimeout,
		ReadBufferSize:        bufferSize,
		WriteBufferSize:       bufferSize,
		DisableCompression:    true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	return &Client{pooled: httphead.New(pooled), unpooled: httphead.New(unpooled)}
}

// Defaults of Options fields.
const (
	defaultIdlePerHost = 64
	defaultIdleTime    = 90 * time.Second
)

// Close closes the idle connections. Calls in flight continue.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Send makes the attempt and returns the answer, with its headers read and its body
// open. The error is a *Failure or the error that call.CheckAnswer returned. Cancelling
// ctx closes the connection, which cancels the engine's work.
func (c *Client) Send(ctx context.Context, call Call) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	if call.OnInformational != nil {
		trace.Got1xxResponse = limitInformational(call.OnInformational)
	}
	// net/http can't resend a body of a type that it doesn't know. A call without
	// a body gets an opaque empty one for the same reason, unless it follows the
	// engine protocol.
	body := call.Body
	switch {
	case body != nil:
		body = opaqueReader{body}
	case call.CheckAnswer != nil:
		body = opaqueReader{http.NoBody}
	}
	if call.CheckUsable != nil {
		ctx = context.WithValue(ctx, usableCheckKey{}, call.CheckUsable)
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, call.URL, body)
	if err != nil {
		return nil, &Failure{NotRun: true, cause: errors.Annotate(err, "request")}
	}
	req.Header = call.Header
	if call.Host != "" {
		req.Host = call.Host
	}
	if _, present := req.Header["User-Agent"]; !present {
		req.Header["User-Agent"] = nil // otherwise net/http sends its own name
	}
	if call.CheckAnswer == nil {
		req.Header.Set(HeaderAttempt, call.AttemptID)
	}
	if call.Body != nil {
		req.ContentLength = call.BodyLength
	}
	transport := c.unpooled
	if call.EchoesAttempt && !call.OwnConnection {
		transport = c.pooled
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		var invalid *httphead.InvalidError
		broken := connected.Load() && ctx.Err() == nil && !errors.As(err, &invalid)
		return nil, &Failure{NotRun: !connected.Load(), ConnectionBroken: broken, cause: errors.Annotatef(err, "send to %s", req.URL.Host)}
	}
	if call.OnAnswer != nil && (!call.EchoesAttempt || call.CheckAnswer != nil || resp.Header.Get(HeaderAttempt) == call.AttemptID) {
		call.OnAnswer(resp)
	}
	check := call.CheckAnswer
	if check == nil {
		check = func(resp *http.Response) error { return checkAnswer(call, resp) }
	}
	if err := check(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// limitInformational returns a function that passes informational responses on, and ends the call
// once they are longer than maxHeadBytes. net/http limits them only if nobody receives them.
func limitInformational(pass func(http.Header)) func(int, textproto.MIMEHeader) error {
	left := maxHeadBytes
	return func(_ int, header textproto.MIMEHeader) error {
		left -= statusLineBytes
		for name, values := range header {
			for _, value := range values {
				left -= len(name) + len(value)
			}
		}
		if left < 0 {
			return errors.Errorf("informational responses of more than %d bytes", maxHeadBytes)
		}
		pass(http.Header(header))
		return nil
	}
}

// statusLineBytes is the length of the shortest informational response.
const statusLineBytes = len("HTTP/1.1 100 \r\n\r\n")

// usableCheckKey is the context key with which a call's CheckUsable reaches the dialer.
type usableCheckKey struct{}

// checkingDialer opens connections, then runs the CheckUsable function of the call.
type checkingDialer struct{ Dialer }

// DialContext implements Dialer.
func (d checkingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	checkUsable, ok := ctx.Value(usableCheckKey{}).(func() error)
	if !ok {
		return conn, nil
	}
	if err := checkUsable(); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// NewFailure returns the error of an attempt, for use in a Call's CheckAnswer. shed
// reports a rejection because of load.
func NewFailure(notRun, shed bool, cause error) *Failure {
	return &Failure{NotRun: notRun, Overloaded: shed, cause: cause}
}

// opaqueReader hides the concrete type of a body, so that net/http can't rewind it
// to send it again.
type opaqueReader struct{ io.Reader }

// checkAnswer checks an answer under linenscale's own engine protocol.
func checkAnswer(call Call, resp *http.Response) error {
	if resp.Header.Get(HeaderNotRun) == "true" {
		return &Failure{
			NotRun:     true,
			Overloaded: resp.StatusCode == http.StatusTooManyRequests,
			cause:      errors.Errorf("engine rejected the request with status %d", resp.StatusCode),
		}
	}
	if call.EchoesAttempt && resp.Header.Get(HeaderAttempt) != call.AttemptID {
		return &Failure{cause: errors.Errorf("the answer belongs to another attempt, %q", resp.Header.Get(HeaderAttempt))}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.ProtoMajor == 1 {
		return &Failure{cause: errors.New("the answer has neither a length nor chunked encoding, so truncation can't be detected")}
	}
	return nil
}

var chunkPool = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// chunkSize bounds one read from a body that is forwarded, in bytes.
const chunkSize = 1 << 10

// ChunkFilter inspects each chunk of a body before it is forwarded. It returns how many of
// the chunk's bytes to forward, and whether the body ends with them.
type ChunkFilter func(chunk []byte) (keep int, end bool)

// Copy forwards a body as it arrives, with a flush after each read. writeTimeout
// bounds each write to the caller, and filter may be nil. Copy returns the number of
// bytes forwarded. The error is a *CallerError if the write failed.
func Copy(w http.ResponseWriter, src io.Reader, writeTimeout time.Duration, filter ChunkFilter) (int64, error) {
	out := NewWriter(w, writeTimeout)
	defer out.Extend()
	chunk := chunkPool.Get().(*[chunkSize]byte)
	defer chunkPool.Put(chunk)
	var total int64
	for {
		n, err := src.Read(chunk[:])
		end := false
		if n > 0 && filter != nil {
			n, end = filter(chunk[:n])
		}
		if n > 0 {
			if err := out.WriteFlush(chunk[:n]); err != nil {
				return total, err
			}
			total += int64(n)
		}
		if err == io.EOF || end {
			return total, nil
		}
		if err != nil {
			return total, out.Blame(errors.Annotate(err, "answer"))
		}
	}
}

// CallerError is the error of a write to a caller that has disconnected, or that
// reads too slowly.
type CallerError struct{ Cause error }

// Error implements error.
func (e *CallerError) Error() string { return "caller: " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *CallerError) Unwrap() error { return e.Cause }

// Writer writes to a caller, with a deadline for each write. NewWriter creates one.
type Writer struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	writeTimeout time.Duration
	deadline     time.Time // write deadline last set on the connection
	stalledAt    time.Time // end of the last write that took longer than maxWriteTime
	failed       bool      // a write has failed
}

const (
	// maxWriteTime is how long a write to a caller that reads takes at most. Engines cut off
	// answers that are unread for some seconds.
	maxWriteTime = time.Second
	// stallEffect is how long after a stalled write the end of an answer may be due to it:
	// what had arrived before is written first.
	stallEffect = 5 * time.Second
)

// UnreadError is the error for an answer that ended early after the caller had not read for a
// while. Its engine may have cut it off for that, so it says nothing about the engine.
type UnreadError struct{ Cause error }

// Error implements error.
func (e *UnreadError) Error() string { return "unread by the caller: " + e.Cause.Error() }

// Unwrap returns the read error.
func (e *UnreadError) Unwrap() error { return e.Cause }

// Blame returns the error for an answer whose body failed with err: an *UnreadError if that may
// be because the caller didn't read, else err.
func (p *Writer) Blame(err error) error {
	if p.stalledAt.IsZero() || time.Since(p.stalledAt) > stallEffect {
		return err
	}
	return &UnreadError{Cause: err}
}

// NewWriter returns a Writer to w that fails if a write takes longer than
// writeTimeout.
func NewWriter(w http.ResponseWriter, writeTimeout time.Duration) *Writer {
	return &Writer{w: w, controller: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// Extend gives further writes the whole timeout, unless a write has failed. It is to be called at
// the end of an answer: the server writes the last chunk when the handler has returned, which may
// be long after the last write.
func (p *Writer) Extend() {
	if p.failed {
		return
	}
	p.deadline = time.Now().Add(p.writeTimeout)
	_ = p.controller.SetWriteDeadline(p.deadline) // not supported by httptest.ResponseRecorder
}

// WriteFlush writes data and flushes it; the error is a *CallerError. Because each change of
// the deadline resets a timer, WriteFlush extends the deadline only after a quarter of the
// timeout has elapsed. A write may therefore take between three quarters of the
// timeout and all of it.
func (p *Writer) WriteFlush(data []byte) error {
	started := time.Now()
	if p.deadline.Sub(started) < p.writeTimeout*3/4 {
		p.Extend()
	}
	_, err := p.w.Write(data)
	if err == nil {
		err = p.controller.Flush()
	}
	if err != nil {
		p.failed = true
		return &CallerError{Cause: err}
	}
	if ended := time.Now(); ended.Sub(started) > maxWriteTime {
		p.stalledAt = ended
	}
	return nil
}
