package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/route"
	"github.com/linenscale/linenscale/standin"
)

const (
	chatPath    = "/services/assistant/v1/chat/completions"
	bothRegions = "region in (a, b)"
	tokenCount  = 6
)

func chatBody(stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, modelName, stream, tokenCount)
}

// newHostWithEngines returns an entry host of region a with one model engine and one plain
// service.
func newHostWithEngines(t *testing.T) (*testHost, *standin.Engine, *standin.Plain) {
	t.Helper()
	engine := standin.NewEngine(standin.EngineOptions{Name: "e1"})
	plain := standin.NewPlain("p1", 0)
	all := declarations(bothRegions, newEngine("e1", modelService, "da", serveLoopback(t, engine)), newEngine("p1", plainService, "da", serveLoopback(t, plain)))
	return newTestHost(t, "a", all), engine, plain
}

// newHostWithTwoModelEngines returns an entry host of region a with two model engines.
func newHostWithTwoModelEngines(t *testing.T) (*testHost, *standin.Engine, *standin.Engine) {
	t.Helper()
	a, b := standin.NewEngine(standin.EngineOptions{Name: "e1"}), standin.NewEngine(standin.EngineOptions{Name: "e2"})
	all := declarations(bothRegions, newEngine("e1", modelService, "da", serveLoopback(t, a)), newEngine("e2", modelService, "da", serveLoopback(t, b)))
	return newTestHost(t, "a", all), a, b
}

// isComplete reports whether an answer contains each token exactly once and in order, and
// ends properly.
func isComplete(a answer, stream bool) bool {
	if a.err != nil || a.status != http.StatusOK {
		return false
	}
	if stream && (strings.Count(a.body, "[DONE]") != 1 || !strings.HasSuffix(a.body, "data: [DONE]\n\n")) {
		return false
	}
	offset := 0
	for i := range tokenCount {
		found := strings.Index(a.body[offset:], fmt.Sprintf(" t%d", i))
		if found < 0 || strings.Count(a.body, fmt.Sprintf(" t%d", i)) != 1 {
			return false
		}
		offset += found
	}
	return true
}

func TestModelAndPlainServicesAnswer(t *testing.T) {
	host, _, plain := newHostWithEngines(t)
	must.True(t, isComplete(host.call(t, http.MethodPost, chatPath, chatBody(false)), false))
	must.True(t, isComplete(host.call(t, http.MethodPost, chatPath, chatBody(true)), true))
	a := host.call(t, http.MethodPut, "/services/portal/drill/7", strings.Repeat("x", 3<<20), "Order", "o7")
	must.Eq(t, http.StatusOK, a.status)
	must.Eq(t, 3<<20, plain.BytesRead())
	must.Eq(t, 1, plain.Runs("o7"))
}

func TestOpenAIClient(t *testing.T) {
	host, _, _ := newHostWithEngines(t)
	client := openai.NewClient(option.WithBaseURL(host.callersURL+"/services/assistant/v1/"), option.WithAPIKey("none"), option.WithHeader(request.HeaderHome, "a"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{Model: modelName, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}}
	got, err := client.Chat.Completions.New(context.Background(), params)
	must.NoError(t, err)
	must.StrContains(t, got.Choices[0].Message.Content, "e1: t0 t1")
	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Delta.Content
	}
	must.NoError(t, stream.Err())
	must.Eq(t, "e1: t0 t1 t2 t3 t4 t5 t6 t7", text)
	models, err := client.Models.List(context.Background())
	must.NoError(t, err)
	must.Eq(t, modelName, models.Data[0].ID)
	params.Model = "other"
	_, err = client.Chat.Completions.New(context.Background(), params)
	var apiErr *openai.Error
	must.True(t, errors.As(err, &apiErr))
	must.Eq(t, http.StatusBadRequest, apiErr.StatusCode)
	must.StrContains(t, apiErr.Message, `has no model "other"`)
}

