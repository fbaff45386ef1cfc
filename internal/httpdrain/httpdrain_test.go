package httpdrain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"

	"github.com/linenscale/linenscale/internal/httpdrain"
)

const (
	rawRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	// readDelay is how long a starved server takes from the arrival of bytes until it has read them.
	readDelay = 200 * time.Millisecond
)

// starvedListener accepts connections whose reads return late, as in a process that gets little
// processor time.
type starvedListener struct {
	net.Listener
	starved *atomic.Bool
}

// Accept implements net.Listener.
func (l starvedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return starvedConn{conn.(*net.TCPConn), l.starved}, nil
}

type starvedConn struct {
	*net.TCPConn
	starved *atomic.Bool
}

// Read implements net.Conn.
func (c starvedConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	if c.starved.Load() {
		time.Sleep(readDelay)
	}
	return n, err
}

// serve starts a server that answers each request, and returns its address.
func serve(t *testing.T, starved *atomic.Bool, handler http.HandlerFunc) (*httpdrain.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := httpdrain.New(&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, starvedListener{listener, starved})
	var group conc.WaitGroup
	group.Go(func() { must.NoError(t, server.Serve()) })
	t.Cleanup(func() {
		server.Close()
		group.Wait()
	})
	return server, listener.Addr().String()
}

func answer(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") }

// dial opens a connection on which nothing is sent.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// TestRequestThatIsBeingReadIsAnswered guards against closing a connection as idle on which a
// request has arrived, read by the server or not.
func TestRequestThatIsBeingReadIsAnswered(t *testing.T) {
	var starved atomic.Bool
	server, address := serve(t, &starved, answer)
	starved.Store(true)
	var conns []net.Conn
	for i := range 20 {
		conn := dial(t, address)
		conns = append(conns, conn)
		time.Sleep(time.Duration(i) * time.Millisecond)
		_, err := io.WriteString(conn, rawRequest)
		must.NoError(t, err)
	}
	must.True(t, server.Drain(context.Background()))
	for _, conn := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		resp.Body.Close()
	}
}

// TestIdleConnectionsEnd guards against a stop that waits for connections on which nothing comes.
func TestIdleConnectionsEnd(t *testing.T) {
	server, address := serve(t, new(atomic.Bool), answer)
	conn := dial(t, address)
	time.Sleep(50 * time.Millisecond) // until it is accepted
	must.True(t, server.Drain(context.Background()))
	_, err := conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}

// TestDrainEndsWithItsContext guards against a stop that waits for a request without end.
func TestDrainEndsWithItsContext(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	server, address := serve(t, new(atomic.Bool), func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-end
	})
	_, err := io.WriteString(dial(t, address), rawRequest)
	must.NoError(t, err)
	<-begun
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	must.False(t, server.Drain(ctx))
	close(end)
	must.True(t, server.Drain(context.Background()))
}
