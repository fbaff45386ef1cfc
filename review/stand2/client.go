package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// channel is a client's kept channel to a gateway.
type channel struct {
	rec  *recorder
	conn net.Conn
	in   *bufio.Reader
}

// openChannel opens a channel to a gateway.
func openChannel(rec *recorder, h *host) (*channel, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", h.ip, frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{rec: rec, conn: conn, in: bufio.NewReader(conn)}, nil
}

// answer is what a client saw of one request.
type answer struct {
	status   int // 0 if no head came
	header   http.Header
	body     []byte
	complete bool  // the answer came to its end, as its framing says
	err      error // why it didn't
	closed   bool  // the channel was closed or reset
	took     time.Duration
}

// do sends one request on the channel and reads its answer. A client waits for at most limit.
func (c *channel) do(method, target, id string, header map[string]string, body []byte, limit time.Duration) answer {
	started := time.Now()
	_ = c.conn.SetDeadline(started.Add(limit))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: liens.example\r\nX-Linenscale-Request-Id: %s\r\n", method, target, id)
	for name, value := range header {
		text += name + ": " + value + "\r\n"
	}
	if body != nil {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.rec.printf("client sends %s %s %s, %d bytes", id, method, target, len(body))
	if _, err := c.conn.Write(append([]byte(text+"\r\n"), body...)); err != nil {
		a := answer{err: err, closed: true, took: time.Since(started)}
		c.log(id, a)
		return a
	}
	a := c.read(method)
	a.took = time.Since(started)
	c.log(id, a)
	return a
}

func (c *channel) read(method string) answer {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, closed: !isTimeout(err)}
	}
	a := answer{status: resp.StatusCode, header: resp.Header}
	a.body, a.err = io.ReadAll(resp.Body)
	a.complete = a.err == nil
	a.closed = a.err != nil && !isTimeout(a.err)
	return a
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func (c *channel) log(id string, a answer) {
	c.rec.printf("client got for %s: status %d, stamp %q, %d bytes, complete %t, channel closed %t, after %.3f s, error %v", id, a.status, a.header.Get("X-Linenscale-Response-Stamp"), len(a.body), a.complete, a.closed, a.took.Seconds(), a.err)
}

func (c *channel) close() { c.conn.Close() }