// An engine breaks its answers in each possible way. The caller must get the complete
// answer or see that it failed.
func TestBrokenAnswersAreVisible(t *testing.T) {
	faults := []standin.Fault{
		standin.FaultDisconnect, standin.FaultCrash, standin.FaultTruncate, standin.FaultStall, standin.FaultReject, standin.FaultError,
		standin.FaultDuplicate, standin.FaultWrongAttempt, standin.FaultShortBody, standin.FaultGarbage, standin.FaultLate,
	}
	for _, fault := range faults {
		for _, stream := range []bool{false, true} {
			if stream && fault == standin.FaultGarbage {
				continue // the content of events is not checked
			}
			t.Run(fmt.Sprintf("%s/stream=%t", fault, stream), func(t *testing.T) {
				t.Parallel()
				host, engine, _ := newHostWithEngines(t)
				engine.SetFault(fault, -1)
				a := host.call(t, http.MethodPost, chatPath, chatBody(stream), request.HeaderDeadline, "1s")
				complete := isComplete(a, stream)
				resumable := stream && (fault == standin.FaultDisconnect || fault == standin.FaultDuplicate)
				must.Eq(t, resumable, complete, must.Sprintf("%+v", a))
				if !complete {
					must.True(t, a.err != nil || a.status >= 400, must.Sprintf("incomplete answer ended without an error: %+v", a))
				}
			})
		}
	}
}

func TestStreamResumesAfterLastByte(t *testing.T) {
	host, engine, _ := newHostWithEngines(t)
	engine.SetFault(standin.FaultDisconnect, 1)
	must.True(t, isComplete(host.call(t, http.MethodPost, chatPath, chatBody(true)), true))
	must.Eq(t, 1, engine.Stats().Started, must.Sprint("the engine must run the request only once"))
}

func TestRequestRejectedByOneEngineRunsOnAnother(t *testing.T) {
	first := standin.NewEngine(standin.EngineOptions{Name: "e1"})
	second := standin.NewEngine(standin.EngineOptions{Name: "e2"})
	first.SetFault(standin.FaultReject, -1)
	host := newTestHost(t, "a", declarations(bothRegions, newEngine("e1", modelService, "da", serveLoopback(t, first)), newEngine("e2", modelService, "da", serveLoopback(t, second))))
	for range 5 {
		must.True(t, isComplete(host.call(t, http.MethodPost, chatPath, chatBody(false)), false))
	}
	must.Eq(t, 5, second.Stats().Finished)
}

// A host that the selectors forbid must not read any byte of the body. The test counts the
// bytes that the host reads from the connection.
func TestForbiddenHostReadsNoBody(t *testing.T) {
	host := newTestHost(t, "a", declarations("region=b"))
	other := newTestHost(t, "b", declarations("region=b"))
	for _, peerKnown := range []bool{false, true} {
		status := "403 Forbidden"
		if peerKnown {
			host.peers = []declare.Host{other.declaration()}
			status = "307 Temporary Redirect"
		}
		host.callerBytes.Store(0)
		conn, err := net.Dial("tcp", strings.TrimPrefix(host.callersURL, "http://"))
		must.NoError(t, err)
		head := "POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nLinenscale-Home: a\r\nContent-Length: 100000\r\n\r\n"
		_, err = io.WriteString(conn, head)
		must.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		must.Eq(t, status, resp.Status)
		must.Eq(t, request.OutcomeValueNotRun, resp.Header.Get(request.HeaderOutcome))
		must.True(t, resp.Close)
		if peerKnown {
			must.Eq(t, other.callersURL+chatPath, resp.Header.Get("Location"))
		}
		_, _ = io.WriteString(conn, strings.Repeat("secret", 10_000))
		time.Sleep(50 * time.Millisecond)
		must.Eq(t, int64(len(head)), host.callerBytes.Load(), must.Sprint("bytes read by the forbidden host"))
		conn.Close()
	}
}

func TestConflictingPermitsHandOverOnce(t *testing.T) {
	// a permits both regions and hands the request over to b. b permits only a, so it
	// would hand the request back if it could.
	a := newTestHost(t, "a", declarations(bothRegions))
	b := newTestHost(t, "b", declarations("region=a"))
	a.peers, b.peers = []declare.Host{b.declaration()}, []declare.Host{a.declaration()}
	b.remoteDigests = []route.Digest{{Region: "a", Slots: 8, At: time.Now(), RoundTrip: time.Millisecond}}
	a.remoteDigests = []route.Digest{{Region: "b", Slots: 8, At: time.Now(), RoundTrip: time.Millisecond}}
	got := a.call(t, http.MethodPost, chatPath, chatBody(false), request.HeaderHome, "b")
	must.Eq(t, request.OutcomeValueNotRun, got.header.Get(request.HeaderOutcome))
	must.Eq(t, 1, b.handovers.Load())
	must.Eq(t, 0, a.handovers.Load())
}

