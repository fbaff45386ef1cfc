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
	chatPath = "/services/assistant/v1/chat/completions"
	anywhere = "region in (a, b)"
	tokens   = 6
)

func chatBody(stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, modelName, stream, tokens)
}

// one gives an entry host of region a before a single model engine and a
// single plain service.
func one(t *testing.T) (*entry, *standin.Engine, *standin.Plain) {
	t.Helper()
	engine := standin.NewEngine(standin.EngineOptions{Name: "e1"})
	plain := standin.NewPlain("p1", 0)
	all := objects(anywhere, engineAt("e1", modelService, "da", serve(t, engine)), engineAt("p1", plainService, "da", serve(t, plain)))
	return newEntry(t, "a", all), engine, plain
}

// two gives an entry host before two model engines.
func two(t *testing.T) (*entry, *standin.Engine, *standin.Engine) {
	t.Helper()
	a, b := standin.NewEngine(standin.EngineOptions{Name: "e1"}), standin.NewEngine(standin.EngineOptions{Name: "e2"})
	all := objects(anywhere, engineAt("e1", modelService, "da", serve(t, a)), engineAt("e2", modelService, "da", serve(t, b)))
	return newEntry(t, "a", all), a, b
}

// whole tells whether an answer holds every token once, in order, and ends as
// it should.
func whole(a answer, stream bool) bool {
	if a.err != nil || a.status != http.StatusOK {
		return false
	}
	if stream && (strings.Count(a.body, "[DONE]") != 1 || !strings.HasSuffix(a.body, "data: [DONE]\n\n")) {
		return false
	}
	at := 0
	for i := range tokens {
		next := strings.Index(a.body[at:], fmt.Sprintf(" t%d", i))
		if next < 0 || strings.Count(a.body, fmt.Sprintf(" t%d", i)) != 1 {
			return false
		}
		at += next
	}
	return true
}

func TestAnswers(t *testing.T) {
	e, _, plain := one(t)
	must.True(t, whole(e.call(t, http.MethodPost, chatPath, chatBody(false)), false))
	must.True(t, whole(e.call(t, http.MethodPost, chatPath, chatBody(true)), true))
	a := e.call(t, http.MethodPut, "/services/portal/drill/7", strings.Repeat("x", 3<<20), "Order", "o7")
	must.Eq(t, http.StatusOK, a.status)
	must.Eq(t, 3<<20, plain.Bytes())
	must.Eq(t, 1, plain.Ran("o7"))
}

func TestOpenAIClient(t *testing.T) {
	e, _, _ := one(t)
	client := openai.NewClient(option.WithBaseURL(e.callers+"/services/assistant/v1/"), option.WithAPIKey("none"), option.WithHeader(request.HeaderHome, "a"), option.WithMaxRetries(0))
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
	var refused *openai.Error
	must.True(t, errors.As(err, &refused))
	must.Eq(t, http.StatusBadRequest, refused.StatusCode)
	must.StrContains(t, refused.Message, `has no model "other"`)
}

// TestBrokenAnswersAreVisible lets an engine break every answer in each way.
// The caller must get the whole answer or see that it failed.
func TestBrokenAnswersAreVisible(t *testing.T) {
	faults := []standin.Fault{
		standin.FaultCut, standin.FaultDie, standin.FaultEnd, standin.FaultStall, standin.FaultRefuse, standin.FaultError,
		standin.FaultTwice, standin.FaultCrossed, standin.FaultShortLen, standin.FaultGarbage, standin.FaultLate,
	}
	for _, fault := range faults {
		for _, stream := range []bool{false, true} {
			if stream && fault == standin.FaultGarbage {
				continue // what an event says isn't looked at
			}
			t.Run(fmt.Sprintf("%s/stream=%t", fault, stream), func(t *testing.T) {
				t.Parallel()
				e, engine, _ := one(t)
				engine.SetFault(fault, -1)
				a := e.call(t, http.MethodPost, chatPath, chatBody(stream), request.HeaderDeadline, "1s")
				complete := whole(a, stream)
				resumable := stream && (fault == standin.FaultCut || fault == standin.FaultTwice)
				must.Eq(t, resumable, complete, must.Sprintf("%+v", a))
				if !complete {
					must.True(t, a.err != nil || a.status >= 400, must.Sprintf("a clean end: %+v", a))
				}
			})
		}
	}
}

