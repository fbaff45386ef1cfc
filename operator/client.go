package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/agent"
	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/internal/httphead"
)

// Client calls the operators' interface. Each call goes to the entry hosts one after the
// other until one answers. NewClient creates one.
type Client struct {
	hosts []string // host:port
	http  *http.Client
}

// NewClient returns a client of hosts, each the host:port of an operators' listener.
// timeout bounds one HTTP request.
func NewClient(hosts []string, timeout time.Duration) *Client {
	return &Client{hosts: hosts, http: &http.Client{Transport: httphead.New(http.DefaultTransport), Timeout: timeout}}
}

// ErrNoAnswer is returned when no host answered. A change may have been accepted
// nevertheless; it is safe to send it again with the same ID.
var ErrNoAnswer = errors.New("no host answered")

// changeRetryTime bounds how long a change is retried, and retryInterval is the pause
// between two attempts.
const (
	changeRetryTime = 30 * time.Second
	retryInterval   = 300 * time.Millisecond
)

// Change sends a change until it is decided. After a lost answer it is sent again with
// the same ID, by which the control log recognises the same change.
func (c *Client) Change(ctx context.Context, change declare.Change) (control.Outcome, error) {
	data, err := json.Marshal(change)
	if err != nil {
		return control.Outcome{}, errors.Annotate(err, "change")
	}
	until := time.Now().Add(changeRetryTime)
	for {
		var out control.Outcome
		err = c.do(ctx, http.MethodPost, "/v1/changes", data, &out)
		if err == nil && out.Final() {
			return out, nil
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return out, errors.Wrap(err, ErrNoAnswer)
		}
		time.Sleep(retryInterval)
	}
}

// Status returns the state of the hosts and the control log, as the first host that
// answers reports it. It doesn't retry.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.do(ctx, http.MethodGet, "/v1/status", nil, &out)
}

// Config returns the effective configuration.
func (c *Client) Config(ctx context.Context) (declare.Config, error) {
	var out declare.Config
	return out, c.doWithRetry(ctx, http.MethodGet, "/v1/config", nil, &out)
}

// History returns the changes accepted after a revision.
func (c *Client) History(ctx context.Context, after uint64) ([]control.Record, error) {
	var out []control.Record
	return out, c.doWithRetry(ctx, http.MethodGet, "/v1/history?after="+strconv.FormatUint(after, 10), nil, &out)
}

// Drain reports what an engine has in flight on the hosts of its region.
func (c *Client) Drain(ctx context.Context, engine string) (agent.DrainStatus, error) {
	var out agent.DrainStatus
	return out, c.do(ctx, http.MethodGet, "/v1/drain/"+url.PathEscape(engine), nil, &out)
}

// Explain returns the regions and engines that are eligible for a request with the
// properties in query.
func (c *Client) Explain(ctx context.Context, query url.Values) (Explanation, error) {
	var out Explanation
	return out, c.do(ctx, http.MethodGet, "/v1/explain?"+query.Encode(), nil, &out)
}

// doWithRetry repeats do until it succeeds, for at most readRetryTime: after the loss of
// a leader, the election of the next one takes a few seconds.
func (c *Client) doWithRetry(ctx context.Context, method, path string, body []byte, into any) error {
	until := time.Now().Add(readRetryTime)
	for {
		err := c.do(ctx, method, path, body, into)
		if err == nil || ctx.Err() != nil || time.Now().After(until) {
			return err
		}
		time.Sleep(retryInterval)
	}
}

// readRetryTime bounds how long a read is retried.
const readRetryTime = 10 * time.Second

// do sends a request to the hosts in order until one answers. An answer in JSON counts,
// with any HTTP status.
func (c *Client) do(ctx context.Context, method, path string, body []byte, into any) error {
	var lastErr error = errors.New("the client has no hosts")
	for _, host := range c.hosts {
		lastErr = c.doOne(ctx, method, "http://"+host+path, body, into)
		if lastErr == nil || ctx.Err() != nil {
			return lastErr
		}
	}
	return lastErr
}

// doOne sends a request to one address and decodes the JSON answer into a value. An answer
// of another type is an error, with its text.
func (c *Client) doOne(ctx context.Context, method, address string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json") {
		return errors.Errorf("%s: %s", address, strings.TrimSpace(string(data)))
	}
	return errors.Annotate(json.Unmarshal(data, into), address)
}