func TestSecondHandoverIsRejected(t *testing.T) {
	host, engine, _ := newHostWithEngines(t)
	req, err := http.NewRequest(http.MethodPost, "http://"+host.handoverAddress+chatPath, strings.NewReader(chatBody(false)))
	must.NoError(t, err)
	req.Header.Set(request.HeaderHome, "a")
	req.Header.Set("Linenscale-Handover-Path", "x,y")
	req.Header.Set("Linenscale-Handover-Remaining", "1000")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.Eq(t, http.StatusLoopDetected, resp.StatusCode)
	must.Eq(t, 0, engine.Stats().Started)
}

func TestHandoverToHomeRegionDeliversWholeAnswer(t *testing.T) {
	engine := standin.NewEngine(standin.EngineOptions{Name: "eb"})
	plain := standin.NewPlain("pb", 0)
	all := declarations(bothRegions, newEngine("eb", modelService, "db", serveLoopback(t, engine)), newEngine("pb", plainService, "db", serveLoopback(t, plain)))
	a, b := newTestHost(t, "a", all), newTestHost(t, "b", all)
	a.peers = []declare.Host{b.declaration()}
	a.remoteDigests = []route.Digest{{Region: "b", Slots: 8, At: time.Now(), RoundTrip: time.Millisecond}}
	must.True(t, isComplete(a.call(t, http.MethodPost, chatPath, chatBody(true), request.HeaderHome, "b"), true))
	must.True(t, isComplete(a.call(t, http.MethodPost, chatPath, chatBody(false), request.HeaderHome, "b"), false))
	upload := a.call(t, http.MethodPut, "/services/portal/x", strings.Repeat("y", 1<<20), request.HeaderHome, "b", "Order", "up")
	must.Eq(t, http.StatusOK, upload.status)
	must.Eq(t, 1<<20, plain.BytesRead())
	engine.SetFault(standin.FaultCrash, -1)
	broken := a.call(t, http.MethodPost, chatPath, chatBody(true), request.HeaderHome, "b")
	must.True(t, broken.err != nil || broken.status >= 400, must.Sprintf("%+v", broken))
}

func TestLateAnswerIsDiscarded(t *testing.T) {
	host, engine, _ := newHostWithEngines(t)
	engine.SetFault(standin.FaultLate, 1)
	late := host.call(t, http.MethodPost, chatPath, chatBody(false), request.HeaderDeadline, "100ms")
	must.GreaterEq(t, 400, late.status)
	must.True(t, isComplete(host.call(t, http.MethodPost, chatPath, chatBody(false)), false))
}

func TestSecondAnswerIsDiscarded(t *testing.T) {
	host, _, plain := newHostWithEngines(t)
	for i := range 20 {
		plain.SetFault(standin.FaultDuplicate, 1)
		first := host.call(t, http.MethodGet, fmt.Sprintf("/services/portal/first-%d", i), "")
		must.StrContains(t, first.body, fmt.Sprintf("first-%d", i))
		second := host.call(t, http.MethodGet, fmt.Sprintf("/services/portal/second-%d", i), "")
		must.StrContains(t, second.body, fmt.Sprintf("second-%d", i))
	}
}

func TestCallerCancellationReachesEngine(t *testing.T) {
	host, engine, _ := newHostWithEngines(t)
	engine.SetFault(standin.FaultStall, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, host.callersURL+chatPath, strings.NewReader(chatBody(true)))
	must.NoError(t, err)
	req.Header.Set(request.HeaderHome, "a")
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	must.Error(t, err)
	for range 100 {
		if engine.Stats().Cancelled == 1 && host.fleet.InFlight("e1") == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("not cancelled: %+v, in flight %d", engine.Stats(), host.fleet.InFlight("e1"))
}

func TestUnrepeatableCallIsSentOnce(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultCrash, standin.FaultDisconnect, standin.FaultStall} {
		host, _, plain := newHostWithEngines(t)
		plain.SetFault(fault, -1)
		a := host.call(t, http.MethodPost, "/services/portal/orders", "order", "Order", "o1", request.HeaderDeadline, "500ms")
		must.True(t, a.err != nil || a.header.Get(request.HeaderOutcome) == request.OutcomeValueUnknown, must.Sprintf("%s: %+v", fault, a))
		must.Eq(t, 1, plain.Runs("o1"), must.Sprint(fault))
	}
}

func TestCallToUnreachableEngineIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	listener.Close()
	host := newTestHost(t, "a", declarations(bothRegions, newEngine("p1", plainService, "da", listener.Addr().String())))
	a := host.call(t, http.MethodPost, "/services/portal/orders", "order")
	must.Eq(t, request.OutcomeValueNotRun, a.header.Get(request.HeaderOutcome))
	must.NotEq(t, "", a.header.Get("Retry-After"))
}

func TestKeyedCallRunsOnce(t *testing.T) {
	host, _, plain := newHostWithEngines(t)
	order := func(body string) answer {
		return host.call(t, http.MethodPost, "/services/portal/orders", body, request.HeaderIdempotencyKey, "k1", "Order", "o1")
	}
	first := order("two boards")
	must.Eq(t, http.StatusOK, first.status)
	again := order("two boards")
	must.Eq(t, first.body, again.body)
	must.Eq(t, "true", again.header.Get("Idempotency-Replayed"))
	other := order("three boards")
	must.Eq(t, http.StatusConflict, other.status)
	must.Eq(t, 1, plain.Runs("o1"))
	otherAccount := host.call(t, http.MethodPost, "/services/portal/orders", "two boards", request.HeaderIdempotencyKey, "k1", request.HeaderAccount, "other", "Order", "o2")
	must.Eq(t, "", otherAccount.header.Get("Idempotency-Replayed"), must.Sprint("a key is valid for one account only"))
}

func TestKeyedCallWithBrokenAnswerStaysUnknown(t *testing.T) {
	host, _, plain := newHostWithEngines(t)
	plain.SetFault(standin.FaultCrash, 1)
	order := func() answer {
		return host.call(t, http.MethodPost, "/services/portal/orders", "x", request.HeaderIdempotencyKey, "k1", "Order", "o1")
	}
	must.Eq(t, request.OutcomeValueUnknown, order().header.Get(request.HeaderOutcome))
	must.Eq(t, request.OutcomeValueUnknown, order().header.Get(request.HeaderOutcome))
	must.Eq(t, 1, plain.Runs("o1"))
}

func TestKeyedCallIsNotRunWithoutItsHomeRegion(t *testing.T) {
	host, _, plain := newHostWithEngines(t)
	host.keys.unavailable.Store(true)
	a := host.call(t, http.MethodPost, "/services/portal/orders", "x", request.HeaderIdempotencyKey, "k1", "Order", "o1")
	must.Eq(t, request.OutcomeValueNotRun, a.header.Get(request.HeaderOutcome))
	must.Eq(t, 0, plain.Runs("o1"))
	host.keys.unavailable.Store(false)
	must.Eq(t, http.StatusOK, host.call(t, http.MethodPost, "/services/portal/orders", "x", request.HeaderIdempotencyKey, "k1", "Order", "o1").status)
}

