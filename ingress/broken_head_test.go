package ingress_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/ingress"
	"github.com/linenscale/linenscale/platform/platformtest"
)

// framedBodies are the ways to frame a body, each with the body as it is sent.
var framedBodies = map[string]struct{ header, body string }{
	"length": {"Content-Length: 5\r\n", "whole"},
	"empty":  {"Content-Length: 0\r\n", ""},
	"chunks": {"Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"},
	"close":  {"", "whole"},
}

// mediaTypes make an answer a plain one or a stream.
var mediaTypes = map[string]string{"plain": "text/plain", "stream": "text/event-stream"}

// brokenStatuses are the status codes that no final answer to a request of a gateway has (RFC 9110,
// section 15).
var brokenStatuses = []string{"000", "001", "042", "099", "+20", "-00", "101", "600", "999"}

// TestAnswersWithAnInvalidStatusAreNoAnswers guards against an answer whose status isn't one, which
// reached callers or ended their connection, from an engine or another gateway.
func TestAnswersWithAnInvalidStatusAreNoAnswers(t *testing.T) {
	for _, status := range brokenStatuses {
		for framing, framed := range framedBodies {
			for kind, mediaType := range mediaTypes {
				answer := "HTTP/1.1 " + status + " Trouble\r\n" + ownHeaders + "Content-Type: " + mediaType + "\r\n" + framed.header + "\r\n" + framed.body
				t.Run(fmt.Sprint(status, "/", framing, "/", kind), func(t *testing.T) { checkBrokenAnswer(t, answer) })
			}
		}
	}
}

// brokenNames are lines of a head whose field name isn't one.
var brokenNames = map[string]string{
	"blank inside":       "X Trouble: a",
	"blank before colon": "X-Trouble : a",
	"blanks and a tab":   "X-Trouble \t : a",
	"tab before colon":   "X-Trouble\t: a",
	"NUL":                "X-\x00Trouble: a",
	"control byte":       "X-\x01Trouble: a",
	"escape":             "\x1bX-Trouble: a",
	"carriage return":    "X\rTrouble: a",
	"delete":             "X-Trouble\x7f: a",
	"empty":              ": a",
	"blank length":       "Content-Length : 5",
	"short length":       "Content-Length : 3",
	"blank chunks":       "Transfer-Encoding : chunked",
	"blank connection":   "Connection : close",
	"blank own ID":       "X-Linenscale-Request-Id : %[1]s",
	"not executed":       "X-Linenscale-Not-Executed : 1",
}

// TestAnswersWithAnInvalidFieldNameAreNoAnswers guards against an answer in whose head the name of a
// field holds a byte that no name has: the line was dropped, and its answer had a body that wasn't
// the engine's if the line framed it. The line stands at each place of the head.
func TestAnswersWithAnInvalidFieldNameAreNoAnswers(t *testing.T) {
	for name, line := range brokenNames {
		for framing, framed := range framedBodies {
			for kind, mediaType := range mediaTypes {
				lines := []string{"HTTP/1.1 200 OK", "X-Linenscale-Request-Id: %[1]s", "X-Linenscale-Response-Stamp: i.%[1]s", "Content-Type: " + mediaType}
				if framed.header != "" {
					lines = append(lines, strings.TrimSuffix(framed.header, "\r\n"))
				}
				for _, at := range []int{1, 2, len(lines)} {
					head := append(append(append([]string(nil), lines[:at]...), line), lines[at:]...)
					answer := strings.Join(head, "\r\n") + "\r\n\r\n" + framed.body
					t.Run(fmt.Sprint(name, "/", framing, "/", kind, "/", at), func(t *testing.T) { checkBrokenAnswer(t, answer) })
				}
			}
		}
	}
}

