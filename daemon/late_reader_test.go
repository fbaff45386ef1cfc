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
// broke off.
func TestEngineThatReadsLateGetsTheWholeRequest(t *testing.T) {
	sendLongBodies(t, platformtest.EngineOptions{ReadPause: 3 * sendwindow.Timeout}, 1)
}

// TestEngineThatSendsBeforeItReadsGetsTheWholeRequest guards against taking an engine for gone that
// sends events while it leaves a long body unread.
func TestEngineThatSendsBeforeItReadsGetsTheWholeRequest(t *testing.T) {
	sendLongBodies(t, platformtest.EngineOptions{ReadPause: 6 * sendwindow.Timeout, SendsUnread: true, Events: 24}, 2)
}

// sendLongBodies sends some long bodies of each kind from each data centre to engines of nassarawa
// with these options, and checks that all are answered. Requests of ikeja and wuse reach them over a
// hand-over.
func sendLongBodies(t *testing.T, opts platformtest.EngineOptions, each int) {
	t.Helper()
	d := newDeployment(t)
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	const centre = "nassarawa"
	opts.DataCentre, opts.ReceiveBuffer = centre, 16<<10
	for _, service := range []string{"portal", "model"} {
		opts.Service = service
		e, err := platformtest.StartEngine(ctx, group, "127.0.0.1:0", opts)
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
			for range each {
				requests.Go(func() {
					result, err := d.caller.Do(ctx, d.hosts["front-"+from].settings.Listen.Callers, platformtest.Request{Host: "h", Path: path, IsPrompt: isPrompt, Body: body, Deadline: 15 * time.Second})
					must.NoError(t, err, must.Sprint(from, path))
					must.Eq(t, http.StatusOK, result.Status, must.Sprint(from, path))
					must.True(t, result.Complete, must.Sprint(from, path))
				})
			}
		}
	}
	requests.Wait()
}
