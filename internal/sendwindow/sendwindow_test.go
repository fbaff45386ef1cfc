package sendwindow_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/internal/sendwindow"
	"github.com/linenscale/linenscale/internal/steady"
)

const (
	// bodyBytes is more than the socket buffers of both ends hold.
	bodyBytes = 8 << 20
	// receiveBuffer is the size of the peer's receive buffer, in bytes.
	receiveBuffer = 16 << 10
	// giveUp is when a peer that vanished counts as not found.
	giveUp = 20 * time.Second
)

// eachSocketKernel runs test with probes limited as far as the kernel can, and without.
func eachSocketKernel(t *testing.T, test func(t *testing.T, limit func(syscall.RawConn) bool)) {
	t.Helper()
	for name, limit := range map[string]func(syscall.RawConn) bool{
		"probes limited":     sendwindow.LimitProbes,
		"probes not limited": func(syscall.RawConn) bool { return false },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, limit)
		})
	}
}

// pair returns both ends of a connection that a running watcher observes at the first one.
func pair(t *testing.T, limit func(syscall.RawConn) bool) (local net.Conn, peer *net.TCPConn) {
	t.Helper()
	return pairObserved(t, limit, 0, func(conn net.Conn) net.Conn { return conn })
}

// pairObserved is pair with a watcher that begins to run after a delay, and wraps the connection
// that it observes.
func pairObserved(t *testing.T, limit func(syscall.RawConn) bool, delay time.Duration, wrap func(net.Conn) net.Conn) (local net.Conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	watcher := sendwindow.New(sendwindow.Deps{Log: zap.NewNop(), Clock: steady.Time, Delay: func() time.Duration { return 0 }, LimitProbes: limit})
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() {
		duty.Pause(ctx, delay)
		must.NoError(t, watcher.Run(ctx))
	})
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
	return watcher.Watch(wrap(conn)), peer
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
	eachSocketKernel(t, func(t *testing.T, limit func(syscall.RawConn) bool) {
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
				local, peer := pair(t, limit)
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
	})
}

// sendToLateReader writes a body to a peer that reads it after a while, and returns how much arrives.
func sendToLateReader(t *testing.T, local net.Conn, peer *net.TCPConn) int64 {
	t.Helper()
	var received int64
	var group conc.WaitGroup
	group.Go(func() {
		time.Sleep(3 * sendwindow.Timeout)
		received, _ = io.Copy(io.Discard, peer)
	})
	_, _ = local.Write(make([]byte, bodyBytes))
	_ = local.Close()
	group.Wait()
	return received
}

// TestProcessThatDoesNotRunKeepsItsConnections guards against a kernel that ends the connection of a
// live peer because the watcher didn't run since data was written.
func TestProcessThatDoesNotRunKeepsItsConnections(t *testing.T) {
	t.Parallel()
	local, peer := pairObserved(t, sendwindow.LimitProbes, 2*sendwindow.Timeout, func(conn net.Conn) net.Conn { return conn })
	must.Eq(t, bodyBytes, sendToLateReader(t, local, peer))
}

// lateWriter is a connection that writes nothing for a while.
type lateWriter struct{ *net.TCPConn }

// Write implements net.Conn.
func (w lateWriter) Write(data []byte) (int, error) {
	time.Sleep(sendwindow.Timeout / 2)
	return w.TCPConn.Write(data)
}

// TestWriteIsObservedFromItsBegin guards against a connection that isn't observed because nothing was
// pending yet when a Write had begun: the kernel then ends it.
func TestWriteIsObservedFromItsBegin(t *testing.T) {
	t.Parallel()
	eachSocketKernel(t, func(t *testing.T, limit func(syscall.RawConn) bool) {
		local, peer := pairObserved(t, limit, 0, func(conn net.Conn) net.Conn { return lateWriter{conn.(*net.TCPConn)} })
		must.Eq(t, bodyBytes, sendToLateReader(t, local, peer))
	})
}

// TestPeerThatVanishesIsFoundByItsConnection guards against connections that outlive their
// peer, whether it had left data unread before or not, and whether it had just sent data: reading
// blocks until the end of the connection, for a quarter of an hour by default.
func TestPeerThatVanishesIsFoundByItsConnection(t *testing.T) {
	t.Parallel()
	eachSocketKernel(t, func(t *testing.T, limit func(syscall.RawConn) bool) {
		for name, unread := range map[string]time.Duration{
			"while it reads":                         0,
			"just after it stopped reading":          sendwindow.Timeout / 4,
			"long after it stopped reading":          2 * sendwindow.Timeout,
			"when the probes have become infrequent": 6 * sendwindow.Timeout,
		} {
			for _, sends := range []bool{false, true} {
				t.Run(fmt.Sprint(name, ", sends ", sends), func(t *testing.T) {
					t.Parallel()
					local, peer := pair(t, limit)
					must.NoError(t, local.SetReadDeadline(time.Now().Add(unread+giveUp)))
					var group conc.WaitGroup
					if unread == 0 {
						vanish(t, peer)
					}
					group.Go(func() { _, _ = local.Write(make([]byte, bodyBytes)) })
					for started := time.Now(); time.Since(started) < unread; time.Sleep(eventInterval / 5) {
						if sends {
							_, _ = peer.Write([]byte("data: x"))
						}
					}
					if unread > 0 {
						vanish(t, peer)
					}
					started := time.Now()
					_, err := io.Copy(io.Discard, local)
					must.ErrorIs(t, err, syscall.ETIMEDOUT)
					t.Logf("found after %s", time.Since(started))
					group.Wait()
				})
			}
		}
	})
}
