// This file defines how it is seen that a caller has left before its request was read.

package ingress

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn keeps a connection where callerLeft finds it.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerLeft tells whether the caller has closed its connection already. A gateway that
// was too busy to read finds requests of callers who have long since gone elsewhere:
// net/http notices that only some time after the request is read, when it may have reached an
// engine. Where it can't be told, the caller counts as there.
func callerLeft(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = n == 0 && err == nil
	})
	return err == nil && left
}
