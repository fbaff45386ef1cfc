package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/relay"
)

// cutHead returns the handler of an engine that writes a part of its answer's head and closes the
// connection. Each request gets a longer part; complete counts those that got all.
func cutHead(head string, complete *atomic.Int64) http.Handler {
	var requests atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		text := strings.ReplaceAll(head, "ATTEMPT", r.Header.Get(relay.HeaderAttempt))
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		cut := int(requests.Add(1))
		if cut >= len(text) {
			complete.Add(1)
			return
		}
		_, _ = io.WriteString(conn, text[:cut])
	})
}

// TestHeadsThatAreCutAreNoAnswers guards against a head without its end that counts as an answer,
// without a body, wherever it is cut.
func TestHeadsThatAreCutAreNoAnswers(t *testing.T) {
	for name, head := range map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + relay.HeaderAttempt + ": ATTEMPT\r\n\r\n",
		"chunks":        "HTTP/1.1 200 OK\r\n" + relay.HeaderAttempt + ": ATTEMPT\r\nTransfer-Encoding: chunked\r\n\r\n",
		"neither":       "HTTP/1.0 200 OK\r\n" + relay.HeaderAttempt + ": ATTEMPT\r\n\r\n",
		"informational": "HTTP/1.1 103 Early Hints\r\nX-A: a\r\n\r\nHTTP/1.1 200 OK\r\n" + relay.HeaderAttempt + ": ATTEMPT\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, call := range []struct{ method, path, body string }{
			{http.MethodPost, chatPath, chatBody(true)},
			{http.MethodPost, chatPath, chatBody(false)},
			{http.MethodPost, "/services/portal/orders", "order"},
			{http.MethodGet, "/services/portal/drill/7", ""},
		} {
			t.Run(fmt.Sprintf("%s %s %s", name, call.method, call.path), func(t *testing.T) {
				t.Parallel()
				var complete atomic.Int64
				address := serveLoopback(t, cutHead(head, &complete))
				host := newTestHost(t, "a", declarations(bothRegions, newEngine("e1", modelService, "da", address), newEngine("p1", plainService, "da", address)))
				for complete.Load() == 0 {
					a := host.call(t, call.method, call.path, call.body)
					must.True(t, a.err != nil || a.status >= http.StatusBadRequest, must.Sprintf("%+v", a))
				}
			})
		}
	}
}
