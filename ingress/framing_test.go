package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/platform/platformtest"
)

// answerKind is one kind of answer in the tests of framing.
type answerKind struct {
	name, path string
	stream     bool
	padding    int // length of the filler in a plain answer
}

var answerKinds = []answerKind{
	{"stream", "/chat/1", true, 0},
	{"resumable-stream", "/review/1", true, 0},
	{"plain", "/unsafe/1", false, 200},
	{"long-plain", "/unsafe/1", false, 300 << 10}, // longer than a gateway buffers
}

// framingEnv is a gateway that serves one kind of answer, either itself or through a gateway of
// another region.
type framingEnv struct {
	kind    answerKind
	gateway *gateway
	engines []*platformtest.Engine
}

// newFramingEnv starts three engines, whose events have the given line end.
func newFramingEnv(t *testing.T, kind answerKind, handedOver bool, lineEnd string) framingEnv {
	t.Helper()
	lagos, kano := newRegions(t)
	env := framingEnv{kind: kind, gateway: lagos}
	serving, dataCentre := lagos, "a"
	if handedOver {
		serving, dataCentre = kano, "b"
	}
	service := "portal"
	if kind.stream {
		service = "model"
	}
	for range 3 {
		env.engines = append(env.engines, serving.startEngine(t, platformtest.EngineOptions{Service: service, DataCentre: dataCentre, Events: streamEvents, LineEnd: lineEnd, Padding: kind.padding}))
	}
	return env
}

func (env framingEnv) do(t *testing.T) platformtest.Result {
	t.Helper()
	return do(t, env.gateway, platformtest.Request{Path: env.kind.path, IsPrompt: env.kind.stream, Deadline: 5 * time.Second})
}

// wholeBody returns the body of the whole answer.
func (env framingEnv) wholeBody(r platformtest.Result, lineEnd string) string {
	if env.kind.stream {
		return strings.ReplaceAll(platformtest.StreamText(platformtest.DefaultVersion, streamEvents), "\n", lineEnd)
	}
	return platformtest.PaddedResponseBody(r.Engine, r.ID, env.kind.padding)
}

// forEachFraming runs a test for each kind of answer, relayed directly and over a hand-over.
func forEachFraming(t *testing.T, test func(t *testing.T, kind answerKind, handedOver bool)) {
	t.Helper()
	for _, kind := range answerKinds {
		for _, handedOver := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/handed-over=%t", kind.name, handedOver), func(t *testing.T) { test(t, kind, handedOver) })
		}
	}
}

// TestCutAnswersAreNotFramedAsComplete guards against an answer whose connection ended early and
// that reaches its caller with a length or properly terminated chunks.
func TestCutAnswersAreNotFramedAsComplete(t *testing.T) {
	forEachFraming(t, func(t *testing.T, kind answerKind, handedOver bool) {
		for _, fault := range []platformtest.Fault{
			platformtest.FaultNoLengthHead, platformtest.FaultNoLengthEvent, platformtest.FaultNoLengthInside, platformtest.FaultNoLengthLine,
			platformtest.FaultNoLengthCrash, platformtest.FaultNoLengthReset, platformtest.FaultTerminatedInside,
			platformtest.FaultHeadCut, platformtest.FaultHeadCutReset, platformtest.FaultHeadCutCrash,
		} {
			if fault == platformtest.FaultTerminatedInside && !kind.stream {
				continue
			}
			env := newFramingEnv(t, kind, handedOver, "\n")
			injectFault(env.engines, fault, -1)
			result := env.do(t)
			if result.Status == http.StatusOK {
				must.False(t, result.FramedAsComplete(), must.Sprint(fault, result.Body))
				must.StrHasPrefix(t, result.Body, env.wholeBody(result, "\n"))
			}
		}
	})
}

