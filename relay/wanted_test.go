package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/relay"
)

// TestACallThatIsNoLongerWantedWritesNothing opens a connection while the engine comes to want
// nothing: the call ends as not run, and the engine never sees it. A connection that is kept
// from an earlier call needs no asking: it opens at once.
func TestACallThatIsNoLongerWantedWritesNothing(t *testing.T) {
	unwanted := errors.New("unwanted")
	for name, fresh := range map[string]bool{"kept": false, "fresh": true} {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int32
			engine := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
			t.Cleanup(engine.Close)
			client := relay.New(&net.Dialer{}, relay.Options{})
			t.Cleanup(client.Close)
			send := func(wanted error) error {
				resp, err := client.Send(context.Background(), relay.Call{
					Method: http.MethodPost, URL: engine.URL, Header: http.Header{}, Echoes: true, Fresh: fresh,
					Wanted: func() error { return wanted },
					Judge:  func(*http.Response) error { return nil },
				})
				if err == nil {
					resp.Body.Close()
				}
				return err
			}
			err := send(unwanted)
			must.ErrorIs(t, err, unwanted)
			var failure *relay.Failure
			must.True(t, errors.As(err, &failure))
			must.True(t, failure.NotRun)
			must.Eq(t, 0, arrived.Load())
			must.NoError(t, send(nil))
			must.Eq(t, 1, arrived.Load())
		})
	}
}
