package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/ingress"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/platform/platformtest"
)

// bufferedAnswer is the length up to which a gateway holds a plain answer back until it has
// arrived.
const bufferedAnswer = 256 << 10

// answerSizes are the lengths of plain answers in the tests of answers that break off halfway,
// with the bytes that the gateways may buffer; 0 for the default.
var answerSizes = []struct {
	padding     int
	bufferBytes int64
}{
	{padding: 100_000, bufferBytes: 10_000},
	{padding: bufferedAnswer},
	{padding: 2*bufferedAnswer - 100},
	{padding: 2 * bufferedAnswer},
	{padding: 2*bufferedAnswer + 2},
	{padding: 2 << 20},
}

// brokenOffFaults are the faults that end a plain answer early, each in a way that shows it.
var brokenOffFaults = []platformtest.Fault{
	platformtest.FaultChunksCut, platformtest.FaultChunksReset, platformtest.FaultChunksGarbage, platformtest.FaultTruncate, platformtest.FaultNoLengthReset,
}

// newRegionsWithBuffers is newRegions for gateways that buffer so many bytes, 0 for the default.
func newRegionsWithBuffers(t *testing.T, bufferBytes int64) (lagos, kano *gateway) {
	t.Helper()
	lagos, kano = newGatewayWithBuffers(t, "g1", "lagos", bufferBytes), newGatewayWithBuffers(t, "g2", "kano", bufferBytes)
	connect(lagos, kano)
	for _, g := range []*gateway{lagos, kano} {
		g.server.ApplyState(ledger.State{Index: 2, Catalog: patientCatalog()})
	}
	return lagos, kano
}

// patience is the timeout of the routes for long answers, far more than any takes: the tests
// assert no time.
const patience = time.Minute

// patientCatalog returns testCatalog with that timeout.
func patientCatalog() catalog.Catalog {
	patient := testCatalog
	patient.Version++
	patient.Routes = slices.Clone(patient.Routes)
	for i := range patient.Routes {
		patient.Routes[i].Timeout = patience
	}
	return patient
}

func newGatewayWithBuffers(t *testing.T, name, region string, bufferBytes int64) *gateway {
	t.Helper()
	g := newUnservedGateway(t, name, region, time.Now, &net.Dialer{Timeout: 300 * time.Millisecond})
	deps := g.server.Deps
	deps.BufferBytes = bufferBytes
	g.server = ingress.New(deps)
	g.callers, g.handover = httptest.NewServer(g.server.CallersHandler()), httptest.NewServer(g.server.HandoverHandler())
	t.Cleanup(g.callers.Close)
	t.Cleanup(g.handover.Close)
	return g
}

// answerEnd is how an answer reached its caller.
type answerEnd struct {
	status int
	body   string
	err    error // of reading the body; nil for an answer that ended as complete
}

// callVersion sends a request without a body over a connection of its own, as HTTP/1.0 or
// HTTP/1.1.
func callVersion(t *testing.T, g *gateway, version, method, path, id string) answerEnd {
	t.Helper()
	conn, err := net.Dial("tcp", hostPort(g.callers))
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, platformtest.WriteVersionHead(conn, version, method, path, id, "Content-Length: 0"))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answerEnd{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answerEnd{status: resp.StatusCode, body: string(body), err: err}
}

// callers are the ways in which the tests call a gateway.
var callers = []struct {
	name string
	call func(t *testing.T, g *gateway, method, path string) answerEnd
}{
	{"http/1.1", func(t *testing.T, g *gateway, method, path string) answerEnd {
		t.Helper()
		return callVersion(t, g, "HTTP/1.1", method, path, "r-"+method+"-11")
	}},
	{"http/1.0", func(t *testing.T, g *gateway, method, path string) answerEnd {
		t.Helper()
		return callVersion(t, g, "HTTP/1.0", method, path, "r-"+method+"-10")
	}},
	{"kept connection", func(t *testing.T, g *gateway, method, path string) answerEnd {
		t.Helper()
		c := platformtest.Caller{Client: http.Client{Transport: &http.Transport{}}}
		defer c.Client.CloseIdleConnections()
		_, err := c.Do(context.Background(), hostPort(g.callers), platformtest.Request{Method: method, Host: "h", Path: "/none/1"})
		must.NoError(t, err)
		result, err := c.Do(context.Background(), hostPort(g.callers), platformtest.Request{Method: method, Host: "h", Path: path, Deadline: patience})
		if err != nil {
			return answerEnd{err: err}
		}
		end := answerEnd{status: result.Status, body: result.Body}
		if !result.Complete {
			end.err = io.ErrUnexpectedEOF
		}
		return end
	}},
}

