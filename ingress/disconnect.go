// This file defines how the gateway detects a caller that disconnected before its request
// was read.

package ingress

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn stores conn in the context for callerDisconnected.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerDisconnected reports whether the caller has already closed its connection, or this
// gateway has: a server that shuts down closes idle connections, and a request may arrive on
// one at that moment. An overloaded gateway reads requests of callers that have long since retried elsewhere.
// net/http notices this only some time after it has read the request, when an engine may
// have received it. If the state can't be determined, the result is false.
func callerDisconnected(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Is(err, net.ErrClosed)
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil
	})
	return closed || errors.Is(err, net.ErrClosed)
}
