// This file checks heads as they arrive, for what net/http drops when it has read them.

package httphead

import (
	"bytes"
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// Dialer opens connections; *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// DialWith returns a function for [http.Transport.DialContext] that opens connections with dialer. An
// answer of HTTP/1.0 that arrives by one of them with a Transfer-Encoding ends in an *InvalidError:
// its framing is faulty (RFC 9112, section 6.1), but net/http removes the field and takes the bytes
// of the chunks for the body. The http.Transport must be the base of a [Transport].
func DialWith(dialer Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: opened}
		c.headDue.Store(true)
		return c, nil
	}
}

// conn is a connection that fails where the head of an answer is found to be invalid.
type conn struct {
	net.Conn
	headDue atomic.Bool // a request is sent, and the head of its answer hasn't arrived whole
	scanner headScanner // used by Read only
	err     error       // of all further reads
}

// expectHead returns a trace that makes the connection of a request expect the head of an answer.
func expectHead() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.headDue.Store(true)
		}
	}}
}

// Read implements net.Conn. What precedes the fault of a head is read without an error, so that
// net/http doesn't take the fault for a connection that ended before any answer.
func (c *conn) Read(data []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(data)
	if !c.headDue.Load() {
		return n, err
	}
	for i, char := range data[:n] {
		switch c.scanner.scan(char) {
		case headEnds:
			c.headDue.Store(false)
			return n, err
		case headInvalid:
			c.err = &InvalidError{"Transfer-Encoding in HTTP/1.0"}
			return i + 1, nil
		}
	}
	return n, err
}

// transferEncoding begins a line that states the transfer codings of a body.
var transferEncoding = []byte("Transfer-Encoding:")

// scanResult is what a byte of a head shows.
type scanResult uint8

const (
	headGoesOn scanResult = iota
	headEnds              // the byte is the last one of a final answer's head
	headInvalid
)

// headScanner scans heads byte by byte: informational ones, then that of the final answer. The zero
// value is ready for a status line. Lines end where they do for net/http.
type headScanner struct {
	line            [len("Transfer-Encoding:")]byte // the first bytes of the current line
	length          int                             // of the current line; may exceed that of the array
	isField         bool                            // the current line isn't the status line
	isHTTP10        bool
	isInformational bool
}

// scan scans the next byte.
func (s *headScanner) scan(char byte) scanResult {
	if char == '\n' {
		return s.endLine()
	}
	if s.length < len(s.line) {
		if !s.isField && char == ' ' && bytes.HasSuffix(s.line[:s.length], []byte(" ")) {
			return headGoesOn // net/http skips blanks before the status code
		}
		s.line[s.length] = char
	}
	s.length++
	if s.isField && s.isHTTP10 && s.length == len(s.line) && bytes.EqualFold(s.line[:], transferEncoding) {
		return headInvalid
	}
	return headGoesOn
}

// endLine scans the end of a line.
func (s *headScanner) endLine() scanResult {
	line := bytes.TrimSuffix(s.line[:min(s.length, len(s.line))], []byte("\r"))
	s.length = 0
	switch {
	case !s.isField:
		s.isField = true
		s.isHTTP10 = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
		s.isInformational = isInformational(line)
		return headGoesOn
	case len(line) > 0:
		return headGoesOn
	case s.isInformational:
		*s = headScanner{}
		return headGoesOn
	default:
		*s = headScanner{}
		return headEnds
	}
}

// isInformational reports whether a status line, without repeated blanks, is that of an
// informational response, which another head follows. 101 is a final status for net/http.
func isInformational(statusLine []byte) bool {
	_, status, _ := bytes.Cut(statusLine, []byte(" "))
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
}
