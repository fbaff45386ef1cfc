package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/platform/platformtest"
)

// headServer answers requests with a head that it doesn't finish, or one that is broken, and closes the
// connection.
type headServer struct {
	head     string       // of a request with id "%[1]s"
	cut      int          // bytes of the head, and of what follows it, that are sent
	whole    int          // whole answers on each connection before that
	bytewise bool         // each byte is sent on its own
	keeps    bool         // the connection is kept, and whole answers follow
	ended    atomic.Int64 // heads sent that way, on any connection
}

// serve answers the requests that arrive at listener until ctx ends.
func (h *headServer) serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	connections := pool.New()
	defer connections.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		connections.Go(func() {
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			defer stop()
			h.answer(conn)
		})
	}
}

func (h *headServer) answer(conn net.Conn) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for answered := 0; ; answered++ {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Linenscale-Request-Id")
		if answered < h.whole || (h.keeps && answered > h.whole) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Linenscale-Request-Id: %[1]s\r\nX-Linenscale-Response-Stamp: i.%[1]s\r\nContent-Length: 5\r\n\r\nwhole", id)
			continue
		}
		h.ended.Add(1)
		head := strings.ReplaceAll(h.head, "%[1]s", id)
		step := len(head)
		if h.bytewise {
			step = 1
		}
		for at := 0; at < h.cut; at += step {
			_, _ = io.WriteString(conn, head[at:min(at+step, h.cut)])
		}
		if !h.keeps {
			return
		}
	}
}

// ownHeaders are the headers by which an answer belongs to its request.
const ownHeaders = "X-Linenscale-Request-Id: %[1]s\r\nX-Linenscale-Response-Stamp: i.%[1]s\r\n"

// heads are the heads of answers that are cut, each with all that its answer consists of.
var heads = map[string]string{
	"length":          "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n" + ownHeaders + "\r\n",
	"own headers":     "HTTP/1.1 200 OK\r\n" + ownHeaders + "Content-Length: 0\r\n\r\n",
	"neither":         "HTTP/1.1 200 OK\r\n" + ownHeaders + "Content-Type: text/plain\r\n\r\n",
	"stream":          "HTTP/1.1 200 OK\r\n" + ownHeaders + "Content-Type: text/event-stream\r\n\r\n",
	"HTTP/1.0":        "HTTP/1.0 200 OK\r\n" + ownHeaders + "Content-Type: text/plain\r\n\r\n",
	"bare line feeds": strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+ownHeaders+"Content-Length: 0\r\n\r\n", "\r", ""),
	"continued line":  "HTTP/1.1 200 OK\r\n" + ownHeaders + "X-A: a\r\n  b\r\n\tc\r\n \r\n\r\n",
	"no content":      "HTTP/1.1 204 No Content\r\n" + ownHeaders + "\r\n",
	"informational":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + ownHeaders + "\r\nHTTP/1.1 200 OK\r\n" + ownHeaders + "Content-Length: 0\r\n\r\n",
}

// TestHeadsThatAreCutAreNoAnswers guards against a head without its end that counts as an answer,
// without a body, wherever it is cut: from an engine or another gateway, in one piece or byte by
// byte, on a new connection or after a whole answer.
func TestHeadsThatAreCutAreNoAnswers(t *testing.T) {
	paths := []string{"/unsafe/1", "/safe/1", "/chat/1", "/home/1", "/review/1"}
	const id = "0123456789abcdef"
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			length := len(strings.ReplaceAll(head, "%[1]s", id))
			synctest.Test(t, func(t *testing.T) {
				g := newGatewayBefore(t, (&headServer{head: head, cut: length}).serve)
				result := g.do(t, "/unsafe/1", false)
				answered := result.Status == http.StatusOK || result.Status == http.StatusNoContent
				must.Eq(t, name != "stream", answered, must.Sprint("the whole head, without events: ", result.Status))
				g.close()
			})
			for cut := range length {
				path := paths[cut%len(paths)]
				server := &headServer{head: head, cut: cut, bytewise: cut%3 == 0, whole: cut / len(paths) % 2}
				synctest.Test(t, func(t *testing.T) { checkCutHead(t, server, path) })
			}
		})
	}
}

// checkCutHead sends requests on one connection to a gateway whose engines and peers are the server:
// one for each whole answer, and one whose answers are cut within their heads.
func checkCutHead(t *testing.T, server *headServer, path string) {
	t.Helper()
	g := newGatewayBefore(t, server.serve)
	for range server.whole {
		result := g.do(t, "/safe/0", false)
		must.Eq(t, http.StatusOK, result.Status)
		must.Eq(t, "whole", result.Body)
	}
	server.whole = 0
	isPrompt := path == "/chat/1" || path == "/review/1"
	result := g.do(t, path, isPrompt)
	must.Positive(t, server.ended.Load())
	must.Eq(t, http.StatusBadGateway, result.Status, must.Sprint(server.cut, path))
	must.True(t, result.Complete)
	g.close()
}

// gatewayBefore is a gateway of a memory network before servers of one kind.
type gatewayBefore struct {
	caller platformtest.Caller
	close  func()
}

// do sends a request on the connection that the caller has.
func (g *gatewayBefore) do(t *testing.T, path string, isPrompt bool) platformtest.Result {
	t.Helper()
	result, err := g.caller.Do(context.Background(), memoryCallers, platformtest.Request{Host: "h", Path: path, IsPrompt: isPrompt, Deadline: 20 * time.Second})
	must.NoError(t, err)
	return result
}

// newGatewayBefore starts a gateway whose engines and peers are what serve serves.
func newGatewayBefore(t *testing.T, serve func(context.Context, net.Listener)) *gatewayBefore {
	t.Helper()
	network := newMemoryNetwork()
	g := newGatewayBeforeAddress(t, network, "server:80")
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	listener := network.listen("server:80")
	group.Go(func() { serve(ctx, listener) })
	callers, handover := network.listen(memoryCallers), network.listen("gateway:81")
	group.Go(func() { _ = g.server.Run(ctx, callers, handover) })
	transport := &http.Transport{DialContext: network.DialContext}
	return &gatewayBefore{
		caller: platformtest.Caller{Client: http.Client{Transport: transport}},
		close: func() {
			transport.CloseIdleConnections()
			cancel()
			group.Wait()
			g.server.Engines.Close()
			g.server.Peers.Close()
		},
	}
}