// TestAnswersOfAnotherProtocolAreNoAnswers guards against an answer of a version of HTTP that a
// connection of HTTP/1 can't have: its body, up to the connection's end, was stated as complete.
func TestAnswersOfAnotherProtocolAreNoAnswers(t *testing.T) {
	for _, version := range []string{"0.9", "2.0", "3.0", "9.9"} {
		for framing, framed := range framedBodies {
			for kind, mediaType := range mediaTypes {
				answer := "HTTP/" + version + " 200 OK\r\n" + ownHeaders + "Content-Type: " + mediaType + "\r\n" + framed.header + "\r\n" + framed.body
				t.Run(fmt.Sprint(version, "/", framing, "/", kind), func(t *testing.T) { checkBrokenAnswer(t, answer) })
			}
		}
	}
}

// TestChunksOfHTTP10AreNoAnswers guards against an answer of HTTP/1.0 with Transfer-Encoding, whose
// framing is faulty (RFC 9112, section 6.1): its body had the sizes of the chunks, or was cut by its
// length.
func TestChunksOfHTTP10AreNoAnswers(t *testing.T) {
	const chunks = "5\r\nwhole\r\n0\r\n\r\n"
	for _, line := range []string{"Transfer-Encoding: chunked", "transfer-encoding:chunked", "TRANSFER-ENCODING:\r\n chunked", "Transfer-Encoding: identity", "Transfer-Encoding:"} {
		for _, length := range []string{"", "Content-Length: 5\r\n", "Content-Length: 15\r\n"} {
			for _, informational := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
				for kind, mediaType := range mediaTypes {
					answer := informational + "HTTP/1.0 200 OK\r\n" + ownHeaders + "Content-Type: " + mediaType + "\r\n" + length + line + "\r\n\r\n" + chunks
					t.Run(fmt.Sprintf("%q/%q/%q/%s", line, length, informational, kind), func(t *testing.T) { checkBrokenAnswer(t, answer) })
				}
			}
		}
	}
}

// sendsOfBrokenAnswers is how often a request of each path is sent to servers that answer with what
// is no answer: it may have run, so only those that may be repeated are sent again.
var sendsOfBrokenAnswers = map[string]int{"/unsafe/1": 1, "/safe/1": 2, "/chat/1": 1, "/review/1": 2, "/home/1": 1}

// brokenAnswerOutcome is what the caller and the servers saw of a request that was answered with what
// is no answer.
type brokenAnswerOutcome struct {
	err    string // of the call; "" if an answer arrived
	status int
	stamp  string // of an engine, in the answer
	body   string
	sends  int
}

// checkBrokenAnswer sends a request of each kind to a gateway whose engines and peers answer with
// what is no answer.
func checkBrokenAnswer(t *testing.T, answer string) {
	t.Helper()
	for path, sends := range sendsOfBrokenAnswers {
		t.Run(strings.Trim(path, "/1"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				want := brokenAnswerOutcome{status: http.StatusBadGateway, sends: sends}
				must.EqOp(t, want, requestBrokenAnswer(t, answer, path))
			})
		})
	}
}

// requestBrokenAnswer sends a request to a gateway whose engines and peers answer so.
func requestBrokenAnswer(t *testing.T, answer, path string) brokenAnswerOutcome {
	t.Helper()
	server := &headServer{head: answer, cut: len(strings.ReplaceAll(answer, "%[1]s", "0123456789abcdef"))}
	g := newGatewayBefore(t, server.serve)
	defer g.close()
	isPrompt := path == "/chat/1" || path == "/review/1"
	result, err := g.caller.Do(context.Background(), memoryCallers, platformtest.Request{Host: "h", Path: path, IsPrompt: isPrompt, Deadline: 20 * time.Second})
	synctest.Wait()
	if err != nil {
		return brokenAnswerOutcome{err: err.Error(), sends: int(server.ended.Load())}
	}
	return brokenAnswerOutcome{status: result.Status, stamp: result.Header.Get("X-Linenscale-Response-Stamp"), body: result.Body, sends: int(server.ended.Load())}
}

// brokenHeadFaults are the faults of engines that answer with a head that no answer has.
var brokenHeadFaults = []platformtest.Fault{platformtest.FaultInvalidStatus, platformtest.FaultBlankInName, platformtest.FaultBlankInFraming, platformtest.FaultChunksInHTTP10}

