// Package httpdrain runs HTTP servers that stop without losing a request that has been read.
//
// http.Server.Shutdown closes connections that it takes for idle. A connection counts as idle until
// the header of its next request is complete, so that a request may be read and then lost with its
// connection. A Server ends idle connections by a read deadline instead: it strikes only a
// connection that waits for bytes. A request that has been read already is handled, and its
// answer is written.
package httpdrain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/linenscale/linenscale/internal/duty"
)

// interval is how often Drain looks for idle connections.
const interval = 10 * time.Millisecond

// Server is an HTTP server on one listener. New makes one.
type Server struct {
	server   *http.Server
	listener net.Listener
	draining atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]http.ConnState
}

// New returns a server that accepts connections from listener. It uses the ConnState hook of
// server.
func New(server *http.Server, listener net.Listener) *Server {
	s := &Server{server: server, listener: listener, conns: make(map[net.Conn]http.ConnState)}
	server.ConnState = s.recordState
	return s
}

// Serve serves until Drain or Close is called, and then returns nil.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if s.draining.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Annotatef(err, "serve %s", s.listener.Addr())
}

// Drain accepts no further connections and ends idle ones until there are none, also those that
// become idle meanwhile, or ctx ends. It reports whether all have ended, and may be called again.
func (s *Server) Drain(ctx context.Context) bool {
	s.draining.Store(true)
	s.listener.Close()
	for {
		if s.endIdle() == 0 {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		duty.Pause(ctx, interval)
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.draining.Store(true)
	s.server.Close()
}

// recordState records the state of a connection.
func (s *Server) recordState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, conn)
		return
	}
	s.conns[conn] = state
}

// endIdle ends the idle connections on which nothing has arrived, and returns how many are still
// open. The server clears the deadline of one that becomes idle at this moment; the next call
// sets it again.
func (s *Server) endIdle() (open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, state := range s.conns {
		if state != http.StateActive && !hasUnread(conn) {
			_ = conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
		}
	}
	return len(s.conns)
}

// hasUnread reports whether bytes have arrived on a connection that the server hasn't read; false
// if that can't be determined.
func hasUnread(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	_ = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = n > 0 && err == nil
	})
	return unread
}
