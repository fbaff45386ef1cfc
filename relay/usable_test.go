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

// TestCallNoLongerUsableWritesNothing guards against a request sent to an engine that
// stopped accepting requests while the connection was being opened. The call must end
// as not run, and the engine must not receive it. Pooled connections skip the check, as
// they need no opening.
func TestCallNoLongerUsableWritesNothing(t *testing.T) {
	errUnusable := errors.New("unwanted")
	for name, fresh := range map[string]bool{"kept": false, "fresh": true} {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int32
			engine := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
			t.Cleanup(engine.Close)
			client := relay.New(&net.Dialer{}, relay.Options{})
			t.Cleanup(client.Close)
			send := func(usableErr error) error {
				resp, err := client.Send(context.Background(), relay.Call{
					Method: http.MethodPost, URL: engine.URL, Header: http.Header{}, EchoesAttempt: true, OwnConnection: fresh,
					CheckUsable: func() error { return usableErr },
					CheckAnswer: func(*http.Response) error { return nil },
				})
				if err == nil {
					resp.Body.Close()
				}
				return err
			}
			err := send(errUnusable)
			must.ErrorIs(t, err, errUnusable)
			var failure *relay.Failure
			must.True(t, errors.As(err, &failure))
			must.True(t, failure.NotRun)
			must.Eq(t, 0, received.Load())
			must.NoError(t, send(nil))
			must.Eq(t, 1, received.Load())
		})
	}
}
