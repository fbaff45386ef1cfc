package wire_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/wire"
)

// serveDeployment starts a server that accepts connections of one deployment only. It
// returns the receiver and the address.
func serveDeployment(t *testing.T, deployment wire.Deployment) (*Echo, string) {
	t.Helper()
	echo, server := &Echo{}, wire.NewServer()
	must.NoError(t, server.Register("Echo", echo))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	group.Go(func() { _ = server.Serve(ctx, deployment.Listener(listener, zap.NewNop())) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return echo, listener.Addr().String()
}

// TestCallsOfAnotherDeploymentAreRejected guards against a host that joins another
// deployment because a process of that deployment listens at a reused address.
func TestCallsOfAnotherDeploymentAreRejected(t *testing.T) {
	_, address := serveDeployment(t, "club")
	for _, test := range []struct {
		from wire.Deployment
		ok   bool
	}{{"club", true}, {"other", false}, {"", false}} {
		t.Run(string(test.from), func(t *testing.T) {
			client := wire.NewClient(test.from.Dialer(&net.Dialer{Timeout: time.Second}))
			defer client.Close()
			var got string
			err := client.CallTimeout(context.Background(), 5*time.Second, address, "Echo.Say", "x", &got)
			must.Eq(t, test.ok, err == nil)
			must.Eq(t, test.ok, got == "x")
		})
	}
}

// TestMessagesOfAnotherDeploymentAreDropped guards against the same fault for the
// messages of a Sender.
func TestMessagesOfAnotherDeploymentAreDropped(t *testing.T) {
	echo, address := serveDeployment(t, "club")
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	defer group.Wait()
	defer cancel()
	for _, from := range []wire.Deployment{"other", "club"} {
		sender := wire.NewSender[int](from.Dialer(&net.Dialer{Timeout: time.Second}), "Echo.Take")
		group.Go(func() { _ = sender.Run(ctx) })
		sender.Enqueue(address, 1)
	}
	for range 500 {
		if echo.calls.Load() > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, 1, echo.calls.Load())
}

// TestDatagramsOfAnotherDeploymentAreDropped guards against the same fault for datagrams.
func TestDatagramsOfAnotherDeploymentAreDropped(t *testing.T) {
	club, err := wire.ListenDatagrams[string]("127.0.0.1:0", "club")
	must.NoError(t, err)
	received := make(chan string, 10)
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	defer group.Wait()
	defer cancel()
	group.Go(func() { _ = club.Run(ctx, func(message string) { received <- message }) })
	for _, from := range []wire.Deployment{"other", "club"} {
		sender, err := wire.ListenDatagrams[string]("127.0.0.1:0", from)
		must.NoError(t, err)
		group.Go(func() { _ = sender.Run(ctx, func(string) {}) })
		must.NoError(t, sender.Send(string(from), []string{club.Address()}))
	}
	must.Eq(t, "club", <-received)
}
