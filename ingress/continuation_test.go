package ingress_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/platform/platformtest"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/streams"
)

// versions are the software versions of the engines in these tests.
var versions = []string{"v1", "v2"}

// versionOf returns the version that wrote a stream's body, or "" if it isn't the beginning of a
// stream of one version.
func versionOf(body string) string {
	for _, v := range versions {
		if body != "" && strings.HasPrefix(platformtest.StreamText(v, 5), body) {
			return v
		}
	}
	return ""
}

// startBothVersions starts so many model engines of each version.
func (g *gateway) startBothVersions(t *testing.T, dataCentre string, each int) []*platformtest.Engine {
	t.Helper()
	var engines []*platformtest.Engine
	for range each {
		for _, v := range versions {
			engines = append(engines, g.startVersion(t, "model", dataCentre, v))
		}
	}
	return engines
}

// streamsPerTest is how many streams each test breaks: which engine each meets is random.
const streamsPerTest = 12

// TestBrokenStreamContinuesAtItsVersion guards against a gateway that joins the events of two
// software versions in one answer.
func TestBrokenStreamContinuesAtItsVersion(t *testing.T) {
	g := newGateway(t, "g1", "lagos")
	g.declare()
	engines := g.startBothVersions(t, "a", 3)
	for range streamsPerTest {
		injectFault(engines, platformtest.FaultTruncate, 1)
		result := do(t, g, platformtest.Request{Path: "/review/1", IsPrompt: true})
		must.NotEq(t, "", versionOf(result.Body), must.Sprint(result.Body))
		must.True(t, result.Complete, must.Sprint("two other engines of its version serve"))
	}
}

// TestBrokenStreamEndsVisiblyWithoutItsVersion guards against a continuation at another version
// when no engine of the stream's own is left.
func TestBrokenStreamEndsVisiblyWithoutItsVersion(t *testing.T) {
	for range streamsPerTest {
		g := newGateway(t, "g1", "lagos")
		g.declare()
		faulty := g.startBothVersions(t, "a", 1)[0]
		faulty.SetFaults(platformtest.NewFaultPlan(platformtest.FaultTruncate, -1))
		result := do(t, g, platformtest.Request{Path: "/review/1", IsPrompt: true})
		must.NotEq(t, "", versionOf(result.Body), must.Sprint(result.Body))
		must.Eq(t, versionOf(result.Body) != faulty.Version(), result.Complete)
	}
}

// TestHandedOverStreamContinuesAtItsVersion guards against a hand-over that loses the version of
// the events that the caller has.
func TestHandedOverStreamContinuesAtItsVersion(t *testing.T) {
	lagos, kano, _ := twoRegions(t)
	kano.startBothVersions(t, "b", 2)
	for range streamsPerTest {
		truncating := lagos.peers[0]
		truncating.Name, truncating.Handover = "g3", startProxyUntil(t, hostPort(kano.handover), "event 2")
		lagos.peers = append(lagos.peers[:1:1], truncating) // the random number 1 picks the second of two
		result := do(t, lagos, platformtest.Request{Path: "/review/1", IsPrompt: true, Deadline: 5 * time.Second})
		must.NotEq(t, "", versionOf(result.Body), must.Sprint(result.Body))
		must.True(t, result.Complete, must.Sprint(result.Body))
	}
}

// TestStreamMovesToTheRegionOfItsVersion guards against a continuation at the local engines of
// another version while engines of the stream's version serve in another region.
func TestStreamMovesToTheRegionOfItsVersion(t *testing.T) {
	lagos, kano, _ := twoRegions(t)
	kano.startVersion(t, "model", "b", "v2")
	kano.startVersion(t, "model", "b", "v2")
	faulty := lagos.startVersion(t, "model", "a", "v2")
	for range 2 {
		lagos.startVersion(t, "model", "a", "v1")
	}
	for range streamsPerTest {
		faulty.SetFaults(platformtest.NewFaultPlan(platformtest.FaultTruncate, -1))
		result := do(t, lagos, platformtest.Request{Path: "/review/1", IsPrompt: true, Deadline: 5 * time.Second})
		must.NotEq(t, "", versionOf(result.Body), must.Sprint(result.Body))
		must.True(t, result.Complete, must.Sprint(result.Body))
	}
}

