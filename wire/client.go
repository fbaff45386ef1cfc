// Package wire carries RPCs and messages between linenscaled processes.
//
// net/rpc has no deadlines; Client and Server wrap it. A Client abandons a call when
// its context ends, and closes the connection if the call's deadline passed, so that
// neither a hung peer nor a partition that drops every packet blocks later calls.
//
// A Sender is for messages that need no answer. It has a bounded queue for each peer,
// sends without waiting for earlier answers, and drops messages that don't fit the
// queue. Datagrams sends messages over UDP. A Deployment keeps out connections and
// datagrams of other deployments.
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

// ErrorKind classifies a failed call by whether the peer may have executed it.
type ErrorKind uint8

// Kinds of failed calls.
const (
	// Unsent means that no connection could be opened: the peer has not received
	// the call.
	Unsent ErrorKind = iota
	// Unanswered means that no answer arrived: the peer may have executed the call.
	Unanswered
	// RemoteError means that the peer answered with an error.
	RemoteError
)

// Error is the error of a failed call.
type Error struct {
	Kind    ErrorKind
	Address string
	Method  string
	cause   error
}

// Error implements error.
func (e *Error) Error() string { return e.Method + " to " + e.Address + ": " + e.cause.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

// Client makes calls over one connection to each address. NewClient creates one; it
// is safe for concurrent use.
type Client struct {
	dialer Dialer

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// NewClient creates a client that opens its connections with dialer.
func NewClient(dialer Dialer) *Client {
	return &Client{dialer: dialer, conns: make(map[string]*rpc.Client)}
}

// Call makes one call. The error is always an *Error. ctx must have a deadline; when
// it passes, Call closes the connection, because one late answer is treated as a
// sign that the connection is dead.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return &Error{Unsent, address, method, err}
	}
	// The answer to an abandoned call may still arrive. It is decoded into a
	// private value, so that it can't overwrite the caller's reply.
	result := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.Go(method, args, result.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.drop(address, conn)
		}
		return &Error{Unanswered, address, method, ctx.Err()}
	}
	var remoteErr rpc.ServerError
	switch {
	case call.Error == nil:
		reflect.ValueOf(reply).Elem().Set(result.Elem())
		return nil
	case errors.As(call.Error, &remoteErr):
		return &Error{RemoteError, address, method, call.Error}
	default:
		c.drop(address, conn)
		return &Error{Unanswered, address, method, call.Error}
	}
}

// conn returns the connection to an address, and opens one if there is none.
func (c *Client) conn(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	netConn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	opened := rpc.NewClient(timedConn{netConn})
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok = c.conns[address]; ok {
		opened.Close()
		return conn, nil
	}
	c.conns[address] = opened
	return opened, nil
}

// writeTimeout bounds each write to a connection. net/rpc holds a lock while it
// writes, so a peer that stops reading would block every call to it.
const writeTimeout = 2 * time.Second

// timedConn is a connection whose writes time out after writeTimeout.
type timedConn struct{ net.Conn }

// Write implements net.Conn.
func (b timedConn) Write(data []byte) (int, error) {
	if err := b.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Trace(err)
	}
	return b.Conn.Write(data)
}

// drop closes a connection, and forgets it unless another one has replaced it.
func (c *Client) drop(address string, conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	conn.Close()
}

// Forget closes the connection to an address, if there is one. Calls in flight fail as
// Unanswered.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		c.drop(address, conn)
	}
}

// Close closes all connections. Calls in flight fail as Unanswered.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		conn.Close()
		delete(c.conns, address)
	}
}

// CallTimeout makes one call, as Call does, with a deadline after timeout.
func (c *Client) CallTimeout(ctx context.Context, timeout time.Duration, address, method string, args, reply any) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Call(callCtx, address, method, args, reply)
}