func TestNoRequestRunsWithoutLease(t *testing.T) {
	host, engine, _ := newHostWithEngines(t)
	host.noLease.Store(true)
	a := host.call(t, http.MethodPost, chatPath, chatBody(false))
	must.Eq(t, request.OutcomeValueNotRun, a.header.Get(request.HeaderOutcome))
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	must.Eq(t, 0, engine.Stats().Started)
	must.Eq(t, http.StatusServiceUnavailable, host.call(t, http.MethodGet, "/readyz", "").status)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	host, engine, plain := newHostWithEngines(t)
	cases := []struct {
		name, path, body string
		headers          []string
		status           int
	}{
		{"malformed JSON", chatPath, `{"model":`, nil, 400},
		{"no model", chatPath, `{"messages":[]}`, nil, 400},
		{"unknown model", chatPath, `{"model":"x","messages":[]}`, nil, 400},
		{"unknown service", "/services/none/v1/chat/completions", "{}", nil, 404},
		{"unknown path", "/nothing", "{}", nil, 404},
		{"model path that isn't served", "/services/assistant/v1/files", "{}", nil, 404},
		{"no home", chatPath, "{}", []string{request.HeaderHome, ""}, 400},
		{"home that is no region", chatPath, "{}", []string{request.HeaderHome, "nowhere"}, 400},
		{"unknown class", chatPath, "{}", []string{request.HeaderClass, "urgent"}, 400},
		{"bad deadline", chatPath, "{}", []string{request.HeaderDeadline, "soon"}, 400},
		{"long key", "/services/portal/x", "", []string{request.HeaderIdempotencyKey, strings.Repeat("k", 300)}, 400},
		{"forged hand-over", chatPath, chatBody(false), []string{"Linenscale-Handover-Path", "host-b"}, 400},
		{"oversized headers", chatPath, "{}", []string{"X-Long", strings.Repeat("x", 64<<10)}, 431},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := host.call(t, http.MethodPost, c.path, c.body, c.headers...)
			must.Eq(t, c.status, a.status, must.Sprintf("%+v", a))
		})
	}
	must.Eq(t, 0, engine.Stats().Started)
	must.Eq(t, 0, plain.BytesRead())
}

func TestTruncatedBodyIsNotRun(t *testing.T) {
	host, engine, _ := newHostWithEngines(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(host.callersURL, "http://"))
	must.NoError(t, err)
	_, err = io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nLinenscale-Home: a\r\nContent-Length: 1000\r\n\r\n{\"model\":")
	must.NoError(t, err)
	must.NoError(t, conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusBadRequest, resp.StatusCode)
	must.Eq(t, 0, engine.Stats().Started)
}

// A service ends its answer by closing the connection, which can't be told apart from a
// connection that broke before the end of the answer.
func TestAnswerWithoutLengthIsNotDelivered(t *testing.T) {
	service := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf an answer")
			conn.Close()
		}
	})
	host := newTestHost(t, "a", declarations(bothRegions, newEngine("p1", plainService, "da", serveLoopback(t, service))))
	a := host.call(t, http.MethodGet, "/services/portal/x", "")
	must.Eq(t, http.StatusBadGateway, a.status)
	must.StrNotContains(t, a.body, "half an answer")
}

func TestEngineCannotForgeOutcome(t *testing.T) {
	service := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(request.HeaderOutcome, request.OutcomeValueNotRun)
		w.Header().Set(relay.HeaderAttempt, "x")
		_, _ = io.WriteString(w, "done")
	})
	host := newTestHost(t, "a", declarations(bothRegions, newEngine("p1", plainService, "da", serveLoopback(t, service))))
	a := host.call(t, http.MethodPost, "/services/portal/x", "")
	must.Eq(t, http.StatusOK, a.status)
	must.Eq(t, "", a.header.Get(request.HeaderOutcome))
}

