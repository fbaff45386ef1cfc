package ingress_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/ingress"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/platform/platformtest"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
)

// endlessServer answers each request with bytes that never end, 2 MB a second.
type endlessServer struct {
	start, piece string
	sent         int // bytes that the other end has read
}

// serve answers the requests that arrive at listener, one after the other, until ctx ends.
func (e *endlessServer) serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.answer(ctx, conn)
	}
}

func (e *endlessServer) answer(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	text := e.start
	for {
		n, err := conn.Write([]byte(text))
		e.sent += n
		if err != nil {
			return
		}
		text = strings.Repeat(e.piece, 1+4096/len(e.piece))
		time.Sleep(2 * time.Millisecond)
	}
}

// maxEndlessHead is how much of an endless head a gateway may read: the limit for the heads of
// answers, and one buffer.
const maxEndlessHead = 72 << 10

// TestEndlessHeadIsCutOff guards against a head without end that a gateway reads, and keeps in
// memory, for as long as it comes, from an engine or another gateway.
func TestEndlessHeadIsCutOff(t *testing.T) {
	for name, server := range map[string]endlessServer{
		"header lines":           {start: "HTTP/1.1 200 OK\r\n", piece: "X-A: aaaaaaaaaaaaaaaa\r\n"},
		"one header line":        {start: "HTTP/1.1 200 OK\r\nX-A: ", piece: "a"},
		"status line":            {start: "HTTP/1.1 200 ", piece: "a"},
		"no HTTP":                {start: "\x00", piece: "\x01\xfe"},
		"empty lines":            {start: "\r\n", piece: "\r\n"},
		"informational":          {start: "HTTP/1.1 103 Early Hints\r\n\r\n", piece: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"continue":               {start: "HTTP/1.1 100 Continue\r\n\r\n", piece: "HTTP/1.1 100 Continue\r\n\r\n"},
		"an informational head":  {start: "HTTP/1.1 103 Early Hints\r\n", piece: "X-A: aaaaaaaaaaaaaaaa\r\n"},
		"long informational":     {start: "HTTP/1.1 103 Early Hints\r\n\r\n", piece: "HTTP/1.1 103 Early Hints\r\nX-A: " + strings.Repeat("a", 4000) + "\r\n\r\n"},
		"continuations of lines": {start: "HTTP/1.1 200 OK\r\nX-A: a\r\n", piece: " a\r\n"},
	} {
		for _, path := range []string{"/unsafe/1", "/safe/1", "/chat/1", "/home/1"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					endless := server
					result := requestEndless(t, &endless, path)
					must.Eq(t, http.StatusBadGateway, result.Status)
					sends := 1
					if path == "/safe/1" || path == "/home/1" {
						sends = 2
					}
					must.LessEq(t, sends*maxEndlessHead, endless.sent)
				})
			})
		}
	}
}

// requestEndless sends a request to a gateway whose engines and peers are the server.
func requestEndless(t *testing.T, endless *endlessServer, path string) platformtest.Result {
	t.Helper()
	network := newMemoryNetwork()
	g := newGatewayBeforeAddress(t, network, "endless:80")
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	listener := network.listen("endless:80")
	group.Go(func() { endless.serve(ctx, listener) })
	callers, handover := network.listen("gateway:80"), network.listen("gateway:81")
	group.Go(func() { _ = g.server.Run(ctx, callers, handover) })
	caller := platformtest.Caller{Client: http.Client{Transport: &http.Transport{DialContext: network.DialContext, DisableKeepAlives: true}}}
	result, err := caller.Do(ctx, "gateway:80", platformtest.Request{Host: "h", Path: path, IsPrompt: path == "/chat/1", Deadline: 20 * time.Second})
	must.NoError(t, err)
	cancel()
	group.Wait()
	g.server.Engines.Close()
	g.server.Peers.Close()
	return result
}

// newGatewayBeforeAddress returns a gateway of a memory network whose engines and peers are at one
// address.
func newGatewayBeforeAddress(t *testing.T, network *memoryNetwork, address string) *gateway {
	t.Helper()
	g := newUnservedGateway(t, "g1", "lagos", time.Now, network)
	g.peers = []roster.Host{{Name: "g2", Role: roster.RoleGateway, Region: "kano", Handover: address}}
	deps := g.server.Deps
	deps.Self.Handover = "gateway:81"
	g.server = ingress.New(deps)
	g.server.ApplyState(ledger.State{Index: 1, Catalog: testCatalog})
	for _, service := range []string{"portal", "model"} {
		g.engines.Heartbeat(registry.Engine{ID: "i-" + service, Service: service, Address: address, DataCentre: "a", Slots: 8, Sequence: 1})
	}
	g.server.Dispatcher.Tick()
	return g
}
