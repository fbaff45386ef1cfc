package ingress_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/platform/platformtest"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/streams"
)

// versions are the software versions of the engines in these tests.
var versions = []string{"v1", "v2"}

// streamEvents is the length of the streams of engines that startVersion starts.
const streamEvents = 12

// startVersion starts an engine with that software version.
func (g *gateway) startVersion(t *testing.T, service, dataCentre, version string) *platformtest.Engine {
	t.Helper()
	return g.startEngine(t, platformtest.EngineOptions{Service: service, DataCentre: dataCentre, Version: version, Events: streamEvents})
}

// versionOf returns the version that wrote a stream's body, or "" if it isn't the beginning of a
// stream of one version.
func versionOf(body string) string {
	for _, v := range versions {
		if body != "" && strings.HasPrefix(platformtest.StreamText(v, streamEvents), body) {
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
		mustComplete(t, "", result)
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
	lagos, kano := newRegions(t)
	kano.startBothVersions(t, "b", 2)
	peers := lagos.peers
	for range streamsPerTest {
		truncating := peers[1]
		truncating.Name, truncating.Handover = "g3", startProxyUntil(t, hostPort(kano.handover), "event 2")
		lagos.peers = append(slices.Clone(peers), truncating) // the random number 1 picks the second of two
		result := do(t, lagos, platformtest.Request{Path: "/review/1", IsPrompt: true, Deadline: 5 * time.Second})
		mustComplete(t, "", result)
	}
}

// TestStreamMovesToTheRegionOfItsVersion guards against a continuation at the local engines of
// another version while engines of the stream's version serve in another region.
func TestStreamMovesToTheRegionOfItsVersion(t *testing.T) {
	lagos, kano := newRegions(t)
	kano.startVersion(t, "model", "b", "v2")
	kano.startVersion(t, "model", "b", "v2")
	faulty := lagos.startVersion(t, "model", "a", "v2")
	for range 2 {
		lagos.startVersion(t, "model", "a", "v1")
	}
	for range streamsPerTest {
		faulty.SetFaults(platformtest.NewFaultPlan(platformtest.FaultTruncate, -1))
		result := do(t, lagos, platformtest.Request{Path: "/review/1", IsPrompt: true, Deadline: 5 * time.Second})
		mustComplete(t, "", result)
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
	lagos, kano := newRegions(t)
	earlier := httptest.NewServer(earlierRelease(kano.server.HandoverHandler()))
	t.Cleanup(earlier.Close)
	lagos.peers[1].Handover = hostPort(earlier)
	kano.startVersion(t, "model", "b", "v1")
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

// begin sends a request whose stream breaks after its first events, and returns the answer.
func begin(t *testing.T, g *gateway, engines []*platformtest.Engine) platformtest.Result {
	t.Helper()
	return beginWith(t, g, engines, "")
}

// beginWith is begin for requests with that body.
func beginWith(t *testing.T, g *gateway, engines []*platformtest.Engine, content string) platformtest.Result {
	t.Helper()
	injectFault(engines, platformtest.FaultTruncate, -1)
	result := do(t, g, platformtest.Request{Path: "/review/1", IsPrompt: true, Body: content})
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
		mustComplete(t, first.Body, resume(t, g, first.ID, first.Body))
	}
}

// newGateways returns so many gateways of one region that reach each other, and two engines of
// each version, which all of them know.
func newGateways(t *testing.T, count int) ([]*gateway, []*platformtest.Engine) {
	t.Helper()
	var gateways []*gateway
	for i := range count {
		gateways = append(gateways, newGateway(t, fmt.Sprint("g", i), "lagos"))
	}
	connect(gateways...)
	engines := gateways[0].startBothVersions(t, "a", 2)
	for _, g := range gateways[1:] {
		for _, e := range engines {
			g.register(e, "model", "a")
		}
	}
	return gateways, engines
}

// connect makes gateways know and reach each other, and declares the routes.
func connect(gateways ...*gateway) {
	var hosts []roster.Host
	reached := make(map[string]*gateway)
	for _, g := range gateways {
		self := g.server.Self
		self.Peer, self.Handover = self.Name, hostPort(g.handover)
		hosts = append(hosts, self)
		reached[self.Name] = g
	}
	for _, g := range gateways {
		g.peers, g.reached = hosts, reached
		g.declare()
	}
}

// newRegions returns two gateways in two regions that know and reach each other.
func newRegions(t *testing.T) (lagos, kano *gateway) {
	t.Helper()
	lagos, kano = newGateway(t, "g1", "lagos"), newGateway(t, "g2", "kano")
	connect(lagos, kano)
	return lagos, kano
}

// disconnect makes a gateway lose and get no messages, as if it was killed or partitioned.
func disconnect(lost *gateway, others ...*gateway) {
	lost.reached = nil
	for _, g := range others {
		g.reached = maps.Clone(g.reached)
		delete(g.reached, lost.server.Self.Name)
	}
}

// mustComplete checks that an answer completes the stream that body begins, in one version.
func mustComplete(t *testing.T, body string, rest platformtest.Result) {
	t.Helper()
	must.Eq(t, http.StatusOK, rest.Status)
	must.True(t, rest.Complete, must.Sprint(rest.Body))
	must.Eq(t, platformtest.StreamText(versionOf(body+rest.Body), streamEvents), body+rest.Body)
}

// TestCallerResumesAtAnotherGateway guards against a gateway that doesn't know, or guesses, which
// version began a stream elsewhere, also when the gateway that began it is gone.
func TestCallerResumesAtAnotherGateway(t *testing.T) {
	for _, killed := range []bool{false, true} {
		gateways, engines := newGateways(t, 4)
		var begun []platformtest.Result
		for range streamsPerTest {
			begun = append(begun, begin(t, gateways[0], engines))
		}
		if killed {
			disconnect(gateways[0], gateways[1:]...)
		}
		for i, first := range begun {
			mustComplete(t, first.Body, resume(t, gateways[1+i%3], first.ID, first.Body))
		}
	}
}

// TestResumedStreamIsResumedAgain guards against a chain of resumptions that loses the version,
// also when no gateway of the first one is left.
func TestResumedStreamIsResumedAgain(t *testing.T) {
	gateways, engines := newGateways(t, 6)
	first := begin(t, gateways[0], engines)
	injectFault(engines, platformtest.FaultTruncate, 2)
	second := resume(t, gateways[1], first.ID, first.Body)
	must.False(t, second.Complete, must.Sprint(second.Status, second.Body))
	disconnect(gateways[0], gateways[1:]...)
	body := first.Body + second.Body
	mustComplete(t, body, resume(t, gateways[2], first.ID, body))
}

// TestCallerResumesInAnotherRegion guards against a stream whose version is forgotten with the
// region where it began.
func TestCallerResumesInAnotherRegion(t *testing.T) {
	lagos, kano := newRegions(t)
	engines := lagos.startBothVersions(t, "a", 2)
	kano.startBothVersions(t, "b", 2)
	for range streamsPerTest {
		first := begin(t, lagos, engines)
		mustComplete(t, first.Body, resume(t, kano, first.ID, first.Body))
	}
	first := begin(t, lagos, engines)
	disconnect(lagos, kano)
	mustComplete(t, first.Body, resume(t, kano, first.ID, first.Body))
}

// TestResumptionIsHandedOverToItsVersion guards against a resumption that runs at another
// version in the region to which it is handed over.
func TestResumptionIsHandedOverToItsVersion(t *testing.T) {
	lagos, kano := newRegions(t)
	faulty := lagos.startVersion(t, "model", "a", "v2")
	lagos.startVersion(t, "model", "a", "v1")
	kano.startBothVersions(t, "b", 2)
	for range streamsPerTest {
		injectFault([]*platformtest.Engine{faulty}, platformtest.FaultTruncate, -1)
		lagos.peers = lagos.peers[:1]
		first := do(t, lagos, platformtest.Request{Path: "/review/1", IsPrompt: true})
		connect(lagos, kano)
		if first.Complete {
			continue // it began at the other version
		}
		mustComplete(t, first.Body, resume(t, lagos, first.ID, first.Body))
	}
}

// TestUnknownStreamIsRejected guards against a resumption at any version while nobody knows the
// stream's. The rejection says that it hasn't run, and no engine has received it.
func TestUnknownStreamIsRejected(t *testing.T) {
	gateways, engines := newGateways(t, 3)
	first := begin(t, gateways[0], engines)
	for _, unknown := range []platformtest.Request{
		{Resumes: "never-seen", LastEvent: "2"},
		{Body: "never seen", LastEvent: "2"},
		{Resumes: "never-seen"},
	} {
		unknown.Path, unknown.IsPrompt = "/review/1", true
		result := do(t, gateways[1], unknown)
		must.True(t, result.GuaranteesNotRun(), must.Sprint(result.Status))
		_, arrived := countRuns(engines, result.ID)
		must.Zero(t, arrived)
	}
	isolated := newGateway(t, "g9", "lagos")
	isolated.peers = gateways[0].peers
	isolated.declare()
	for _, e := range engines {
		isolated.register(e, "model", "a")
	}
	result := resume(t, isolated, first.ID, first.Body)
	must.True(t, result.GuaranteesNotRun(), must.Sprint(result.Status))
	must.Positive(t, result.RetryAfter, must.Sprint("others may answer later"))
}

// TestStreamsOfOneVersionGoOnDuringARelease guards against streams that are rejected although two
// engines of their version serve, while most engines are of another one.
func TestStreamsOfOneVersionGoOnDuringARelease(t *testing.T) {
	gateways, engines := newGateways(t, 3)
	for range 4 {
		e := gateways[0].startVersion(t, "model", "a", "v3")
		for _, g := range gateways[1:] {
			g.register(e, "model", "a")
		}
		engines = append(engines, e)
	}
	for i := range streamsPerTest {
		injectFault(engines, platformtest.FaultTruncate, -1)
		first := do(t, gateways[i%3], platformtest.Request{Path: "/review/1", IsPrompt: true})
		injectFault(engines, platformtest.FaultNone, 0)
		rest := resume(t, gateways[(i+1)%3], first.ID, first.Body)
		must.True(t, rest.Complete, must.Sprint(rest.Status))
	}
}

// TestCallerResumesWithoutNamingItsRequest guards against streams of callers that send only the
// last event: they are recognised by the content of their requests, unless streams of two
// versions have the same.
func TestCallerResumesWithoutNamingItsRequest(t *testing.T) {
	gateways, engines := newGateways(t, 4)
	resumeByContent := func(g *gateway, content, body string) platformtest.Result {
		return do(t, g, platformtest.Request{Path: "/review/1", IsPrompt: true, Body: content, LastEvent: lastEventOf(body)})
	}
	for i := range streamsPerTest {
		content := fmt.Sprint("prompt ", i)
		first := beginWith(t, gateways[i%4], engines, content)
		mustComplete(t, first.Body, resumeByContent(gateways[(i+1)%4], content, first.Body))
	}
	var body string
	for versionsSeen := make(map[string]bool); len(versionsSeen) < len(versions); versionsSeen[versionOf(body)] = true {
		body = beginWith(t, gateways[0], engines, "the same").Body
	}
	result := resumeByContent(gateways[1], "the same", body)
	must.True(t, result.GuaranteesNotRun(), must.Sprint(result.Status))
}

// TestResumptionOnARouteThatNoLongerResumes guards against a stream that is joined because its
// route was resumable only when it began.
func TestResumptionOnARouteThatNoLongerResumes(t *testing.T) {
	gateways, engines := newGateways(t, 2)
	first := begin(t, gateways[0], engines)
	changed := testCatalog
	changed.Version++
	changed.Routes = slices.Clone(changed.Routes)
	for i := range changed.Routes {
		changed.Routes[i].Resumable = false
	}
	gateways[1].server.ApplyState(ledger.State{Index: 2, Catalog: changed})
	rest := resume(t, gateways[1], first.ID, first.Body)
	must.Eq(t, http.StatusOK, rest.Status)
	must.NotEq(t, "", versionOf(first.Body+rest.Body), must.Sprint(first.Body+rest.Body))
	result := resume(t, gateways[1], "never-seen", first.Body)
	must.True(t, result.GuaranteesNotRun(), must.Sprint(result.Status))
}

// TestStreamWithoutARecordContinuesAtTheSoleVersion guards against resumptions that are rejected
// after all gateways have lost their records although one version alone serves.
func TestStreamWithoutARecordContinuesAtTheSoleVersion(t *testing.T) {
	g := newGateway(t, "g1", "lagos")
	g.declare()
	g.server.Dispatcher.ViewIsSteady = func() bool { return true }
	g.server.Dispatcher.EngineVersions = func(_ context.Context, service string) ([]registry.ServedVersion, bool) {
		return g.engines.Versions(service), true
	}
	g.server.Dispatcher.RegionOf = map[string]string{"a": "lagos"}
	g.startVersion(t, "model", "a", "v1")
	begun := platformtest.StreamText("v1", 2)
	mustComplete(t, begun, resume(t, g, "lost-with-its-gateway", begun))
	g.startVersion(t, "model", "a", "v2")
	result := resume(t, g, "another", begun)
	must.True(t, result.GuaranteesNotRun(), must.Sprint(result.Status))
}

// TestGatewayOutOfStepJoinsNoVersions guards against a stream that a gateway joins from two versions
// because it is partitioned, or has just resumed, and doesn't know of the version that began it.
func TestGatewayOutOfStepJoinsNoVersions(t *testing.T) {
	old := registry.ServedVersion{DataCentre: "a", Version: "v1"}
	for name, c := range map[string]struct {
		versions []registry.ServedVersion
		complete bool
		goesOn   bool
	}{
		"a new version in its region":           {[]registry.ServedVersion{old, {DataCentre: "a", Version: "v2"}}, true, false},
		"a new version in another region":       {[]registry.ServedVersion{old, {DataCentre: "b", Version: "v2"}}, true, false},
		"a new version at an unknown place":     {[]registry.ServedVersion{old, {DataCentre: "x", Version: "v2"}}, true, false},
		"a control host that doesn't answer":    {[]registry.ServedVersion{old}, false, false},
		"only the version that it knows of":     {[]registry.ServedVersion{old, {DataCentre: "b", Version: "v1"}}, true, true},
		"no engines that control hosts know of": {nil, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			g, kano := newRegions(t)
			for _, at := range []*gateway{g, kano} {
				at.server.Dispatcher.ViewIsSteady = func() bool { return true }
				at.server.Dispatcher.RegionOf = map[string]string{"a": "lagos", "b": "kano"}
			}
			g.server.Dispatcher.EngineVersions = func(context.Context, string) ([]registry.ServedVersion, bool) { return c.versions, c.complete }
			g.startVersion(t, "model", "a", "v1")
			kano.startVersion(t, "model", "b", "v1")
			g.server.Dispatcher.Receive(kano.server.Dispatcher.RegionReport())
			disconnect(g, kano)
			begun := platformtest.StreamText("v2", 2)
			if c.goesOn {
				begun = platformtest.StreamText("v1", 2)
			}
			result := resume(t, g, "begun-elsewhere", begun)
			if c.goesOn {
				mustComplete(t, begun, result)
				return
			}
			must.True(t, result.GuaranteesNotRun(), must.Sprint(result.Status, result.Body))
		})
	}
}