func TestStreamIsResumedFromTheLastByte(t *testing.T) {
	e, engine, _ := one(t)
	engine.SetFault(standin.FaultCut, 1)
	must.True(t, whole(e.call(t, http.MethodPost, chatPath, chatBody(true)), true))
	must.Eq(t, 1, engine.Stats().Started, must.Sprint("the engine must not run it again"))
}

func TestRefusedByOneEngineRunsOnAnother(t *testing.T) {
	first := standin.NewEngine(standin.EngineOptions{Name: "e1"})
	second := standin.NewEngine(standin.EngineOptions{Name: "e2"})
	first.SetFault(standin.FaultRefuse, -1)
	e := newEntry(t, "a", objects(anywhere, engineAt("e1", modelService, "da", serve(t, first)), engineAt("e2", modelService, "da", serve(t, second))))
	for range 5 {
		must.True(t, whole(e.call(t, http.MethodPost, chatPath, chatBody(false)), false))
	}
	must.Eq(t, 5, second.Stats().Finished)
}

// TestForbiddenHostReadsNoByteOfTheBody sends a request to a host that the
// selectors forbid, and counts what the host reads from the connection.
func TestForbiddenHostReadsNoByteOfTheBody(t *testing.T) {
	e := newEntry(t, "a", objects("region=b"))
	other := newEntry(t, "b", objects("region=b"))
	for _, known := range []bool{false, true} {
		status := "403 Forbidden"
		if known {
			e.entries = []declare.Host{other.object()}
			status = "307 Temporary Redirect"
		}
		e.reads.Store(0)
		conn, err := net.Dial("tcp", strings.TrimPrefix(e.callers, "http://"))
		must.NoError(t, err)
		head := "POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nLinenscale-Home: a\r\nContent-Length: 100000\r\n\r\n"
		_, err = io.WriteString(conn, head)
		must.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		must.Eq(t, status, resp.Status)
		must.Eq(t, request.NotRunValue, resp.Header.Get(request.HeaderOutcome))
		must.True(t, resp.Close)
		if known {
			must.Eq(t, other.callers+chatPath, resp.Header.Get("Location"))
		}
		_, _ = io.WriteString(conn, strings.Repeat("secret", 10_000))
		time.Sleep(50 * time.Millisecond)
		must.Eq(t, int64(len(head)), e.reads.Load(), must.Sprint("bytes read by the forbidden host"))
		conn.Close()
	}
}

func TestContradictoryPermitsPassARequestOnce(t *testing.T) {
	// a permits both regions and would hand over to b; b permits only a, and
	// has a's engines too, so that it would hand back if it could.
	a := newEntry(t, "a", objects(anywhere))
	b := newEntry(t, "b", objects("region=a"))
	a.entries, b.entries = []declare.Host{b.object()}, []declare.Host{a.object()}
	b.regions = []route.Digest{{Region: "a", Slots: 8, At: time.Now(), RoundTrip: time.Millisecond}}
	a.regions = []route.Digest{{Region: "b", Slots: 8, At: time.Now(), RoundTrip: time.Millisecond}}
	got := a.call(t, http.MethodPost, chatPath, chatBody(false), request.HeaderHome, "b")
	must.Eq(t, request.NotRunValue, got.header.Get(request.HeaderOutcome))
	must.Eq(t, 1, b.arrived.Load())
	must.Eq(t, 0, a.arrived.Load())
}

