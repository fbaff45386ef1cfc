package ingress_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/platform/platformtest"
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
