package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/platform/platformtest"
)

// keptConnection is a caller's connection that stays open between requests.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
}

// request sends a request and reads its answer. closes reports whether the answer announces that
// the connection ends.
func (k keptConnection) request(id string) (closes bool, err error) {
	if _, err := io.WriteString(k.conn, platformtest.RawRequest("/unsafe/1", id, 5000)); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Close, err
}

// TestKeptConnectionsAreNotCutWhileStopping guards against a request that arrives on an idle
// connection at the moment at which its gateway begins to stop: the server closed the connection
// after it had read the request, so the request ran and its caller got no answer.
func TestKeptConnectionsAreNotCutWhileStopping(t *testing.T) {
	const callers = 60
	for round := range 5 {
		g := newGateway(t, "g1", "lagos")
		g.declare()
		g.startEngine(t, platformtest.EngineOptions{Service: "portal", DataCentre: "a", Slots: 2 * callers})
		var listeners []net.Listener
		for range 2 {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			listeners = append(listeners, l)
		}
		ctx, stop := context.WithCancel(context.Background())
		group := pool.New()
		group.Go(func() { _ = g.server.Run(ctx, listeners[0], listeners[1]) })
		var kept []keptConnection
		for i := range callers {
			conn, err := net.Dial("tcp", listeners[0].Addr().String())
			must.NoError(t, err)
			k := keptConnection{conn, bufio.NewReader(conn)}
			closes, err := k.request(fmt.Sprint("first-", round, "-", i))
			must.NoError(t, err)
			must.False(t, closes)
			kept = append(kept, k)
		}
		failures := make([]error, callers)
		requests := pool.New()
		for i, k := range kept {
			requests.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Microsecond) // some before, some after the stop begins
				_, failures[i] = k.request(fmt.Sprint("second-", round, "-", i))
			})
		}
		time.Sleep(200 * time.Microsecond)
		stop()
		requests.Wait()
		for _, err := range failures {
			must.NoError(t, err)
		}
		for _, k := range kept {
			k.conn.Close()
		}
		group.Wait()
	}
}