func TestHandedOverTwiceIsRefused(t *testing.T) {
	e, engine, _ := one(t)
	req, err := http.NewRequest(http.MethodPost, "http://"+e.handover+chatPath, strings.NewReader(chatBody(false)))
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

func TestHandoverGoesHomeAndComesBackWhole(t *testing.T) {
	engine := standin.NewEngine(standin.EngineOptions{Name: "eb"})
	plain := standin.NewPlain("pb", 0)
	all := objects(anywhere, engineAt("eb", modelService, "db", serve(t, engine)), engineAt("pb", plainService, "db", serve(t, plain)))
	a, b := newEntry(t, "a", all), newEntry(t, "b", all)
	a.entries = []declare.Host{b.object()}
	a.regions = []route.Digest{{Region: "b", Slots: 8, At: time.Now(), RoundTrip: time.Millisecond}}
	must.True(t, whole(a.call(t, http.MethodPost, chatPath, chatBody(true), request.HeaderHome, "b"), true))
	must.True(t, whole(a.call(t, http.MethodPost, chatPath, chatBody(false), request.HeaderHome, "b"), false))
	up := a.call(t, http.MethodPut, "/services/portal/x", strings.Repeat("y", 1<<20), request.HeaderHome, "b", "Order", "up")
	must.Eq(t, http.StatusOK, up.status)
	must.Eq(t, 1<<20, plain.Bytes())
	engine.SetFault(standin.FaultDie, -1)
	broken := a.call(t, http.MethodPost, chatPath, chatBody(true), request.HeaderHome, "b")
	must.True(t, broken.err != nil || broken.status >= 400, must.Sprintf("%+v", broken))
}

func TestLateAnswerReachesNobody(t *testing.T) {
	e, engine, _ := one(t)
	engine.SetFault(standin.FaultLate, 1)
	late := e.call(t, http.MethodPost, chatPath, chatBody(false), request.HeaderDeadline, "100ms")
	must.GreaterEq(t, 400, late.status)
	must.True(t, whole(e.call(t, http.MethodPost, chatPath, chatBody(false)), false))
}

func TestSecondAnswerReachesNobody(t *testing.T) {
	e, _, plain := one(t)
	for i := range 20 {
		plain.SetFault(standin.FaultTwice, 1)
		first := e.call(t, http.MethodGet, fmt.Sprintf("/services/portal/first-%d", i), "")
		must.StrContains(t, first.body, fmt.Sprintf("first-%d", i))
		second := e.call(t, http.MethodGet, fmt.Sprintf("/services/portal/second-%d", i), "")
		must.StrContains(t, second.body, fmt.Sprintf("second-%d", i))
	}
}

func TestCancelledCallerCancelsTheEngine(t *testing.T) {
	e, engine, _ := one(t)
	engine.SetFault(standin.FaultStall, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.callers+chatPath, strings.NewReader(chatBody(true)))
	must.NoError(t, err)
	req.Header.Set(request.HeaderHome, "a")
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	must.Error(t, err)
	for range 100 {
		if engine.Stats().Cancelled == 1 && e.fleet.InFlight("e1") == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("not cancelled: %+v, in flight %d", engine.Stats(), e.fleet.InFlight("e1"))
}

func TestUnrepeatableCallIsSentOnce(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultDie, standin.FaultCut, standin.FaultStall} {
		e, _, plain := one(t)
		plain.SetFault(fault, -1)
		a := e.call(t, http.MethodPost, "/services/portal/orders", "order", "Order", "o1", request.HeaderDeadline, "500ms")
		must.True(t, a.err != nil || a.header.Get(request.HeaderOutcome) == request.OutcomeUnknownValue, must.Sprintf("%s: %+v", fault, a))
		must.Eq(t, 1, plain.Ran("o1"), must.Sprint(fault))
	}
}

func TestUnreachableEngineIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	listener.Close()
	e := newEntry(t, "a", objects(anywhere, engineAt("p1", plainService, "da", listener.Addr().String())))
	a := e.call(t, http.MethodPost, "/services/portal/orders", "order")
	must.Eq(t, request.NotRunValue, a.header.Get(request.HeaderOutcome))
	must.NotEq(t, "", a.header.Get("Retry-After"))
}

func TestKeyedCallRunsOnce(t *testing.T) {
	e, _, plain := one(t)
	order := func(body string) answer {
		return e.call(t, http.MethodPost, "/services/portal/orders", body, request.HeaderIdempotency, "k1", "Order", "o1")
	}
	first := order("two boards")
	must.Eq(t, http.StatusOK, first.status)
	again := order("two boards")
	must.Eq(t, first.body, again.body)
	must.Eq(t, "true", again.header.Get("Idempotency-Replayed"))
	other := order("three boards")
	must.Eq(t, http.StatusConflict, other.status)
	must.Eq(t, 1, plain.Ran("o1"))
	stranger := e.call(t, http.MethodPost, "/services/portal/orders", "two boards", request.HeaderIdempotency, "k1", request.HeaderAccount, "other", "Order", "o2")
	must.Eq(t, "", stranger.header.Get("Idempotency-Replayed"), must.Sprint("the key belongs to an account"))
}

