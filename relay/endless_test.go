package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"

	"github.com/linenscale/linenscale/relay"
)

// pipeDialer opens connections to a server in memory.
type pipeDialer struct{ serve func(conn net.Conn) }

// DialContext implements relay.Dialer.
func (d pipeDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	d.serve(far)
	return near, nil
}

// TestErrorsQuoteLittleOfAnAnswer guards against an error that quotes all that a server has sent in
// place of an answer: it went to the log and, as the reason, on to others.
func TestErrorsQuoteLittleOfAnAnswer(t *testing.T) {
	var group conc.WaitGroup
	defer group.Wait()
	client := relay.New(pipeDialer{func(conn net.Conn) {
		group.Go(func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, strings.Repeat("\x01", 32<<10)+"\r\n")
			_, _ = io.Copy(io.Discard, conn) // until the client closes it
		})
	}}, relay.Options{})
	_, err := client.Send(context.Background(), relay.Call{
		Method: http.MethodPost, URL: "http://engine", Header: http.Header{}, CheckAnswer: func(*http.Response) error { return nil },
	})
	var failure *relay.Failure
	must.True(t, errors.As(err, &failure))
	must.False(t, failure.NotRun)
	must.StrContains(t, err.Error(), "malformed")
	must.Less(t, 1<<10, len(err.Error()))
}