// TestStreamsKnownToBeCutBreakOffVisibly guards against streams that are known to be cut short,
// because they end inside an event or because their engine has crashed, and that reach callers
// as if they had ended as the engine meant.
func TestStreamsKnownToBeCutBreakOffVisibly(t *testing.T) {
	forEachFraming(t, func(t *testing.T, kind answerKind, handedOver bool) {
		if !kind.stream {
			t.Skip("nothing in the bytes of a plain answer shows its end")
		}
		for _, fault := range []platformtest.Fault{
			platformtest.FaultNoLengthHead, platformtest.FaultNoLengthInside, platformtest.FaultNoLengthLine,
			platformtest.FaultNoLengthCrash, platformtest.FaultNoLengthReset, platformtest.FaultTerminatedInside,
			platformtest.FaultHeadCut, platformtest.FaultHeadCutReset, platformtest.FaultHeadCutCrash,
		} {
			env := newFramingEnv(t, kind, handedOver, "\n")
			injectFault(env.engines, fault, -1)
			result := env.do(t)
			must.False(t, result.Status == http.StatusOK && result.Complete, must.Sprint(fault, result.Body))
		}
	})
}

// TestStreamsKnownToBeCutAreContinued guards against a resumable stream that ends where its first
// engine cut it, although another engine could have gone on.
func TestStreamsKnownToBeCutAreContinued(t *testing.T) {
	for _, handedOver := range []bool{false, true} {
		for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
			for _, fault := range []platformtest.Fault{
				platformtest.FaultTruncate, platformtest.FaultNoLengthHead, platformtest.FaultNoLengthInside, platformtest.FaultNoLengthLine,
				platformtest.FaultNoLengthCrash, platformtest.FaultNoLengthReset, platformtest.FaultTerminatedInside,
				platformtest.FaultHeadCut, platformtest.FaultHeadCutReset, platformtest.FaultHeadCutCrash,
			} {
				t.Run(fmt.Sprintf("%s/%q/handed-over=%t", fault, lineEnd, handedOver), func(t *testing.T) {
					env := newFramingEnv(t, answerKinds[1], handedOver, lineEnd)
					injectFault(env.engines, fault, 1)
					result := env.do(t)
					must.Eq(t, http.StatusOK, result.Status)
					must.True(t, result.Complete)
					must.Eq(t, env.wholeBody(result, lineEnd), result.Body)
				})
			}
		}
	}
}

// TestCrashUnderAnUnframedAnswerIsRetried guards against a plain answer that its crashed engine cut
// short and that a caller gets in place of another engine's whole one.
func TestCrashUnderAnUnframedAnswerIsRetried(t *testing.T) {
	env := newFramingEnv(t, answerKind{name: "repeatable", path: "/safe/1", padding: 200}, false, "\n")
	injectFault(env.engines, platformtest.FaultNoLengthCrash, 1)
	result := env.do(t)
	must.Eq(t, http.StatusOK, result.Status)
	must.True(t, result.FramedAsComplete())
	must.Eq(t, env.wholeBody(result, "\n"), result.Body)
}

// TestWholeAnswersArriveWhole guards against whole answers that are taken for broken ones: without
// framing, with other line ends than LF, or with headers or trailers of the engine's that have the
// names of a gateway's.
func TestWholeAnswersArriveWhole(t *testing.T) {
	forEachFraming(t, func(t *testing.T, kind answerKind, handedOver bool) {
		for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
			for _, fault := range []platformtest.Fault{platformtest.FaultNone, platformtest.FaultNoLength, platformtest.FaultForgedTrailers, platformtest.FaultForgedHeaders} {
				env := newFramingEnv(t, kind, handedOver, lineEnd)
				injectFault(env.engines, fault, -1)
				result := env.do(t)
				must.Eq(t, http.StatusOK, result.Status)
				must.True(t, result.Complete)
				must.Eq(t, env.wholeBody(result, lineEnd), result.Body)
				must.Eq(t, fault == platformtest.FaultNoLength, result.Unframed, must.Sprint("callers get the framing that the engine's answer had"))
				_, arrived := countRuns(env.engines, result.ID)
				must.Eq(t, 1, arrived)
				for name := range result.Header {
					must.StrNotHasPrefix(t, "Linenscale-", name)
				}
			}
		}
	})
}

// TestDrainingEngineEndsAfterAnUnframedAnswer guards against a whole answer that is taken for a cut
// one because its engine, which was draining, has ended since.
func TestDrainingEngineEndsAfterAnUnframedAnswer(t *testing.T) {
	env := newFramingEnv(t, answerKinds[2], false, "\n")
	for _, e := range env.engines {
		e.SetServerLeaving()
		e.SetFaults(platformtest.NewFaultPlan(platformtest.FaultNoLengthCrash, -1))
	}
	result := env.do(t)
	must.Eq(t, http.StatusOK, result.Status)
	must.True(t, result.Unframed)
}

