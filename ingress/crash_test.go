package ingress_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/platform/platformtest"
	"github.com/linenscale/linenscale/registry"
)

// crashingProxy is a proxy in front of an engine that simulates the engine's crash: open
// connections are reset at the next write, and new ones are refused.
type crashingProxy struct {
	listener net.Listener
	upstream string
	crashed  atomic.Bool
	ended    context.Context
}

func newCrashingProxy(t *testing.T, upstream string) *crashingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ended, end := context.WithCancel(context.Background())
	p := &crashingProxy{listener: listener, upstream: upstream, ended: ended}
	group := pool.New()
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { p.pipe(conn) })
		}
	})
	t.Cleanup(func() {
		end()
		listener.Close()
		group.Wait()
	})
	return p
}

// pipe copies bytes in both directions until either side ends or the engine has crashed.
func (p *crashingProxy) pipe(conn net.Conn) {
	defer conn.Close()
	upstream, err := net.Dial("tcp", p.upstream)
	if err != nil {
		return
	}
	defer upstream.Close()
	stop := context.AfterFunc(p.ended, func() { conn.Close() })
	defer stop()
	group := pool.New()
	defer group.Wait()
	group.Go(func() {
		_, _ = io.Copy(conn, upstream) // ends when the connection closes
		conn.Close()
	})
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		if p.crashed.Load() {
			_ = conn.(*net.TCPConn).SetLinger(0) // Close resets the connection
			conn.Close()
		}
		if err != nil || p.crashed.Load() {
			upstream.Close()
			return
		}
		_, _ = upstream.Write(buf[:n]) // on failure, the other copy ends as well
	}
}

func (p *crashingProxy) crash() {
	p.crashed.Store(true)
	p.listener.Close()
}

// TestUnreachableEnginesDontCountAsSends guards against losing a request when two of three
// engines crash while the gateway has pooled connections to them. The first engine
// resets the request, which uses up one of two sends. The second send opens a new
// connection, so the other crashed engine is known not to have received the request, and
// the third engine answers.
func TestUnreachableEnginesDontCountAsSends(t *testing.T) {
	for try := range 20 { // the request's ID determines the order of the engines
		g := newGateway(t, "g1", "lagos")
		g.declare()
		var proxies []*crashingProxy
		for range 3 {
			e := g.start(t, "portal", "a")
			g.engines.MarkLeft(e.ID, 0)
			p := newCrashingProxy(t, e.Address())
			proxies = append(proxies, p)
			g.engines.Heartbeat(registry.Engine{ID: e.ID, Born: 1, Service: "portal", Address: p.listener.Addr().String(), DataCentre: "a", Slots: 8, Sequence: 1})
		}
		g.server.Dispatcher.Tick()
		for range 12 { // until there is a pooled connection to each engine
			must.Eq(t, http.StatusOK, do(t, g, platformtest.Request{Path: "/safe/1"}).Status)
		}
		proxies[0].crash()
		proxies[1].crash()
		must.Eq(t, http.StatusOK, do(t, g, platformtest.Request{Path: "/safe/1"}).Status, must.Sprint("try ", try))
	}
}
