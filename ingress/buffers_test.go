package ingress_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/ingress"
	"github.com/linenscale/linenscale/platform/platformtest"
)

// TestSlowCallersHoldNoMoreThanTheirBuffers guards against callers that announce long bodies
// and send them slowly or never: each was given a buffer of the whole length that counted
// only once the body was complete, so that some hundred of them exhausted the host's memory.
// Beyond the bound a request is rejected at once, and others are served when one has gone.
func TestSlowCallersHoldNoMoreThanTheirBuffers(t *testing.T) {
	limit := func(deps *ingress.Deps) { deps.BufferBytes = 3000 }
	inMemory(t, limit, platformtest.EngineOptions{}, func(t *testing.T, g *memoryGateway) {
		var slow []net.Conn
		for i := range 3 {
			slow = append(slow, g.startRequest(t, http.MethodPost, "/patient/x", fmt.Sprint("slow-", i), "Content-Length: 900"))
		}
		synctest.Wait() // until the gateway waits for all three bodies
		post := platformtest.Request{Path: "/safe/x", Method: http.MethodPost, Body: strings.Repeat("x", 900)}
		rejected := g.do(t, post)
		must.Eq(t, http.StatusServiceUnavailable, rejected.Status)
		must.True(t, rejected.GuaranteesNotRun())
		must.Zero(t, rejected.Duration, must.Sprint("rejected at once"))
		must.Eq(t, http.StatusOK, g.do(t, platformtest.Request{Path: "/safe/x"}).Status, must.Sprint("a request without a body needs no buffer"))
		must.NoError(t, slow[0].Close())
		synctest.Wait() // until the gateway has noticed
		must.Eq(t, http.StatusOK, g.do(t, post).Status)
	})
}

// TestCallersThatReadNothingDontHoldUpOthers guards against callers that send requests and
// never read the answers: the others' answers must stay whole.
func TestCallersThatReadNothingDontHoldUpOthers(t *testing.T) {
	g, _ := setUp(t)
	for i := range 100 {
		conn, err := net.Dial("tcp", hostPort(g.callers))
		must.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		err = platformtest.WriteHead(conn, http.MethodGet, "/safe/x", fmt.Sprint("deaf-", i), "Content-Length: 0")
		must.NoError(t, err)
	}
	for range 20 {
		must.Eq(t, http.StatusOK, do(t, g, platformtest.Request{Path: "/safe/x"}).Status)
	}
}

func TestBufferBytesFollowTheMemory(t *testing.T) {
	must.Eq(t, 46<<20, ingress.BufferBytesFor(184<<20))
	must.Eq(t, ingress.DefaultBufferBytes, ingress.BufferBytesFor(0))
}
