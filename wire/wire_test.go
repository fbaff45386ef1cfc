package wire_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/goleak"

	"github.com/linenscale/linenscale/wire"
)

// Echo is an RPC receiver. Its method Hang blocks until hang is closed, and calls
// counts the messages that Take received.
type Echo struct {
	hang  chan struct{}
	calls atomic.Int64
}

// Say returns text.
func (e *Echo) Say(text string, reply *string) error {
	*reply = text
	return nil
}

// Fail returns an error.
func (e *Echo) Fail(string, *string) error { return errors.New("no") }

// Hang returns when the test ends.
func (e *Echo) Hang(string, *string) error {
	<-e.hang
	return nil
}

// Slow returns a list after wait.
func (e *Echo) Slow(wait time.Duration, reply *[]string) error {
	time.Sleep(wait)
	*reply = []string{"late", "answer"}
	return nil
}

// Take counts the messages that it receives.
func (e *Echo) Take(messages []int, _ *wire.Empty) error {
	e.calls.Add(int64(len(messages)))
	return nil
}

// serve starts a server with an Echo receiver and returns the receiver and the address.
func serve(t *testing.T) (*Echo, string) {
	t.Helper()
	echo := &Echo{hang: make(chan struct{})}
	server := wire.NewServer()
	must.NoError(t, server.Register("Echo", echo))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	group.Go(func() { _ = server.Serve(ctx, listener) })
	t.Cleanup(func() {
		close(echo.hang)
		cancel()
		group.Wait()
	})
	return echo, listener.Addr().String()
}

func kindOf(t *testing.T, err error) wire.ErrorKind {
	t.Helper()
	var rpcErr *wire.Error
	must.True(t, errors.As(err, &rpcErr))
	return rpcErr.Kind
}

// TestHungPeerDoesNotBlockOtherCalls guards against a call without an answer that
// blocks its caller, or later calls to the same peer, after its deadline.
func TestHungPeerDoesNotBlockOtherCalls(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("calls", func(t *testing.T) {
		_, address := serve(t)
		client := wire.NewClient(&net.Dialer{Timeout: time.Second})
		defer client.Close()
		var reply string
		err := client.CallTimeout(context.Background(), 50*time.Millisecond, address, "Echo.Hang", "x", &reply)
		must.Eq(t, wire.Unanswered, kindOf(t, err))
		must.NoError(t, client.CallTimeout(context.Background(), time.Second, address, "Echo.Say", "hello", &reply))
		must.Eq(t, "hello", reply)
		must.Eq(t, wire.RemoteError, kindOf(t, client.CallTimeout(context.Background(), time.Second, address, "Echo.Fail", "x", &reply)))
	})
}

// TestCallToUnreachablePeerIsUnsent guards against a call that is reported as possibly
// executed although no connection could be opened.
func TestCallToUnreachablePeerIsUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	listener.Close()
	client := wire.NewClient(&net.Dialer{Timeout: time.Second})
	err = client.CallTimeout(context.Background(), time.Second, listener.Addr().String(), "Echo.Say", "x", new(string))
	must.Eq(t, wire.Unsent, kindOf(t, err))
}

// TestUnreachablePeerDoesNotBlockSender guards against a peer with a full queue and no
// connection that delays messages to other peers.
func TestUnreachablePeerDoesNotBlockSender(t *testing.T) {
	echo, address := serve(t)
	sender := wire.NewSender[int](&net.Dialer{Timeout: time.Second}, "Echo.Take")
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	group.Go(func() { _ = sender.Run(ctx) })
	defer group.Wait()
	defer cancel()
	for i := range 5000 { // no process listens at this address
		sender.Enqueue("127.0.0.1:1", i)
	}
	for i := range 100 {
		sender.Enqueue(address, i)
	}
	for range 200 {
		if echo.calls.Load() == 100 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d of 100 messages arrived", echo.calls.Load())
}

// TestLateAnswerDoesNotWriteReply guards against an answer to an abandoned call that is
// written to the caller's reply. The test uses the reply while late answers arrive; the
// race detector reports such a write.
func TestLateAnswerDoesNotWriteReply(t *testing.T) {
	_, address := serve(t)
	client := wire.NewClient(&net.Dialer{Timeout: time.Second})
	defer client.Close()
	for range 30 {
		var reply []string
		ctx, cancel := context.WithCancel(context.Background())
		group := pool.New()
		group.Go(func() {
			time.Sleep(5 * time.Millisecond)
			cancel() // abandons the call; the connection stays open
		})
		err := client.Call(ctx, address, "Echo.Slow", 6*time.Millisecond, &reply)
		for range 100 {
			if err != nil {
				reply = nil
			}
			time.Sleep(50 * time.Microsecond)
		}
		group.Wait()
	}
}
