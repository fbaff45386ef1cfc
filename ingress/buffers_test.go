package ingress_test

import (
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
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/ingress"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/platform/platformtest"
	"github.com/linenscale/linenscale/roster"
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
	const deaf = 100
	for _, padding := range []int{200, 100_000} { // shorter and longer than net/http's buffer
		t.Run(fmt.Sprint("one after another, ", padding), func(t *testing.T) {
			opts := platformtest.EngineOptions{Pause: 100 * time.Millisecond, Padding: padding}
			inMemory(t, func(*ingress.Deps) {}, opts, func(t *testing.T, g *memoryGateway) {
				g.mustServeTwenty(t)
				for i := range deaf {
					g.startDeafRequest(t, i)
					time.Sleep(opts.Pause)
					synctest.Wait()
					ran, _ := countRuns(g.portal, deafID(i))
					must.Eq(t, 1, ran, must.Sprint(deafID(i)))
				}
				g.mustServeTwenty(t)
			})
		})
	}
	t.Run("at once", func(t *testing.T) {
		inMemory(t, func(*ingress.Deps) {}, platformtest.EngineOptions{Padding: 200}, func(t *testing.T, g *memoryGateway) {
			for i := range deaf {
				g.startDeafRequest(t, i)
			}
			for range 20 { // while the deaf callers' requests run or queue, admission may reject others
				result := g.do(t, platformtest.Request{Path: "/safe/x"})
				must.True(t, g.isWhole(result) || result.GuaranteesNotRun() && result.RetryAfter > 0, must.Sprint(result.Status))
			}
			time.Sleep(testCatalog.Routes[0].Timeout)
			g.mustServeTwenty(t)
		})
	})
}

func deafID(i int) string { return fmt.Sprint("deaf-", i) }

// startDeafRequest sends a request whose answer nobody reads.
func (g *memoryGateway) startDeafRequest(t *testing.T, i int) {
	t.Helper()
	g.startRequest(t, http.MethodGet, "/safe/x", deafID(i), "Content-Length: 0")
}

// mustServeTwenty sends requests one after another and reads the answers.
func (g *memoryGateway) mustServeTwenty(t *testing.T) {
	t.Helper()
	for range 20 {
		result := g.do(t, platformtest.Request{Path: "/safe/x"})
		must.True(t, g.isWhole(result), must.Sprint(result.Status))
	}
}

func (g *memoryGateway) isWhole(r platformtest.Result) bool {
	return r.Status == http.StatusOK && r.Complete && r.Body == platformtest.PaddedResponseBody(r.Engine, r.ID, g.options.Padding)
}

// TestUnreadAnswersGiveTheirBuffersBack guards against callers that never read: each answer
// was held in memory for as long as its caller stayed connected.
func TestUnreadAnswersGiveTheirBuffersBack(t *testing.T) {
	opts := platformtest.EngineOptions{Padding: 100_000}
	// Buffers for answers of unknown length double as they grow.
	limit := func(deps *ingress.Deps) { deps.BufferBytes = 3*128<<10 + 500 }
	inMemory(t, limit, opts, func(t *testing.T, g *memoryGateway) {
		for i := range 3 {
			g.startDeafRequest(t, i)
		}
		time.Sleep(time.Second)
		post := platformtest.Request{Path: "/safe/x", Body: strings.Repeat("x", 900)}
		must.Eq(t, http.StatusServiceUnavailable, g.do(t, post).Status)
		time.Sleep(10 * time.Second) // the bound on each write to a caller
		must.True(t, g.isWhole(g.do(t, post)))
	})
}

// TestSlowReaderGetsTheWholeAnswer guards against a caller that reads steadily but slowly and
// is cut off, because the whole answer had to be written within the bound of one write.
func TestSlowReaderGetsTheWholeAnswer(t *testing.T) {
	const padding, bytesPerSecond = 100_000, 4000
	inMemory(t, func(*ingress.Deps) {}, platformtest.EngineOptions{Padding: padding}, func(t *testing.T, g *memoryGateway) {
		conn := g.startRequest(t, http.MethodGet, "/safe/x", "slow", "Content-Length: 0")
		var answer strings.Builder
		for !strings.HasSuffix(answer.String(), strings.Repeat(".", padding)) {
			time.Sleep(time.Second)
			_, err := io.CopyN(&answer, conn, min(bytesPerSecond, int64(padding+1000-answer.Len())))
			if err != nil {
				must.ErrorIs(t, err, io.EOF)
				break
			}
		}
		must.True(t, strings.HasSuffix(answer.String(), strings.Repeat(".", padding)), must.Sprint(answer.Len(), " bytes"))
	})
}

