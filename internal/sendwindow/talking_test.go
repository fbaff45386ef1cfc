package sendwindow_test

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/internal/sendwindow"
)

// Traffic of a peer that sends while it leaves data unread.
const (
	eventInterval = 300 * time.Millisecond
	unreadTime    = 4 * sendwindow.Timeout
)

// TestPeerThatSendsWhileItDoesNotReadKeepsItsConnection guards against ending the connection of a
// peer that leaves data unread and sends data of its own meanwhile. Segments that acknowledge its
// data are no probes, and what it sends need not renew the time of its last acknowledgement.
func TestPeerThatSendsWhileItDoesNotReadKeepsItsConnection(t *testing.T) {
	t.Parallel()
	eachSocketKernel(t, func(t *testing.T, limit func(syscall.RawConn) bool) {
		for _, buffer := range []int{receiveBuffer, 64 << 10} {
			for _, size := range []int{110_000, 900_000} {
				t.Run(fmt.Sprint("buffer ", buffer, " body ", size), func(t *testing.T) {
					t.Parallel()
					connections := pool.New().WithErrors()
					for i := range 16 {
						local, peer := pair(t, limit)
						must.NoError(t, peer.SetReadBuffer(buffer))
						connections.Go(func() error { return drain(local) })
						connections.Go(func() error {
							_, err := local.Write(make([]byte, size))
							return err
						})
						connections.Go(func() error { return sendThenRead(peer, size, time.Duration(i)*eventInterval/16) })
					}
					must.NoError(t, connections.Wait())
				})
			}
		}
	})
}

// drain reads what the peer sends until it has sent everything.
func drain(local net.Conn) error {
	_, err := io.Copy(io.Discard, local)
	return err
}

// sendThenRead sends events for unreadTime, from a delay on, and then reads size bytes.
func sendThenRead(peer *net.TCPConn, size int, delay time.Duration) error {
	time.Sleep(delay)
	for started := time.Now(); time.Since(started) < unreadTime; time.Sleep(eventInterval) {
		if _, err := peer.Write([]byte("data: x")); err != nil {
			return err
		}
	}
	if err := peer.CloseWrite(); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, peer, int64(size))
	return err
}