// TestBrokenHeadBehindAHandOverIsTheEnginesFault guards against a gateway that takes another one for
// broken because of an answer of that one's engine: it handed no request over for a while.
func TestBrokenHeadBehindAHandOverIsTheEnginesFault(t *testing.T) {
	for _, fault := range brokenHeadFaults {
		t.Run(string(fault), func(t *testing.T) {
			lagos, _, engines := twoRegions(t)
			injectFault(engines, fault, 2)
			must.Eq(t, http.StatusBadGateway, do(t, lagos, platformtest.Request{Path: "/home/1"}).Status)
			for range 20 {
				must.Eq(t, http.StatusOK, do(t, lagos, platformtest.Request{Path: "/home/1"}).Status)
			}
		})
	}
}

// TestStreamIsNotContinuedByABrokenHead guards against a stream that is continued by an answer whose
// head is broken: what follows isn't certain to be the engine's stream.
func TestStreamIsNotContinuedByABrokenHead(t *testing.T) {
	for _, fault := range brokenHeadFaults {
		t.Run(string(fault), func(t *testing.T) {
			lagos, _, engines := twoRegions(t)
			plan := platformtest.NewFaultPlan(platformtest.FaultTruncate, 1).Then(platformtest.NewFaultPlan(fault, -1))
			for _, e := range engines {
				e.SetFaults(plan)
			}
			result := do(t, lagos, platformtest.Request{Path: "/review/1", IsPrompt: true, Deadline: 5 * time.Second})
			must.False(t, result.Complete, must.Sprint(result.Status, result.Body))
			must.True(t, strings.HasPrefix(streamBody(5), result.Body), must.Sprint(result.Body))
		})
	}
}

// TestEngineWithBrokenHeadsGetsFewRequests guards against an engine that draws requests away from
// others because it is idle: each of its answers fails at once.
func TestEngineWithBrokenHeadsGetsFewRequests(t *testing.T) {
	for _, fault := range brokenHeadFaults {
		t.Run(string(fault), func(t *testing.T) {
			inMemory(t, func(*ingress.Deps) {}, platformtest.EngineOptions{Pause: 30 * time.Millisecond}, func(t *testing.T, g *memoryGateway) {
				g.portal[0].SetFaults(platformtest.NewFaultPlan(fault, -1))
				served := 0
				for range 200 {
					if g.do(t, platformtest.Request{Path: "/unsafe/1"}).Status == http.StatusOK {
						served++
					}
					time.Sleep(20 * time.Millisecond)
				}
				must.Less(t, 30, len(g.portal[0].Arrivals()), must.Sprint("as for other failures"))
				must.Eq(t, 200-len(g.portal[0].Arrivals()), served)
			})
		})
	}
}

// leftovers are broken heads after which net/http keeps the connection, each with bytes that follow.
var leftovers = map[string]string{
	"nothing":        "HTTP/1.1 200 OK\r\nX Trouble: a\r\n" + ownHeaders + "Content-Length: 0\r\n\r\n",
	"body":           "HTTP/1.1 200 OK\r\nX Trouble: a\r\n" + ownHeaders + "Content-Length: 5\r\n\r\nwhole",
	"chunks":         "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + ownHeaders + "Content-Length: 0\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"another answer": "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + ownHeaders + "Content-Length: 5\r\n\r\nwrong",
}

// TestAnswerAfterABrokenHeadIsItsOwn guards against bytes of a broken answer that are taken for the
// next one on its connection.
func TestAnswerAfterABrokenHeadIsItsOwn(t *testing.T) {
	for name, answer := range leftovers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &headServer{head: answer, cut: len(strings.ReplaceAll(answer, "%[1]s", "0123456789abcdef")), whole: 1, keeps: true}
				g := newGatewayBefore(t, server.serve)
				defer g.close()
				for range 20 {
					result := g.do(t, "/safe/1", false)
					must.Eq(t, http.StatusOK, result.Status)
					must.Eq(t, "whole", result.Body)
				}
				must.Positive(t, server.ended.Load())
			})
		})
	}
}
