package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"

	"github.com/linenscale/linenscale/internal/httphead"
	"github.com/linenscale/linenscale/relay"
)

// brokenHeads are answers, whole but for their heads, which are none of HTTP.
var brokenHeads = map[string]string{
	"status":  "HTTP/1.1 000 Trouble\r\n" + reports + "Content-Length: 5\r\n\r\nwhole",
	"name":    "HTTP/1.1 200 OK\r\nX Trouble: a\r\n" + reports + "Content-Length: 5\r\n\r\nwhole",
	"framing": "HTTP/1.1 200 OK\r\n" + reports + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"version": "HTTP/2.0 200 OK\r\n" + reports + "Content-Length: 5\r\n\r\nwhole",
	"chunks":  "HTTP/1.0 200 OK\r\n" + reports + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
}

// reports are the headers by which an answer belongs to its attempt, and those that report something
// about the engine.
const reports = relay.HeaderAttempt + ": a1\r\n" + relay.HeaderNotRun + ": true\r\n" + relay.HeaderDraining + ": true\r\n" + relay.HeaderStreamID + ": s1\r\n"

// answerWith returns a dialer to a server that answers each request with text and closes the
// connection. wait waits until it has.
func answerWith(text string) (dialer pipeDialer, wait func()) {
	var group conc.WaitGroup
	return pipeDialer{func(conn net.Conn) {
		group.Go(func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, text)
		})
	}}, group.Wait
}

// TestBrokenHeadReportsNothing guards against believing what an answer with a broken head says, such
// as that the request wasn't run: the request may have run.
func TestBrokenHeadReportsNothing(t *testing.T) {
	for name, text := range brokenHeads {
		for _, ownProtocol := range []bool{true, false} {
			for _, pooled := range []bool{true, false} {
				t.Run(name, func(t *testing.T) {
					dialer, wait := answerWith(text)
					defer wait()
					client := relay.New(dialer, relay.Options{})
					defer client.Close()
					call := relay.Call{
						Method: http.MethodPost, URL: "http://engine", Header: http.Header{}, AttemptID: "a1", EchoesAttempt: true, OwnConnection: !pooled,
						OnAnswer: func(*http.Response) { t.Error("the head was read") },
					}
					if !ownProtocol {
						call.CheckAnswer = func(*http.Response) error { return errors.New("the head was read") }
					}
					_, err := client.Send(context.Background(), call)
					var invalid *httphead.InvalidError
					must.True(t, errors.As(err, &invalid), must.Sprint(err))
					var failure *relay.Failure
					must.True(t, errors.As(err, &failure))
					must.False(t, failure.NotRun)
					must.False(t, failure.Overloaded)
					must.False(t, failure.ConnectionBroken, must.Sprint("the engine has not crashed"))
				})
			}
		}
	}
}

// TestStreamIsNotResumedByABrokenHead guards against a stream that is resumed by bytes that aren't
// certain to be its rest.
func TestStreamIsNotResumedByABrokenHead(t *testing.T) {
	for name, text := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			dialer, wait := answerWith(text)
			defer wait()
			client := relay.New(dialer, relay.Options{})
			defer client.Close()
			began := httptest.NewRecorder()
			began.Header().Set(relay.HeaderAttempt, "a1")
			began.Header().Set(relay.HeaderStreamID, "s1")
			_, _ = io.WriteString(began, "data: 1\n\n")
			caller := httptest.NewRecorder()
			err := client.Stream(context.Background(), caller, began.Result(), "http://engine", time.Second)
			must.ErrorContains(t, err, "invalid head")
			must.Eq(t, "data: 1\n\n", caller.Body.String())
		})
	}
}
