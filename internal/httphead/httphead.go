// Package httphead rejects answers of HTTP/1 whose head isn't valid.
//
// net/http's client is lenient with heads. It takes any number of three characters for a status
// code, also 000 and +20, and an unsolicited 101 for a final answer. It keeps a field whose name
// holds a blank under that name, where neither its own framing nor any other reader looks for it:
// with "Transfer-Encoding : chunked" the chunk sizes become a part of the body. It also takes the
// version that the head states for that of the connection, and reads a body in chunks as it is where
// the version is 1.0. A gateway that passes such an answer on states something that its engine
// didn't.
//
// Every client outside of tests reads answers through a [Transport]. Those that relay answers, or
// probe, open their connections with [DialWith].
package httphead

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
)

// InvalidError is the error of an answer whose head isn't valid.
type InvalidError struct{ reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "invalid head of an answer: " + e.reason }

// Transport is an http.RoundTripper that rejects answers whose head isn't valid. New creates one.
type Transport struct{ base http.RoundTripper }

// New returns a Transport that sends requests by base, whose connections must be of HTTP/1 and whose
// requests must not ask for another protocol.
func New(base http.RoundTripper) *Transport { return &Transport{base: base} }

// RoundTrip implements http.RoundTripper. The error for an answer whose head isn't valid is an
// *InvalidError. The server may have processed the request.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(req.Context(), expectHead())
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := check(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the base, if it has any.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// check returns an *InvalidError if the head of a final answer, as net/http has read it, isn't valid
// (RFC 9110, sections 5.1 and 15; RFC 9112, section 2.3).
func check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &InvalidError{fmt.Sprintf("version %q on a connection of HTTP/1", resp.Proto)}
	}
	if resp.StatusCode < minFinalStatus || resp.StatusCode > maxStatus {
		return &InvalidError{fmt.Sprintf("status %q", resp.Status)}
	}
	for name := range resp.Header {
		if !isToken(name) {
			return &InvalidError{fmt.Sprintf("field name %q", name)}
		}
	}
	return nil
}

// The status codes of final answers.
const (
	minFinalStatus = 200
	maxStatus      = 599
)

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for _, char := range []byte(s) {
		if !isTokenChar(char) {
			return false
		}
	}
	return s != ""
}

func isTokenChar(char byte) bool {
	switch {
	case 'a' <= char && char <= 'z', 'A' <= char && char <= 'Z', '0' <= char && char <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", char) >= 0
	}
}