// TestUnreadAnswerIsNotTheEnginesFault guards against a caller that reads nothing for a while, so
// that the engine cuts the answer off, and an engine that counts as crashed or failing for it.
func TestUnreadAnswerIsNotTheEnginesFault(t *testing.T) {
	opts := platformtest.EngineOptions{Padding: 400_000, Events: 20, Pause: 100 * time.Millisecond, Unread: 3 * time.Second}
	for path, headers := range map[string]string{
		"/safe/x": "Content-Length: 0", // longer than what is read whole
		"/chat/x": "Content-Length: 0\r\nX-Linenscale-Model: m",
	} {
		t.Run(path, func(t *testing.T) {
			core, logs := observer.New(zap.InfoLevel)
			inMemory(t, func(deps *ingress.Deps) { deps.Log = zap.New(core) }, opts, func(t *testing.T, g *memoryGateway) {
				patient := testCatalog
				patient.Routes = slices.Clone(patient.Routes)
				for i := range patient.Routes {
					patient.Routes[i].Timeout, patient.Routes[i].Backends = time.Minute, []catalog.Backend{{Service: "portal", Weight: 1}}
				}
				g.server.ApplyState(ledger.State{Index: 2, Catalog: patient})
				conn := g.startRequest(t, http.MethodGet, path, "slow", headers)
				time.Sleep(6 * time.Second)
				_, _ = io.Copy(io.Discard, conn)
				failed := logs.FilterMessage("attempt failed").All()
				must.Positive(t, len(failed))
				must.Eq(t, "abandoned", failed[0].ContextMap()["outcome"].(string), must.Sprint(failed[0].ContextMap()))
			})
		})
	}
}

// TestUnreadAnswerIsNotTheOtherGatewaysFault is TestUnreadAnswerIsNotTheEnginesFault for a
// hand-over: the other gateway still gets hand-overs.
func TestUnreadAnswerIsNotTheOtherGatewaysFault(t *testing.T) {
	opts := platformtest.EngineOptions{Padding: 400_000, Unread: 3 * time.Second}
	core, logs := observer.New(zap.InfoLevel)
	inMemory(t, func(deps *ingress.Deps) { deps.Log = zap.New(core) }, opts, func(t *testing.T, g *memoryGateway) {
		remote := testCatalog
		remote.Routes = slices.Clone(remote.Routes)
		for i := range remote.Routes { // a service without engines here
			remote.Routes[i].Timeout, remote.Routes[i].Backends = time.Minute, []catalog.Backend{{Service: "model2", Weight: 1}}
		}
		g.server.ApplyState(ledger.State{Index: 2, Catalog: remote})
		// An engine plays the gateway: it cuts unread answers off in the same way.
		g.peers = []roster.Host{{Name: "g2", Role: roster.RoleGateway, Region: "kano", Handover: "engine1:80"}}
		conn := g.startRequest(t, http.MethodGet, "/safe/x", "slow", "Content-Length: 0")
		time.Sleep(6 * time.Second)
		_, _ = io.Copy(io.Discard, conn)
		must.SliceLen(t, 1, logs.FilterMessage("hand-over failed").All())
		must.Eq(t, http.StatusOK, g.do(t, platformtest.Request{Path: "/safe/x"}).Status)
		must.SliceLen(t, 2, logs.FilterMessage("handing over request").All())
	})
}

func TestBufferBytesFollowTheMemory(t *testing.T) {
	must.Eq(t, 46<<20, ingress.BufferBytesFor(184<<20))
	must.Eq(t, ingress.DefaultBufferBytes, ingress.BufferBytesFor(0))
}
