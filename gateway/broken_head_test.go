package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/route"
)

// brokenHeadEngine answers each request with a text in which ATTEMPT stands for the request's
// attempt, and closes the connection.
type brokenHeadEngine struct {
	text     string
	requests atomic.Int64
}

// ServeHTTP implements http.Handler.
func (e *brokenHeadEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.requests.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, strings.ReplaceAll(e.text, "ATTEMPT", r.Header.Get(relay.HeaderAttempt)))
}

// brokenHeads are status lines, and further lines of the head, of answers with a broken head.
var brokenHeads = map[string]struct{ status, lines string }{
	"status 000":        {status: "HTTP/1.1 000 Trouble"},
	"status 099":        {status: "HTTP/1.1 099 Trouble"},
	"status with sign":  {status: "HTTP/1.1 +20 Trouble"},
	"unsolicited 101":   {status: "HTTP/1.1 101 Switching Protocols", lines: "Connection: Upgrade\r\nUpgrade: other\r\n"},
	"status 600":        {status: "HTTP/1.1 600 Trouble"},
	"blank in a name":   {status: "HTTP/1.1 200 OK", lines: "X Trouble: a\r\n"},
	"blank before :":    {status: "HTTP/1.1 200 OK", lines: "X-Trouble : a\r\n"},
	"control byte":      {status: "HTTP/1.1 200 OK", lines: "X-\x01Trouble: a\r\n"},
	"blank and length":  {status: "HTTP/1.1 200 OK", lines: "Content-Length : 3\r\n"},
	"blank and chunked": {status: "HTTP/1.1 200 OK", lines: "Transfer-Encoding : chunked\r\n"},
	"HTTP/2.0":          {status: "HTTP/2.0 200 OK"},
	"HTTP/1.0, chunked": {status: "HTTP/1.0 200 OK", lines: "Transfer-Encoding: chunked\r\n"},
}

// brokenHeadCalls are calls of each kind, with the body of an answer to them.
var brokenHeadCalls = []struct{ method, path, body, answer string }{
	{http.MethodPost, chatPath, chatBody(true), "data: {}\n\ndata: [DONE]\n\n"},
	{http.MethodPost, chatPath, chatBody(false), "{}"},
	{http.MethodPost, "/services/portal/orders", "order", "done"},
	{http.MethodGet, "/services/portal/drill/7", "", "drill"},
}

// TestAnswersWithABrokenHeadAreNoAnswers guards against an answer with a broken head that reaches a
// caller, from an engine or behind a hand-over, and against a place at its engine that stays taken.
func TestAnswersWithABrokenHeadAreNoAnswers(t *testing.T) {
	for name, head := range brokenHeads {
		for _, call := range brokenHeadCalls {
			for framing, framed := range map[string]string{
				"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(call.answer), call.answer),
				"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(call.answer), call.answer),
			} {
				mediaType := "application/json"
				if strings.HasPrefix(call.answer, "data:") {
					mediaType = "text/event-stream"
				}
				text := head.status + "\r\n" + relay.HeaderAttempt + ": ATTEMPT\r\nContent-Type: " + mediaType + "\r\n" + head.lines + framed
				for _, remote := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s %s/%s/handed over=%t", name, call.method, call.path, framing, remote), func(t *testing.T) {
						t.Parallel()
						engine := &brokenHeadEngine{text: text}
						address, dataCentre := serveLoopback(t, engine), map[bool]string{false: "da", true: "db"}[remote]
						all := declarations(bothRegions, newEngine("e1", modelService, dataCentre, address), newEngine("p1", plainService, dataCentre, address))
						host, serving := newTestHost(t, "a", all), newTestHost(t, "b", all)
						if remote {
							host.peers = []declare.Host{serving.declaration()}
							host.remoteDigests = []route.Digest{{Region: "b", Slots: 8, At: time.Now(), RoundTrip: time.Millisecond}}
						} else {
							serving = host
						}
						home := map[bool]string{false: "a", true: "b"}[remote]
						for range 3 {
							a := host.call(t, call.method, call.path, call.body, request.HeaderHome, home)
							must.NoError(t, a.err)
							must.Eq(t, http.StatusBadGateway, a.status)
							must.Eq(t, request.OutcomeValueUnknown, a.header.Get(request.HeaderOutcome))
						}
						must.GreaterEq(t, 3, engine.requests.Load())
						for _, e := range []string{"e1", "p1"} {
							must.Eq(t, 0, serving.fleet.InFlight(e))
						}
					})
				}
			}
		}
	}
}

// TestKeyedCallWithABrokenHeadStaysUnknown guards against an answer with a broken head that is
// recorded for a key, and replayed.
func TestKeyedCallWithABrokenHeadStaysUnknown(t *testing.T) {
	for name, head := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			engine := &brokenHeadEngine{text: head.status + "\r\n" + head.lines + "Content-Length: 4\r\n\r\ndone"}
			host := newTestHost(t, "a", declarations(bothRegions, newEngine("p1", plainService, "da", serveLoopback(t, engine))))
			for range 2 {
				a := host.call(t, http.MethodPost, "/services/portal/orders", "x", request.HeaderIdempotencyKey, "k1")
				must.Eq(t, request.OutcomeValueUnknown, a.header.Get(request.HeaderOutcome))
				must.Eq(t, "", a.header.Get("Idempotency-Replayed"))
			}
			must.Eq(t, 1, engine.requests.Load())
		})
	}
}
