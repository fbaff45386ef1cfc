package sendwindow_test

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/internal/sendwindow"
)

// TestResetDuringAWriteIsNoCleanEnd guards against reading a clean end from a connection that was
// reset: the kernel reports the reset once, to the Write that waits for the peer, and an answer
// framed by the end of its connection then looks whole.
func TestResetDuringAWriteIsNoCleanEnd(t *testing.T) {
	t.Parallel()
	connections := pool.New().WithErrors()
	for range 64 {
		local, peer := pair(t, sendwindow.LimitProbes)
		connections.Go(func() error {
			_, _ = local.Write(make([]byte, bodyBytes))
			return nil
		})
		connections.Go(func() error {
			_, err := io.Copy(io.Discard, local)
			if !errors.Is(err, syscall.ECONNRESET) {
				return fmt.Errorf("read: %v", err)
			}
			return nil
		})
		connections.Go(func() error {
			if _, err := peer.Write([]byte("a part")); err != nil {
				return err
			}
			time.Sleep(sendwindow.Timeout / 4)
			return reset(peer)
		})
	}
	must.NoError(t, connections.Wait())
}

// TestCleanEndDuringAWriteIsReadWhole guards against a failed read at the end of an answer whose peer
// sent it whole, and then closed its connection without reading the rest of the request.
func TestCleanEndDuringAWriteIsReadWhole(t *testing.T) {
	t.Parallel()
	connections := pool.New().WithErrors()
	for range 64 {
		local, peer := pair(t, sendwindow.LimitProbes)
		connections.Go(func() error {
			_, _ = local.Write(make([]byte, bodyBytes))
			return nil
		})
		connections.Go(func() error {
			_, err := io.Copy(io.Discard, local)
			return err
		})
		connections.Go(func() error {
			if _, err := peer.Write([]byte("all of it")); err != nil {
				return err
			}
			if err := peer.CloseWrite(); err != nil {
				return err
			}
			time.Sleep(sendwindow.Timeout / 4)
			return reset(peer)
		})
	}
	must.NoError(t, connections.Wait())
}

// reset ends a connection by a reset.
func reset(peer *net.TCPConn) error {
	if err := peer.SetLinger(0); err != nil {
		return err
	}
	return peer.Close()
}
