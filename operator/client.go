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
)

// Client asks entry hosts, one after the other until one answers. NewClient
// makes one.
type Client struct {
	hosts []string // host:port
	http  *http.Client
}

// NewClient makes a client of hosts, each an address of the operators' port.
func NewClient(hosts []string, timeout time.Duration) *Client {
	return &Client{hosts: hosts, http: &http.Client{Timeout: timeout}}
}

// ErrNoAnswer says that no host gave an answer. A change may have been taken
// all the same; it may be sent again with the same ID.
var ErrNoAnswer = errors.New("no host gave an answer")

// sendAgain is how long a change is sent again, and pauseBetween the pause.
const (
	sendAgain    = 30 * time.Second
	pauseBetween = 300 * time.Millisecond
)

// Change sends a change until it is decided. It is sent again with the same ID
// where an answer is lost, which the control log takes for the same change.
func (c *Client) Change(ctx context.Context, change declare.Change) (control.Outcome, error) {
	data, err := json.Marshal(change)
	if err != nil {
		return control.Outcome{}, errors.Annotate(err, "change")
	}
	until := time.Now().Add(sendAgain)
	for {
		var out control.Outcome
		err = c.do(ctx, http.MethodPost, "/v1/changes", data, &out)
		if err == nil && out.Final() {
			return out, nil
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return out, errors.Wrap(err, ErrNoAnswer)
		}
		time.Sleep(pauseBetween)
	}
}

// Status asks for the status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.do(ctx, http.MethodGet, "/v1/status", nil, &out)
}

// Config asks for the configuration in force.
func (c *Client) Config(ctx context.Context) (declare.Config, error) {
	var out declare.Config
	return out, c.again(ctx, http.MethodGet, "/v1/config", nil, &out)
}

// History asks for the changes accepted after a revision.
func (c *Client) History(ctx context.Context, after uint64) ([]control.Record, error) {
	var out []control.Record
	return out, c.again(ctx, http.MethodGet, "/v1/history?after="+strconv.FormatUint(after, 10), nil, &out)
}

// Drain asks for what an engine has in flight.
func (c *Client) Drain(ctx context.Context, engine string) (agent.Drain, error) {
	var out agent.Drain
	return out, c.do(ctx, http.MethodGet, "/v1/drain/"+url.PathEscape(engine), nil, &out)
}

// Explain asks what would be chosen for a request.
func (c *Client) Explain(ctx context.Context, query url.Values) (Explanation, error) {
	var out Explanation
	return out, c.do(ctx, http.MethodGet, "/v1/explain?"+query.Encode(), nil, &out)
}

// again is do, repeated while there is no leader to ask: after the loss of one
// it takes a few seconds until the next leads.
func (c *Client) again(ctx context.Context, method, path string, body []byte, into any) error {
	until := time.Now().Add(readAgain)
	for {
		err := c.do(ctx, method, path, body, into)
		if err == nil || ctx.Err() != nil || time.Now().After(until) {
			return err
		}
		time.Sleep(pauseBetween)
	}
}

// readAgain is how long a read is asked for again.
const readAgain = 10 * time.Second

// do asks the hosts in turn. An answer in JSON counts, whatever its status.
func (c *Client) do(ctx context.Context, method, path string, body []byte, into any) error {
	var last error = errors.New("no host is named")
	for _, host := range c.hosts {
		last = c.ask(ctx, method, "http://"+host+path, body, into)
		if last == nil || ctx.Err() != nil {
			return last
		}
	}
	return last
}

func (c *Client) ask(ctx context.Context, method, address string, body []byte, into any) error {
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