// longAnswerCase is one combination of a size, a fault, a kind of method and a way of calling. The
// gateway in lagos hands the request over to the one in kano.
type longAnswerCase struct {
	lagos, kano *gateway
	padding     int
	call        func(t *testing.T) answerEnd
}

// forEachLongAnswer runs a test for each combination.
func forEachLongAnswer(t *testing.T, faults []platformtest.Fault, test func(t *testing.T, c longAnswerCase)) {
	t.Helper()
	for _, size := range answerSizes {
		for _, fault := range faults {
			for _, caller := range callers {
				for method, path := range map[string]string{http.MethodGet: "/safe/1", http.MethodPost: "/unsafe/1"} {
					t.Run(fmt.Sprint(size.padding, "/", fault, "/", caller.name, "/", method), func(t *testing.T) {
						lagos, kano := newRegionsWithBuffers(t, size.bufferBytes)
						e := kano.startEngine(t, platformtest.EngineOptions{Service: "portal", DataCentre: "b", Padding: size.padding})
						injectFault([]*platformtest.Engine{e}, fault, -1)
						test(t, longAnswerCase{lagos: lagos, kano: kano, padding: size.padding, call: func(t *testing.T) answerEnd {
							t.Helper()
							return caller.call(t, lagos, method, path)
						}})
						must.Positive(t, len(e.Arrivals()))
					})
				}
			}
		}
	}
}

// mustBeWholeOrBroken checks that an answer that ended as complete is complete.
func (c longAnswerCase) mustBeWholeOrBroken(t *testing.T, end answerEnd) {
	t.Helper()
	must.True(t, end.status != http.StatusOK || end.err != nil || len(end.body) > c.padding, must.Sprintf("ended as complete after %d bytes", len(end.body)))
}

// TestAnswerBrokenOffBehindAHandOverIsNotComplete guards against a plain answer that an engine of
// another region broke off and that ends like a whole one for its caller.
func TestAnswerBrokenOffBehindAHandOverIsNotComplete(t *testing.T) {
	forEachLongAnswer(t, brokenOffFaults, func(t *testing.T, c longAnswerCase) {
		c.mustBeWholeOrBroken(t, c.call(t))
	})
}

// wholeAnswers are the faults under which an engine still sends whole answers: by their length,
// without framing, and in chunks.
var wholeAnswers = []platformtest.Fault{platformtest.FaultNone, platformtest.FaultNoLength, platformtest.FaultForgedTrailers}

// TestAnswerCutBetweenGatewaysIsNotComplete guards against a plain answer that was lost between two
// gateways halfway and that ends like a whole one for its caller.
func TestAnswerCutBetweenGatewaysIsNotComplete(t *testing.T) {
	forEachLongAnswer(t, wholeAnswers, func(t *testing.T, c longAnswerCase) {
		c.lagos.peers[0].Handover = startTruncatingProxy(t, hostPort(c.kano.handover), int64(c.padding/2))
		c.mustBeWholeOrBroken(t, c.call(t))
	})
}

// TestWholeAnswerBehindAHandOverStaysWhole guards against long whole answers that are taken for
// broken ones, whatever their framing and whatever trailers their engine sends.
func TestWholeAnswerBehindAHandOverStaysWhole(t *testing.T) {
	forEachLongAnswer(t, wholeAnswers, func(t *testing.T, c longAnswerCase) {
		end := c.call(t)
		must.Eq(t, http.StatusOK, end.status)
		must.NoError(t, end.err)
		must.Greater(t, c.padding, len(end.body))
	})
}
