// Package wire carries calls between linenscaled processes by net/rpc.
//
// net/rpc has no deadlines. A Client adds them: a call whose context ends is
// given up, and a connection on which nothing has been answered for too long
// is closed, so that a peer that hangs, or a cut that drops every packet, holds
// nothing up. A Sender is for messages that need no answer: it keeps a bounded
// queue for each peer, sends without waiting for earlier answers, and drops
// what doesn't fit.
package wire

import (
	"context"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Dialer opens connections; *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// ErrorKind says what went wrong with a call.
type ErrorKind uint8

// The kinds of failure.
const (
	// Unsent calls have not left: no connection could be opened.
	Unsent ErrorKind = iota
	// Unanswered calls may have been carried out.
	Unanswered
	// RemoteError calls were answered with an error.
	RemoteError
)

// Error is the failure of a call.
type Error struct {
	Kind    ErrorKind
	Address string
	Method  string
	cause   error
}

// Error implements error.
func (e *Error) Error() string { return e.Method + " to " + e.Address + ": " + e.cause.Error() }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.cause }

// Client makes calls, over one connection to each address. NewClient makes
// one; it is safe for concurrent use.
type Client struct {
	dialer Dialer

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// NewClient makes a client whose connections are opened by dialer.
func NewClient(dialer Dialer) *Client {
	return &Client{dialer: dialer, conns: make(map[string]*rpc.Client)}
}

// Call makes one call. The error is always an *Error. ctx must have a
// deadline; when it passes, the connection is closed, because an answer that
// is late once is taken for a sign of a dead connection.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return &Error{Unsent, address, method, err}
	}
	// A call that is given up may still be answered: the answer goes into a
	// value that nobody else looks at.
	got := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.Go(method, args, got.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.drop(address, conn)
		}
		return &Error{Unanswered, address, method, ctx.Err()}
	}
	var refused rpc.ServerError
	switch {
	case call.Error == nil:
		reflect.ValueOf(reply).Elem().Set(got.Elem())
		return nil
	case errors.As(call.Error, &refused):
		return &Error{RemoteError, address, method, call.Error}
	default:
		c.drop(address, conn)
		return &Error{Unanswered, address, method, call.Error}
	}
}

// conn gives the connection to an address, opening one if there is none.
func (c *Client) conn(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	fresh := rpc.NewClient(bounded{raw})
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok = c.conns[address]; ok {
		fresh.Close()
		return conn, nil
	}
	c.conns[address] = fresh
	return fresh, nil
}

// writeTime bounds each write to a connection: net/rpc writes while it holds a
// lock, so that a peer which takes nothing would hold up every call to it.
const writeTime = 2 * time.Second

// bounded is a connection whose writes end.
type bounded struct{ net.Conn }

// Write implements net.Conn.
func (b bounded) Write(data []byte) (int, error) {
	if err := b.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return 0, errors.Trace(err)
	}
	return b.Conn.Write(data)
}

func (c *Client) drop(address string, conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	conn.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		conn.Close()
		delete(c.conns, address)
	}
}

// WithTimeout is Call with a deadline of its own.
func (c *Client) WithTimeout(ctx context.Context, wait time.Duration, address, method string, args, reply any) error {
	bound, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return c.Call(bound, address, method, args, reply)
}
