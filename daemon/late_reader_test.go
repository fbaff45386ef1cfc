package daemon_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/internal/sendwindow"
	"github.com/linenscale/linenscale/platform/platformtest"
)

// TestEngineThatReadsLateGetsTheWholeRequest guards against taking an engine that leaves a long
// body unread for a while for one that is gone: its requests failed, and streams that had begun
// broke off. Requests of ikeja and wuse reach it over a hand-over.
func TestEngineThatReadsLateGetsTheWholeRequest(t *testing.T) {
	d := newDeployment(t)
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	const centre = "nassarawa"
	pause := 3 * sendwindow.Timeout
	for _, service := range []string{"portal", "model"} {
		e, err := platformtest.StartEngine(ctx, group, "127.0.0.1:0", platformtest.EngineOptions{Service: service, DataCentre: centre, ReadPause: pause, ReceiveBuffer: 16 << 10})
		must.NoError(t, err)
		group.Go(func() { e.Register(ctx, d.seeds) })
	}
	portal, model := portalRoute, modelRoute
	portal.TimeoutMs, model.TimeoutMs = 15_000, 15_000
	portal.HomeRegions, model.HomeRegions = []string{dataCentres[centre]}, []string{dataCentres[centre]}
	model.Resumable, model.MaxAttempts = false, 1
	d.declare(portal, model)
	body := strings.Repeat("x", 900_000)
	requests := pool.New()
	for from := range dataCentres {
		d.awaitServed(from, "/p/1", false)
		d.awaitServed(from, "/m/1", true)
		for path, isPrompt := range map[string]bool{"/p/long": false, "/m/long": true} {
			requests.Go(func() {
				result, err := d.caller.Do(ctx, d.hosts["front-"+from].settings.Listen.Callers, platformtest.Request{Host: "h", Path: path, IsPrompt: isPrompt, Body: body, Deadline: 15 * time.Second})
				must.NoError(t, err, must.Sprint(from, path))
				must.Eq(t, http.StatusOK, result.Status, must.Sprint(from, path))
				must.True(t, result.Complete, must.Sprint(from, path))
			})
		}
	}
	requests.Wait()
}