// TestContinuationWithoutFramingIsNotFramedAsComplete guards against a stream that began with
// chunks, was continued by an answer without framing, and ends as if that had been complete.
func TestContinuationWithoutFramingIsNotFramedAsComplete(t *testing.T) {
	for _, handedOver := range []bool{false, true} {
		env := newFramingEnv(t, answerKinds[1], handedOver, "\n")
		plan := platformtest.NewFaultPlan(platformtest.FaultTruncate, 1).Then(platformtest.NewFaultPlan(platformtest.FaultNoLengthEvent, -1))
		for _, e := range env.engines {
			e.SetFaults(plan)
		}
		result := env.do(t)
		must.Eq(t, http.StatusOK, result.Status)
		must.False(t, result.Complete, must.Sprint(result.Body))
		must.StrHasPrefix(t, result.Body, env.wholeBody(result, "\n"))
		_, arrived := countRuns(env.engines, result.ID)
		must.Eq(t, 2, arrived)
	}
}

// TestEmptyRestWithoutFramingIsNotTakenForTheEnd guards against a caller that resumes a stream and
// gets an empty answer as its end, although the engine broke off right after the head.
func TestEmptyRestWithoutFramingIsNotTakenForTheEnd(t *testing.T) {
	env := newFramingEnv(t, answerKinds[1], false, "\n")
	first := do(t, env.gateway, platformtest.Request{Path: env.kind.path, IsPrompt: true, BreakAfter: 9, Deadline: 5 * time.Second})
	injectFault(env.engines, platformtest.FaultNoLengthHead, 1)
	result := do(t, env.gateway, platformtest.Request{Path: env.kind.path, IsPrompt: true, Resumes: first.ID, LastEvent: "9", Deadline: 5 * time.Second})
	must.Eq(t, http.StatusOK, result.Status)
	must.True(t, result.FramedAsComplete())
	must.StrHasSuffix(t, result.Body, env.wholeBody(result, "\n"))
	must.StrContains(t, result.Body, platformtest.EventText(10))
}

// TestFailureWithAStreamsTypeIsRelayed guards against an engine's own failure that is taken for a
// stream cut short.
func TestFailureWithAStreamsTypeIsRelayed(t *testing.T) {
	env := newFramingEnv(t, answerKinds[0], false, "\n")
	injectFault(env.engines, platformtest.FaultError, -1)
	result := env.do(t)
	must.Eq(t, http.StatusInternalServerError, result.Status)
	must.Eq(t, "engine fault", result.Body)
}

// capturingListener keeps the connections that it accepts.
type capturingListener struct {
	net.Listener
	accepted chan net.Conn
}

// Accept implements net.Listener.
func (l capturingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- conn
	}
	return conn, err
}

// TestLostGatewayIsNotTakenForTheEnd guards against an answer without framing that ends like a whole
// one because its gateway's process was killed. The test closes the gateway's side of the
// connection, as the kernel does then.
func TestLostGatewayIsNotTakenForTheEnd(t *testing.T) {
	g := newGateway(t, "g1", "lagos")
	g.declare()
	e := g.startEngine(t, platformtest.EngineOptions{Service: "model", DataCentre: "a", Events: 100, Pause: 5 * time.Millisecond})
	e.SetFaults(platformtest.NewFaultPlan(platformtest.FaultNoLength, -1))
	var listeners []net.Listener
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		listeners = append(listeners, l)
	}
	callers := capturingListener{listeners[0], make(chan net.Conn, 1)}
	ctx, stop := context.WithCancel(context.Background())
	group := pool.New()
	defer group.Wait()
	defer stop()
	group.Go(func() { _ = g.server.Run(ctx, callers, listeners[1]) })
	conn, err := net.Dial("tcp", callers.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, platformtest.WriteHead(conn, http.MethodPost, "/chat/1", "r", "X-Linenscale-Model: m\r\nContent-Length: 0"))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.Eq(t, int64(-1), resp.ContentLength)
	_, err = io.ReadFull(resp.Body, make([]byte, len(platformtest.EventText(1))))
	must.NoError(t, err)
	(<-callers.accepted).Close()
	_, err = io.Copy(io.Discard, resp.Body)
	must.Error(t, err)
}
