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

// Place is a host that may lead a region's log of keys.
type Place struct {
	Host    string
	Address string        // for net/rpc
	Bound   time.Duration // of one call
}

// Finder tells where a region's log of keys may be led, the likeliest first.
type Finder interface {
	KeyPlaces(region string) []Place
	KeyPlace(host string) (Place, bool)
}

// Client reaches the homes of keys. NewClient makes one.
type Client struct {
	finder Finder
	calls  *wire.Client
}

// NewClient makes a client.
func NewClient(finder Finder, calls *wire.Client) *Client { return &Client{finder, calls} }

// Bounds of a client's patience.
const (
	// beginTime is how long Begin tries; a home that can't be reached by
	// then refuses the call as not run.
	beginTime = 3 * time.Second
	// releaseTime bounds the attempt to take back an intent whose Begin was
	// not answered.
	releaseTime = 500 * time.Millisecond
	againPause  = 50 * time.Millisecond
)

// errNoHome says that the leader of a region's keys was not reached.
var errNoHome = errors.New("the home of the key can't be reached")

// Begin implements gateway.IdempotencyStore. A Begin that may have arrived is sent again
// with the same attempt, which the home takes for the same one.
func (c *Client) Begin(ctx context.Context, call once.Call) (once.Verdict, error) {
	bound, cancel := context.WithTimeout(ctx, beginTime)
	defer cancel()
	reply, err := c.do(bound, call, once.Command{Op: once.OpBegin, Until: call.Until})
	if err == nil {
		return reply.Verdict(), nil
	}
	short, stop := context.WithTimeout(context.WithoutCancel(ctx), releaseTime)
	defer stop()
	_ = c.Release(short, call) // where it fails, the key reads as in progress, then unknown
	return nil, &request.NotRun{Reason: request.ReasonNoHome, Message: err.Error(), RetryAfter: time.Second}
}

// Finish implements gateway.IdempotencyStore.
func (c *Client) Finish(ctx context.Context, call once.Call, answer once.Answer) error {
	_, err := c.do(ctx, call, once.Command{Op: once.OpFinish, Answer: &answer})
	return err
}

// Release implements gateway.IdempotencyStore.
func (c *Client) Release(ctx context.Context, call once.Call) error {
	_, err := c.do(ctx, call, once.Command{Op: once.OpRelease})
	return err
}

// Lose implements gateway.IdempotencyStore.
func (c *Client) Lose(ctx context.Context, call once.Call) error {
	_, err := c.do(ctx, call, once.Command{Op: once.OpLose})
	return err
}

// do sends a command to the key's home until it is answered or ctx ends.
func (c *Client) do(ctx context.Context, call once.Call, command once.Command) (Reply, error) {
	command.Key, command.Digest, command.Attempt = call.Key, call.Digest, call.Attempt
	for ctx.Err() == nil {
		for _, place := range c.finder.KeyPlaces(call.Home) {
			if reply, ok := c.ask(ctx, place, command); ok {
				return reply, nil
			}
		}
		duty.Pause(ctx, againPause)
	}
	return Reply{}, errNoHome
}

// ask asks one host, and the leader that it names.
func (c *Client) ask(ctx context.Context, place Place, command once.Command) (Reply, bool) {
	for range 2 {
		var reply Reply
		err := c.calls.WithTimeout(ctx, place.Bound, place.Address, "Keys.Do", command, &reply)
		if err != nil {
			return Reply{}, false
		}
		if !reply.NotLead {
			return reply, true
		}
		next, ok := c.finder.KeyPlace(reply.Leader)
		if !ok {
			return Reply{}, false
		}
		place = next
	}
	return Reply{}, false
}
