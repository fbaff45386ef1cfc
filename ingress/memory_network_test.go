package ingress_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/ingress"
	"github.com/linenscale/linenscale/platform/platformtest"
)

// memoryNetwork connects callers, a gateway and engines without sockets. In a synctest
// bubble, time then passes only while all of them wait, so the outcome of a test doesn't
// depend on the load of the machine. Connections buffer nothing: each write blocks until
// the other end reads.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: make(map[string]*memoryListener)}
}

func (n *memoryNetwork) listen(address string) *memoryListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memoryListener{address: memoryAddr(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// DialContext implements relay.Dialer.
func (n *memoryNetwork) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.mu.Unlock()
	if !ok {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// memoryListener accepts the connections to one address of a memoryNetwork.
type memoryListener struct {
	address   memoryAddr
	conns     chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

// memoryAddr is an address of a memoryNetwork.
type memoryAddr string

// Network implements net.Addr.
func (memoryAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }

// memoryGateway is a gateway that callers and engines reach over a memoryNetwork.
type memoryGateway struct {
	*gateway
	network *memoryNetwork
	portal  []*platformtest.Engine
	options platformtest.EngineOptions // of the engines
	callers platformtest.Caller
}

// memoryCallers is the address at which a memoryGateway serves callers.
const memoryCallers = "gateway:80"

// inMemory runs test in a synctest bubble, with a gateway and two engines of the portal.
func inMemory(t *testing.T, configure func(*ingress.Deps), opts platformtest.EngineOptions, test func(*testing.T, *memoryGateway)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		g := &memoryGateway{gateway: newUnservedGateway(t, "g1", "lagos", time.Now, network), network: network}
		g.callers.Client.Transport = &http.Transport{DialContext: network.DialContext, DisableKeepAlives: true}
		deps := g.server.Deps
		configure(&deps)
		g.server = ingress.New(deps)
		g.declare()
		ctx, cancel := context.WithCancel(context.Background())
		group := pool.New()
		var serveErr error
		t.Cleanup(func() {
			cancel()
			group.Wait()
			g.server.Engines.Close()
			must.NoError(t, serveErr)
		})
		opts.Service, opts.DataCentre = "portal", "a"
		g.options = opts
		for _, address := range []string{"engine1:80", "engine2:80"} {
			e := platformtest.ServeEngine(ctx, group, network.listen(address), opts)
			g.register(e, opts.Service, opts.DataCentre)
			g.portal = append(g.portal, e)
		}
		callers, handover := network.listen(memoryCallers), network.listen("gateway:81")
		group.Go(func() { serveErr = g.server.Run(ctx, callers, handover) })
		test(t, g)
	})
}

func (g *memoryGateway) do(t *testing.T, r platformtest.Request) platformtest.Result {
	t.Helper()
	r.Host = "h"
	result, err := g.callers.Do(context.Background(), memoryCallers, r)
	must.NoError(t, err)
	return result
}

// startRequest opens a connection and sends the header of a request. framing is the header
// that says how long its body is.
func (g *memoryGateway) startRequest(t *testing.T, method, path, id, framing string) net.Conn {
	t.Helper()
	conn, err := g.network.DialContext(context.Background(), "", memoryCallers)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	must.NoError(t, platformtest.WriteHead(conn, method, path, id, framing))
	return conn
}
