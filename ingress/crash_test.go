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

// crashingProxy stands before an engine that can lose power: then open connections are
// reset when something is sent on them, and none can be opened.
type crashingProxy struct {
	listener net.Listener
	to       string
	crashed  atomic.Bool
	ended    context.Context
}

func newCrashingProxy(t *testing.T, to string) *crashingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ended, end := context.WithCancel(context.Background())
	p := &crashingProxy{listener: listener, to: to, ended: ended}
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

// pipe passes bytes both ways until either side ends, or the engine has crashed.
func (p *crashingProxy) pipe(conn net.Conn) {
	defer conn.Close()
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer far.Close()
	stop := context.AfterFunc(p.ended, func() { conn.Close() })
	defer stop()
	group := pool.New()
	defer group.Wait()
	group.Go(func() {
		_, _ = io.Copy(conn, far) // ends with the connection
		conn.Close()
	})
	data := make([]byte, 4096)
	for {
		n, err := conn.Read(data)
		if p.crashed.Load() {
			_ = conn.(*net.TCPConn).SetLinger(0) // so that it is reset
			conn.Close()
		}
		if err != nil || p.crashed.Load() {
			far.Close()
			return
		}
		_, _ = far.Write(data[:n]) // an engine that has gone is seen by the other copy
	}
}

func (p *crashingProxy) crash() {
	p.crashed.Store(true)
	p.listener.Close()
}

// TestTwoEnginesThatCrashedAreNotTwoSends has three engines, of which two lose power while
// this gateway keeps connections to them. A request that may reach two engines is reset by
// the first. Its second send opens a connection of its own, so that the other engine that
// crashed is seen not to have got it, and the third answers.
func TestTwoEnginesThatCrashedAreNotTwoSends(t *testing.T) {
	for try := range 20 { // the order of the engines is drawn by the request's ID
		g := newGateway(t, "g1", "lagos")
		g.declare()
		var proxies []*crashingProxy
		for range 3 {
			e := g.start(t, "portal", "a")
			g.engines.Leave(e.ID, 0)
			p := newCrashingProxy(t, e.Address())
			proxies = append(proxies, p)
			g.engines.Beat(registry.Engine{ID: e.ID, Born: 1, Service: "portal", Address: p.listener.Addr().String(), DataCentre: "a", Slots: 8, Sequence: 1})
		}
		g.server.Dispatcher.Tick()
		for range 12 { // until a connection to each is kept
			must.Eq(t, http.StatusOK, do(t, g, platformtest.Request{Path: "/safe/1"}).Status)
		}
		proxies[0].crash()
		proxies[1].crash()
		must.Eq(t, http.StatusOK, do(t, g, platformtest.Request{Path: "/safe/1"}).Status, must.Sprint("try ", try))
	}
}
