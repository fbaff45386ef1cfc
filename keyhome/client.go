package keyhome

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/once"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/wire"
)

// Endpoint is the RPC endpoint of a host that may lead a region's key log.
type Endpoint struct {
	Host    string
	Address string        // of its net/rpc listener
	Timeout time.Duration // timeout of one call
}

// Resolver locates the hosts that may lead a region's key log. KeyEndpoints returns
// all hosts of a region, the most likely leader first. KeyEndpoint returns one host,
// or false if its address is unknown.
type Resolver interface {
	KeyEndpoints(region string) []Endpoint
	KeyEndpoint(host string) (Endpoint, bool)
}

// Client sends commands to the leader of the key log in a key's home region. It
// implements gateway.IdempotencyStore.
type Client struct {
	finder Resolver
	rpc    *wire.Client
}

// NewClient returns a client that locates leaders by finder and calls them over calls.
func NewClient(finder Resolver, calls *wire.Client) *Client { return &Client{finder, calls} }

// Timeouts of a client.
const (
	// beginTimeout limits the retries of Begin. If no leader has replied by
	// then, the call fails as not run.
	beginTimeout = 3 * time.Second
	// releaseTimeout limits the attempt to release an intent that Begin may have
	// recorded without receiving the reply.
	releaseTimeout = 500 * time.Millisecond
	retryInterval  = 50 * time.Millisecond
)

// errHomeUnreachable is returned if no leader of the home region's key log replied.
var errHomeUnreachable = errors.New("the home of the key can't be reached")

// Begin implements gateway.IdempotencyStore. Its retries carry the same attempt, so that the
// table recognises a command that had already arrived and applies it only once.
func (c *Client) Begin(ctx context.Context, call once.Call) (once.Verdict, error) {
	beginCtx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	reply, err := c.execute(beginCtx, call, once.Command{Op: once.OpBegin, Until: call.Until})
	if err == nil {
		return reply.Verdict(), nil
	}
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancelRelease()
	_ = c.Release(releaseCtx, call) // if this fails, repeats get InProgress and later Unknown
	return nil, &request.NotRun{Reason: request.ReasonNoHome, Message: err.Error(), RetryAfter: time.Second}
}

// Finish implements gateway.IdempotencyStore.
func (c *Client) Finish(ctx context.Context, call once.Call, answer once.Answer) error {
	_, err := c.execute(ctx, call, once.Command{Op: once.OpFinish, Answer: &answer})
	return err
}

// Release implements gateway.IdempotencyStore.
func (c *Client) Release(ctx context.Context, call once.Call) error {
	_, err := c.execute(ctx, call, once.Command{Op: once.OpRelease})
	return err
}

// MarkUnknown implements gateway.IdempotencyStore.
func (c *Client) MarkUnknown(ctx context.Context, call once.Call) error {
	_, err := c.execute(ctx, call, once.Command{Op: once.OpMarkUnknown})
	return err
}

// execute sends a command to the key's home region until a leader replies or ctx ends.
func (c *Client) execute(ctx context.Context, call once.Call, command once.Command) (Reply, error) {
	command.Key, command.Digest, command.Attempt = call.Key, call.Digest, call.Attempt
	for ctx.Err() == nil {
		for _, endpoint := range c.finder.KeyEndpoints(call.HomeRegion) {
			if reply, ok := c.callLeader(ctx, endpoint, command); ok {
				return reply, nil
			}
		}
		duty.Pause(ctx, retryInterval)
	}
	return Reply{}, errHomeUnreachable
}

// callLeader sends a command to one host. If that host doesn't lead, it follows the
// reply's redirect to the leader once.
func (c *Client) callLeader(ctx context.Context, endpoint Endpoint, command once.Command) (Reply, bool) {
	for range 2 {
		var reply Reply
		err := c.rpc.CallTimeout(ctx, endpoint.Timeout, endpoint.Address, "Keys.Do", command, &reply)
		if err != nil {
			return Reply{}, false
		}
		if !reply.NotLead {
			return reply, true
		}
		leader, ok := c.finder.KeyEndpoint(reply.Leader)
		if !ok {
			return Reply{}, false
		}
		endpoint = leader
	}
	return Reply{}, false
}
