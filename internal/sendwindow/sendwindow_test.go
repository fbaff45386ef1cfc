package sendwindow_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/linenscale/linenscale/internal/sendwindow"
	"github.com/linenscale/linenscale/internal/steady"
)

const (
	// bodyBytes is more than the socket buffers of both ends hold.
	bodyBytes = 8 << 20
	// receiveBuffer is the size of the peer's receive buffer, in bytes.
	receiveBuffer = 16 << 10
)

// pair returns both ends of a connection that a running watcher observes at the first one.
func pair(t *testing.T) (local net.Conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	watcher := sendwindow.New(sendwindow.Deps{Log: zap.NewNop(), Clock: steady.Time, Delay: func() time.Duration { return 0 }})
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { must.NoError(t, watcher.Run(ctx)) })
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { return sendwindow.SetTimeout(raw) }}
	conn, err := dialer.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	accepted, err := listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() {
		conn.Close()
		accepted.Close()
		cancel()
		group.Wait()
	})
	peer = accepted.(*net.TCPConn)
	must.NoError(t, peer.SetReadBuffer(receiveBuffer))
	return watcher.Watch(conn), peer
}

// vanish makes the socket drop whatever arrives, as if its host were gone.
func vanish(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	must.NoError(t, err)
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var optErr error
	must.NoError(t, raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]})
	}))
	must.NoError(t, optErr)
}

// TestPeerThatReadsLateGetsEverything guards against taking a live peer that leaves data
// unread for longer than the timeout for one that is gone.
func TestPeerThatReadsLateGetsEverything(t *testing.T) {
	t.Parallel()
	for name, read := range map[string]func(peer net.Conn){
		"nothing for a while": func(net.Conn) {},
		"a little at a time": func(peer net.Conn) {
			for range 10 {
				_, _ = io.CopyN(io.Discard, peer, 100)
				time.Sleep(sendwindow.Timeout / 4)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			local, peer := pair(t)
			var received int64
			var group conc.WaitGroup
			group.Go(func() {
				head, _ := io.CopyN(io.Discard, peer, 4<<10)
				time.Sleep(3 * sendwindow.Timeout)
				read(peer)
				rest, _ := io.Copy(io.Discard, peer)
				received = head + rest
			})
			_, err := local.Write(make([]byte, bodyBytes))
			must.NoError(t, err)
			must.NoError(t, local.Close())
			group.Wait()
			if name == "a little at a time" {
				received += 1000
			}
			must.Eq(t, bodyBytes, received)
		})
	}
}

// TestPeerThatVanishesIsFoundByItsConnection guards against connections that outlive their
// peer, whether it had left data unread before or not: reading blocks until the end of the
// connection, for a quarter of an hour by default.
func TestPeerThatVanishesIsFoundByItsConnection(t *testing.T) {
	t.Parallel()
	for name, unread := range map[string]time.Duration{
		"while it reads":                         0,
		"just after it stopped reading":          sendwindow.Timeout / 4,
		"long after it stopped reading":          2 * sendwindow.Timeout,
		"when the probes have become infrequent": 6 * sendwindow.Timeout,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			local, peer := pair(t)
			var group conc.WaitGroup
			if unread == 0 {
				vanish(t, peer)
			}
			group.Go(func() { _, _ = local.Write(make([]byte, bodyBytes)) })
			if unread > 0 {
				time.Sleep(unread)
				vanish(t, peer)
			}
			started := time.Now()
			_, err := local.Read(make([]byte, 1))
			must.Error(t, err)
			t.Logf("found after %s", time.Since(started))
			group.Wait()
		})
	}
}
