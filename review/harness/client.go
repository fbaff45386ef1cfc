package harness

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answer is what a client got for one request.
type Answer struct {
	ID       string
	Status   int
	Header   http.Header
	Body     string
	Unframed bool  // neither a length nor chunks: the end of the channel ends it
	Err      error // no answer, or one that visibly ended early
}

// Complete reports whether the answer's framing says that it is whole.
func (a Answer) Complete() bool { return a.Err == nil }

// String describes the answer in one line.
func (a Answer) String() string {
	return fmt.Sprintf("status %d, %d bytes of body, stamp %q, error %v", a.Status, len(a.Body), a.Header.Get("X-Linenscale-Response-Stamp"), a.Err)
}

var client = &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}

// NewID returns the id of a request.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends one request to a gateway on a new channel and reads the whole answer.
func (d *Deployment) Send(gateway, method, host, path, id, body string, budget time.Duration) Answer {
	d.record.Printf("client sends request %s %s http://%s%s to %s", id, method, host, path, gateway)
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	a := Answer{ID: id, Header: http.Header{}}
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+gateway+path, reader)
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Linenscale-Request-Id", id)
	req.Header.Set("X-Linenscale-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		a.Err = err
		d.record.Printf("client got for request %s: %v", id, a)
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.Status, a.Header, a.Body, a.Err = resp.StatusCode, resp.Header, string(data), err
	a.Unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	d.record.Printf("client got for request %s: %v", id, a)
	return a
}
