package probe_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/probe"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/route"
)

// textServer answers the probes of so many engines with one text, as net/http reads it, and ends the
// prober's run after that.
type textServer struct {
	text    string
	engines int64
	probes  atomic.Int64
	stop    context.CancelFunc
}

// RoundTrip implements http.RoundTripper.
func (s *textServer) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.probes.Add(1) > s.engines {
		s.stop()
	}
	return http.ReadResponse(bufio.NewReader(strings.NewReader(s.text)), r)
}

// TestBrokenHeadReportsNothing guards against believing a report whose head is broken: an engine
// that drains, or no longer does.
func TestBrokenHeadReportsNothing(t *testing.T) {
	const (
		draining    = relay.HeaderDraining + ": true\r\n"
		load        = "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
		soundHead   = "HTTP/1.1 200 OK\r\n"
		badStatus   = "HTTP/1.1 000 Trouble\r\n"
		badName     = "HTTP/1.1 200 OK\r\nX Trouble: a\r\n"
		badVersion  = "HTTP/2.0 200 OK\r\n"
		notDraining = ""
	)
	for _, head := range []string{badStatus, badName, badVersion} {
		for _, first := range []string{draining, notDraining} {
			second := map[string]string{draining: notDraining, notDraining: draining}[first]
			t.Run(fmt.Sprintf("%q after %q", head+second, first), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkReports(t, soundHead+first+load, head+second+load, first == draining) })
			})
		}
	}
}

// checkReports checks whether engines are excluded as draining after two rounds of probes.
func checkReports(t *testing.T, first, second string, draining bool) {
	t.Helper()
	time.Sleep(time.Until(now)) // the fleet's clock stands there
	_, f := setup(t)
	for _, text := range []string{first, second} {
		ctx, cancel := context.WithCancel(context.Background())
		server := &textServer{text: text, engines: int64(len(f.EngineAddresses())), stop: cancel}
		must.NoError(t, probe.New(f, server, "", zap.NewNop()).Run(ctx))
	}
	for _, score := range f.Explain(fleet.SlotRequest{Request: request.Request{Service: "s", Class: request.ClassStandard, Deadline: now.Add(time.Minute)}}) {
		must.Eq(t, draining, score.Exclusion == route.ExcludedDraining.String())
	}
}