// earlierRelease makes a gateway's hand-over handler behave like that of a release that knows no
// origins: it ignores the one that it gets, and states none.
func earlierRelease(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del("Linenscale-Handover-Origin")
		r.Header.Del("Last-Event-Id")
		handler.ServeHTTP(&withoutOrigin{w}, r)
	})
}

type withoutOrigin struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *withoutOrigin) WriteHeader(status int) {
	w.Header().Del("Linenscale-Stream-Origin")
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the original writer for http.ResponseController.
func (w *withoutOrigin) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestStreamIsNotJoinedByAnEarlierRelease guards against the answer of a gateway that may have
// continued the stream at any version.
func TestStreamIsNotJoinedByAnEarlierRelease(t *testing.T) {
	lagos, kano, _ := twoRegions(t)
	earlier := httptest.NewServer(earlierRelease(kano.server.HandoverHandler()))
	t.Cleanup(earlier.Close)
	lagos.peers[0].Handover = hostPort(earlier)
	faulty := lagos.startVersion(t, "model", "a", "v2")
	faulty.SetFaults(platformtest.NewFaultPlan(platformtest.FaultTruncate, -1))
	result := do(t, lagos, platformtest.Request{Path: "/review/1", IsPrompt: true, Deadline: 5 * time.Second})
	must.Eq(t, "v2", versionOf(result.Body), must.Sprint(result.Body))
	must.False(t, result.Complete)
}

// TestHandedOverStreamStaysAtItsService guards against a gateway that draws another service of
// the route for the rest of a stream.
func TestHandedOverStreamStaysAtItsService(t *testing.T) {
	kano := newGateway(t, "g2", "kano")
	kano.declare()
	engines := map[string]*platformtest.Engine{"model": kano.start(t, "model", "b"), "model2": kano.start(t, "model2", "b")}
	handOver := func(service string) platformtest.Result {
		header := make(http.Header)
		origin := streams.Origin{Service: service, Version: platformtest.DefaultVersion}
		handover := request.Request{ID: "r1", Deadline: time.Now().Add(5 * time.Second), Origin: &origin}.WithVisitedHost("g1")
		handover.SetHandoverHeaders(header, time.Now(), 1)
		var caller platformtest.Caller
		result, err := caller.Do(context.Background(), hostPort(kano.handover), platformtest.Request{Host: "h", Path: "/split/1", IsPrompt: true, LastEvent: "2", Header: header})
		must.NoError(t, err)
		return result
	}
	for service, e := range engines {
		must.Eq(t, e.ID, handOver(service).Engine)
	}
	must.True(t, handOver("portal").GuaranteesNotRun(), must.Sprint("the route doesn't lead there"))
}

// begin sends requests until the gateway's answer breaks within the stream, and returns it.
func begin(t *testing.T, g *gateway, engines []*platformtest.Engine) platformtest.Result {
	t.Helper()
	injectFault(engines, platformtest.FaultTruncate, -1)
	result := do(t, g, platformtest.Request{Path: "/review/1", IsPrompt: true})
	injectFault(engines, platformtest.FaultNone, 0)
	must.Eq(t, http.StatusOK, result.Status)
	must.False(t, result.Complete)
	must.NotEq(t, "", versionOf(result.Body), must.Sprint(result.Body))
	return result
}

// lastEventOf returns the ID of the last event in a stream's body.
func lastEventOf(body string) string {
	_, last, _ := strings.Cut(body[strings.LastIndex(body, "id: "):], "id: ")
	id, _, _ := strings.Cut(last, "\n")
	return id
}

// resume takes up a stream whose events so far are in body, at a gateway.
func resume(t *testing.T, g *gateway, first, body string) platformtest.Result {
	t.Helper()
	return do(t, g, platformtest.Request{Path: "/review/1", IsPrompt: true, Resumes: first, LastEvent: lastEventOf(body)})
}

// TestCallerResumesAtTheVersionOfTheStream guards against a caller's next try that continues at
// another version, or that is rejected although engines of its version serve.
func TestCallerResumesAtTheVersionOfTheStream(t *testing.T) {
	g := newGateway(t, "g1", "lagos")
	g.declare()
	engines := g.startBothVersions(t, "a", 2)
	for range streamsPerTest {
		first := begin(t, g, engines)
		rest := resume(t, g, first.ID, first.Body)
		must.True(t, rest.Complete, must.Sprint(rest.Status))
		must.NotEq(t, "", versionOf(first.Body+rest.Body), must.Sprint(first.Body+rest.Body))
	}
}