// A caller requests a long answer but reads none of it. Other callers must be served in
// the meantime, and the engine's slot must be released.
func TestSlowCallerIsDisconnected(t *testing.T) {
	service := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/long" {
			return
		}
		chunk := make([]byte, 64<<10)
		for range 1024 {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
	host := newTestHost(t, "a", declarations(bothRegions, newEngine("p1", plainService, "da", serveLoopback(t, service))))
	conn, err := net.Dial("tcp", strings.TrimPrefix(host.callersURL, "http://"))
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /services/portal/long HTTP/1.1\r\nHost: x\r\nLinenscale-Home: a\r\n\r\n")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, host.call(t, http.MethodGet, "/services/portal/short", "").status)
	for range 200 {
		if host.fleet.InFlight("p1") == 0 && host.server.InFlight() == 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the slow caller's slot has not been released")
}

// A call with an idempotency key is handed over to its home region after the first host
// has recorded its intent. The second host must not mistake that intent for an earlier
// call.
func TestHandedOverKeyedCallRecordsIntentOnce(t *testing.T) {
	plain := standin.NewPlain("pb", 0)
	all := declarations(bothRegions, newEngine("pb", plainService, "db", serveLoopback(t, plain)))
	a, b := newTestHost(t, "a", all), newTestHost(t, "b", all)
	b.keys.table = a.keys.table // both hosts use the same home region
	a.peers = []declare.Host{b.declaration()}
	a.remoteDigests = []route.Digest{{Region: "b", Slots: 8, At: time.Now(), RoundTrip: time.Millisecond}}
	order := func() answer {
		return a.call(t, http.MethodPost, "/services/portal/orders", "x", request.HeaderHome, "b", request.HeaderIdempotencyKey, "k", "Order", "o1")
	}
	first := order()
	must.Eq(t, http.StatusOK, first.status, must.Sprintf("%+v", first))
	must.Eq(t, first.body, order().body)
	must.Eq(t, 1, plain.Runs("o1"))
	must.Eq(t, 1, b.handovers.Load())
}

// The only engine announces a rate limit. A host without a share of the limit, since it
// is not declared in this region, must send no more requests and reject them with a
// Retry-After.
func TestEngineRateLimitIsRespected(t *testing.T) {
	host, engine, _ := newHostWithEngines(t)
	engine.SetRateLimit("0.25")
	must.True(t, isComplete(host.call(t, http.MethodPost, chatPath, chatBody(false)), false))
	a := host.call(t, http.MethodPost, chatPath, chatBody(false))
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	must.NotEq(t, "", a.header.Get("Retry-After"))
	must.Eq(t, 1, engine.Stats().Started)
}

// One of two engines rejects requests and asks for backoff, while the other one serves
// them. Without the backoff, the first engine would remain the preferred one and get each
// request first. If both ask for backoff, requests are rejected at once, with the time
// until the first backoff ends as Retry-After.
func TestEngineInBackoffGetsNoRequests(t *testing.T) {
	host, first, second := newHostWithTwoModelEngines(t)
	first.SetBackoff("60")
	for range 20 {
		must.True(t, isComplete(host.call(t, http.MethodPost, chatPath, chatBody(false)), false))
	}
	must.LessEq(t, 1, first.Stats().Refused)
	second.SetBackoff("30.5")
	must.Eq(t, http.StatusServiceUnavailable, host.call(t, http.MethodPost, chatPath, chatBody(false)).status)
	last := host.call(t, http.MethodPost, chatPath, chatBody(false))
	must.Eq(t, http.StatusServiceUnavailable, last.status)
	retryAfter, err := strconv.Atoi(last.header.Get("Retry-After"))
	must.NoError(t, err)
	must.Between(t, 25, retryAfter, 31)
	must.LessEq(t, 2, first.Stats().Refused+second.Stats().Refused)
}

// One of two engines announces in its answers that it is draining.
func TestDrainingEngineGetsNoNewRequests(t *testing.T) {
	host, draining, _ := newHostWithTwoModelEngines(t)
	for draining.Stats().Started == 0 {
		must.True(t, isComplete(host.call(t, http.MethodPost, chatPath, chatBody(false)), false))
	}
	draining.SetDraining(true)
	for range 20 {
		must.True(t, isComplete(host.call(t, http.MethodPost, chatPath, chatBody(false)), false))
	}
	must.LessEq(t, 2, draining.Stats().Started)
}

// TestLongAnswerBrokenOffBehindAHandOverIsVisible guards against an answer that the service of
// another region broke off and that ends like a whole one for its caller.
func TestLongAnswerBrokenOffBehindAHandOverIsVisible(t *testing.T) {
	const half = 300 << 10
	framings := map[string]func(w http.ResponseWriter){
		"length": func(w http.ResponseWriter) { w.Header().Set("Content-Length", strconv.Itoa(2*half)) },
		"chunks": func(http.ResponseWriter) {},
	}
	for name, setFraming := range framings {
		t.Run(name, func(t *testing.T) {
			service := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				setFraming(w)
				_, _ = io.WriteString(w, strings.Repeat("x", half))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			all := declarations(bothRegions, newEngine("p1", plainService, "db", serveLoopback(t, service)))
			a, b := newTestHost(t, "a", all), newTestHost(t, "b", all)
			a.peers = []declare.Host{b.declaration()}
			a.remoteDigests = []route.Digest{{Region: "b", Slots: 8, At: time.Now(), RoundTrip: time.Millisecond}}
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				got := a.call(t, method, "/services/portal/x", "", request.HeaderHome, "b")
				must.Positive(t, len(got.body), must.Sprint("the answer begins"))
				must.Error(t, got.err)
			}
		})
	}
}
