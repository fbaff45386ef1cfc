package relay_test

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
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/internal/sendwindow"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/relay"
)

// watchedDialer opens connections as a host does.
type watchedDialer struct {
	net.Dialer
	watcher *sendwindow.Watcher
}

// DialContext implements relay.Dialer.
func (d *watchedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.watcher.Watch(conn), nil
}

// resetWithinAnswers answers each connection's request before it has read the body, without framing,
// and resets the connection within the answer, once received is closed for the request's path.
func resetWithinAnswers(listener net.Listener, connections *pool.Pool, received map[string]chan struct{}) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		connections.Go(func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReaderSize(conn, 1<<10))
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na part")
			<-received[r.URL.Path]
			time.Sleep(100 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
	}
}

// TestAnswerThatIsResetDuringItsRequestIsNotWhole guards against an answer without framing that looks
// whole although its connection was reset: the kernel reports the reset to the write of the
// request's body only.
func TestAnswerThatIsResetDuringItsRequestIsNotWhole(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	received := make(map[string]chan struct{}) // closed once the head of an answer has arrived, by path
	for i := range 64 {
		received[fmt.Sprint("/", i)] = make(chan struct{})
	}
	connections := pool.New()
	var group conc.WaitGroup
	group.Go(func() { resetWithinAnswers(listener, connections, received) })
	defer func() {
		listener.Close()
		group.Wait()
		connections.Wait()
	}()
	watcher := sendwindow.New(sendwindow.Deps{Log: zap.NewNop(), Clock: steady.Time, Delay: func() time.Duration { return 0 }, LimitProbes: sendwindow.LimitProbes})
	client := relay.New(&watchedDialer{watcher: watcher}, relay.Options{})
	defer client.Close()
	body := strings.Repeat("x", 8<<20)
	calls := pool.New().WithErrors()
	whole := make(chan string, len(received))
	for path, headArrived := range received {
		calls.Go(func() error {
			resp, err := client.Send(context.Background(), relay.Call{
				Method: http.MethodPost, URL: "http://" + listener.Addr().String() + path, Header: http.Header{}, Body: strings.NewReader(body), BodyLength: int64(len(body)),
				CheckAnswer: func(*http.Response) error { return nil }, OwnConnection: true,
			})
			close(headArrived)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if text, err := io.ReadAll(resp.Body); err == nil {
				whole <- string(text)
			}
			return nil
		})
	}
	must.NoError(t, calls.Wait())
	must.Eq(t, 0, len(whole), must.Sprintf("%d answers look whole", len(whole)))
}