func TestKeyedCallWhoseAnswerBrokeStaysUnknown(t *testing.T) {
	e, _, plain := one(t)
	plain.SetFault(standin.FaultDie, 1)
	order := func() answer {
		return e.call(t, http.MethodPost, "/services/portal/orders", "x", request.HeaderIdempotency, "k1", "Order", "o1")
	}
	must.Eq(t, request.OutcomeUnknownValue, order().header.Get(request.HeaderOutcome))
	must.Eq(t, request.OutcomeUnknownValue, order().header.Get(request.HeaderOutcome))
	must.Eq(t, 1, plain.Ran("o1"))
}

func TestKeyedCallWithoutItsHomeIsNotRun(t *testing.T) {
	e, _, plain := one(t)
	e.keys.down.Store(true)
	a := e.call(t, http.MethodPost, "/services/portal/orders", "x", request.HeaderIdempotency, "k1", "Order", "o1")
	must.Eq(t, request.NotRunValue, a.header.Get(request.HeaderOutcome))
	must.Eq(t, 0, plain.Ran("o1"))
	e.keys.down.Store(false)
	must.Eq(t, http.StatusOK, e.call(t, http.MethodPost, "/services/portal/orders", "x", request.HeaderIdempotency, "k1", "Order", "o1").status)
}

func TestWithoutALeaseNothingRuns(t *testing.T) {
	e, engine, _ := one(t)
	e.noLease.Store(true)
	a := e.call(t, http.MethodPost, chatPath, chatBody(false))
	must.Eq(t, request.NotRunValue, a.header.Get(request.HeaderOutcome))
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	must.Eq(t, 0, engine.Stats().Started)
	must.Eq(t, http.StatusServiceUnavailable, e.call(t, http.MethodGet, "/readyz", "").status)
}

func TestBadInput(t *testing.T) {
	e, engine, plain := one(t)
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
		{"long key", "/services/portal/x", "", []string{request.HeaderIdempotency, strings.Repeat("k", 300)}, 400},
		{"forged hand-over", chatPath, chatBody(false), []string{"Linenscale-Handover-Path", "host-b"}, 400},
		{"oversized headers", chatPath, "{}", []string{"X-Long", strings.Repeat("x", 64<<10)}, 431},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := e.call(t, http.MethodPost, c.path, c.body, c.headers...)
			must.Eq(t, c.status, a.status, must.Sprintf("%+v", a))
		})
	}
	must.Eq(t, 0, engine.Stats().Started)
	must.Eq(t, 0, plain.Bytes())
}

func TestBodyThatEndsEarlyRunsNothing(t *testing.T) {
	e, engine, _ := one(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.callers, "http://"))
	must.NoError(t, err)
	_, err = io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nLinenscale-Home: a\r\nContent-Length: 1000\r\n\r\n{\"model\":")
	must.NoError(t, err)
	must.NoError(t, conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusBadRequest, resp.StatusCode)
	must.Eq(t, 0, engine.Stats().Started)
}

// TestAnswerWithoutALengthIsNotPassedOn lets a service end its answer by
// closing the connection, which looks the same as a cut.
func TestAnswerWithoutALengthIsNotPassedOn(t *testing.T) {
	service := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf an answer")
			conn.Close()
		}
	})
	e := newEntry(t, "a", objects(anywhere, engineAt("p1", plainService, "da", serve(t, service))))
	a := e.call(t, http.MethodGet, "/services/portal/x", "")
	must.Eq(t, http.StatusBadGateway, a.status)
	must.StrNotContains(t, a.body, "half an answer")
}

func TestEnginesAnswersCannotForgeOutcomes(t *testing.T) {
	service := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(request.HeaderOutcome, request.NotRunValue)
		w.Header().Set(relay.HeaderAttempt, "x")
		_, _ = io.WriteString(w, "done")
	})
	e := newEntry(t, "a", objects(anywhere, engineAt("p1", plainService, "da", serve(t, service))))
	a := e.call(t, http.MethodPost, "/services/portal/x", "")
	must.Eq(t, http.StatusOK, a.status)
	must.Eq(t, "", a.header.Get(request.HeaderOutcome))
}

