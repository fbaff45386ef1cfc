package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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

const (
	// lateBytes is the length of an answer that is relayed while it arrives.
	lateBytes = 400 << 10
	// lateEnd is how long after its last bytes the end of an answer comes: longer than a write to
	// the caller may take.
	lateEnd = 12 * time.Second
)

// answerLate answers one request in chunks, or with events. The end comes lateEnd after the rest.
func answerLate(conn net.Conn, isStream, isWhole bool) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	kind, body := "text/plain", strings.Repeat("a", lateBytes)
	if isStream {
		kind, body = "text/event-stream", platformtest.EventText(1)
	}
	id := r.Header.Get("X-Linenscale-Request-Id")
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Linenscale-Request-Id: %s\r\nX-Linenscale-Response-Stamp: i-portal.%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", kind, id, id, len(body), body)
	time.Sleep(lateEnd)
	if isWhole {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// TestAnswerThatEndsLateIsComplete guards against an answer that is cut because its end comes long
// after its last bytes: the deadline of the write before was left behind. One that its engine
// breaks off then must stay incomplete.
func TestAnswerThatEndsLateIsComplete(t *testing.T) {
	for path, isStream := range map[string]bool{"/unsafe/1": false, "/chat/1": true, "/home/1": false} {
		for _, isWhole := range []bool{true, false} {
			t.Run(fmt.Sprint(path[1:], isWhole), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					result := requestLate(t, path, isStream, isWhole)
					must.Eq(t, http.StatusOK, result.Status)
					must.Eq(t, isWhole, result.Complete)
				})
			})
		}
	}
}

// requestLate sends a request to a gateway of lagos whose engines, and those of kano, answer late.
func requestLate(t *testing.T, path string, isStream, isWhole bool) platformtest.Result {
	t.Helper()
	network := newMemoryNetwork()
	lagos, kano := newUnservedGateway(t, "g1", "lagos", time.Now, network), newUnservedGateway(t, "g2", "kano", time.Now, network)
	lagos.peers = []roster.Host{{Name: "g2", Role: roster.RoleGateway, Region: "kano", Handover: "g2:81"}}
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	for g, dataCentre := range map[*gateway]string{lagos: "a", kano: "b"} {
		deps := g.server.Deps
		deps.Self.Handover = deps.Self.Name + ":81"
		g.server = ingress.New(deps)
		patient := testCatalog
		patient.Routes = slices.Clone(patient.Routes)
		for i := range patient.Routes {
			patient.Routes[i].Timeout, patient.Routes[i].Attempts = time.Minute, 1
		}
		g.server.ApplyState(ledger.State{Index: 1, Catalog: patient})
		for _, service := range []string{"portal", "model"} {
			g.engines.Heartbeat(registry.Engine{ID: "i-" + service, Service: service, Address: "late:80", DataCentre: dataCentre, Slots: 8, Sequence: 1})
		}
		g.server.Dispatcher.Tick()
		callers, handover := network.listen(deps.Self.Name+":80"), network.listen(deps.Self.Handover)
		group.Go(func() { _ = g.server.Run(ctx, callers, handover) })
	}
	listener := network.listen("late:80")
	group.Go(func() {
		if conn, err := listener.Accept(); err == nil {
			answerLate(conn, isStream, isWhole)
		}
	})
	caller := platformtest.Caller{Client: http.Client{Transport: &http.Transport{DialContext: network.DialContext, DisableKeepAlives: true}}}
	result, err := caller.Do(ctx, "g1:80", platformtest.Request{Host: "h", Path: path, IsPrompt: isStream, Deadline: 30 * time.Second})
	must.NoError(t, err)
	cancel()
	listener.Close()
	group.Wait()
	for _, g := range []*gateway{lagos, kano} {
		g.server.Engines.Close()
		g.server.Peers.Close()
	}
	return result
}
