package wire

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
)

// Server answers calls. NewServer creates one.
type Server struct {
	rpc *rpc.Server

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewServer creates a server without receivers; Register adds them.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]bool)}
}

// Register adds a receiver. Clients call its methods as "name.Method".
func (s *Server) Register(name string, receiver any) error {
	return errors.Annotatef(s.rpc.RegisterName(name, receiver), "register %s", name)
}

// Serve accepts connections and answers their calls until ctx ends. It then closes
// the listener and all connections.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		listener.Close()
		s.closeAll()
	})
	defer stop()
	group := pool.New()
	defer group.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Annotate(err, "accept")
		}
		if !s.track(ctx, conn) {
			return nil
		}
		group.Go(func() {
			s.rpc.ServeConn(conn)
			s.untrack(conn)
		})
	}
}

// track registers a connection for closeAll. If ctx has ended, it closes the
// connection and returns false.
func (s *Server) track(ctx context.Context, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		conn.Close()
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}