// TestSlowCallerIsLetGo lets a caller ask for a long answer and read nothing of
// it. Others must be served meanwhile, and the engine's slot given back.
func TestSlowCallerIsLetGo(t *testing.T) {
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
	e := newEntry(t, "a", objects(anywhere, engineAt("p1", plainService, "da", serve(t, service))))
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.callers, "http://"))
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /services/portal/long HTTP/1.1\r\nHost: x\r\nLinenscale-Home: a\r\n\r\n")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, e.call(t, http.MethodGet, "/services/portal/short", "").status)
	for range 200 {
		if e.fleet.InFlight("p1") == 0 && e.server.InFlight() == 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the slow caller still holds its slot")
}

// TestKeyedCallThatIsHandedOverAsksItsHomeOnce lets a call with a key arrive away
// from its home region: the host that took it in has recorded the intent, so the
// one that it is handed to must not take that for an earlier call.
func TestKeyedCallThatIsHandedOverAsksItsHomeOnce(t *testing.T) {
	plain := standin.NewPlain("pb", 0)
	all := objects(anywhere, engineAt("pb", plainService, "db", serve(t, plain)))
	a, b := newEntry(t, "a", all), newEntry(t, "b", all)
	b.keys.table = a.keys.table // one home
	a.entries = []declare.Host{b.object()}
	a.regions = []route.Digest{{Region: "b", Slots: 8, At: time.Now(), RoundTrip: time.Millisecond}}
	order := func() answer {
		return a.call(t, http.MethodPost, "/services/portal/orders", "x", request.HeaderHome, "b", request.HeaderIdempotency, "k", "Order", "o1")
	}
	first := order()
	must.Eq(t, http.StatusOK, first.status, must.Sprintf("%+v", first))
	must.Eq(t, first.body, order().body)
	must.Eq(t, 1, plain.Ran("o1"))
	must.Eq(t, 1, b.arrived.Load())
}

// TestAnEngineThatNamesALimitIsSpared has the only engine name a limit in its answers. A host
// that has no share of it, since it isn't declared in this region, sends it nothing more, and
// tells callers when to come back.
func TestAnEngineThatNamesALimitIsSpared(t *testing.T) {
	e, engine, _ := one(t)
	engine.SetLimit("0.25")
	must.True(t, whole(e.call(t, http.MethodPost, chatPath, chatBody(false)), false))
	a := e.call(t, http.MethodPost, chatPath, chatBody(false))
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	must.NotEq(t, "", a.header.Get("Retry-After"))
	must.Eq(t, 1, engine.Stats().Started)
}

// TestAnEngineThatAsksForRestGetsIt has one of two engines turn all away and ask for a rest: it
// went on getting each request first that it would have got, since a refusal for load left no mark.
// It gets one now, and the other serves; where that asks for rest as well, callers are refused at
// once, with the time until the first rest is over.
func TestAnEngineThatAsksForRestGetsIt(t *testing.T) {
	e, rests, other := two(t)
	rests.SetRest("60")
	for range 20 {
		must.True(t, whole(e.call(t, http.MethodPost, chatPath, chatBody(false)), false))
	}
	must.LessEq(t, 1, rests.Stats().Refused)
	other.SetRest("30.5")
	must.Eq(t, http.StatusServiceUnavailable, e.call(t, http.MethodPost, chatPath, chatBody(false)).status)
	last := e.call(t, http.MethodPost, chatPath, chatBody(false))
	must.Eq(t, http.StatusServiceUnavailable, last.status)
	wait, err := strconv.Atoi(last.header.Get("Retry-After"))
	must.NoError(t, err)
	must.Between(t, 25, wait, 31)
	must.LessEq(t, 2, rests.Stats().Refused+other.Stats().Refused)
}

// TestAnEngineThatSaysThatItLeavesGetsNothingMore has one of two engines say so in its answers.
func TestAnEngineThatSaysThatItLeavesGetsNothingMore(t *testing.T) {
	e, leaves, _ := two(t)
	for leaves.Stats().Started == 0 {
		must.True(t, whole(e.call(t, http.MethodPost, chatPath, chatBody(false)), false))
	}
	leaves.SetLeaving(true)
	for range 20 {
		must.True(t, whole(e.call(t, http.MethodPost, chatPath, chatBody(false)), false))
	}
	must.LessEq(t, 2, leaves.Stats().Started)
}
