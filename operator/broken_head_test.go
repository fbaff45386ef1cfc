package operator_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/operator"
)

// startTextServer starts a server that answers each request with a text, and returns its address.
func startTextServer(t *testing.T, text string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, text)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestBrokenHeadIsNoAnswer guards against a host's answer with a broken head that counts: the client
// must ask the next host.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"status":  "HTTP/1.1 000 Trouble\r\n",
		"name":    "HTTP/1.1 200 OK\r\nX Trouble: a\r\n",
		"version": "HTTP/2.0 200 OK\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			broken := startTextServer(t, head+"Content-Type: application/json\r\nContent-Length: 14\r\n\r\n{\"revision\":1}")
			sound := startTextServer(t, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 14\r\n\r\n{\"revision\":2}")
			_, err := operator.NewClient([]string{broken}, time.Second).Status(context.Background())
			must.ErrorContains(t, err, "invalid head")
			status, err := operator.NewClient([]string{broken, sound}, time.Second).Status(context.Background())
			must.NoError(t, err)
			must.Eq(t, uint64(2), status.Revision)
		})
	}
}
