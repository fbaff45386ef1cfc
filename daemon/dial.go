package daemon

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/linenscale/linenscale/settings"
)

// dialTime bounds the opening of a connection.
const dialTime = 2 * time.Second

// newDialer opens connections from the host's own IP number, by which other
// hosts know it.
func newDialer(host settings.Host) *net.Dialer {
	dialer := &net.Dialer{Timeout: dialTime}
	if address, err := net.ResolveTCPAddr("tcp", host.Control); err == nil {
		dialer.LocalAddr = &net.TCPAddr{IP: address.IP}
	}
	return dialer
}

func probeTransport(dialer *net.Dialer) *http.Transport {
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true}
}

// A connection on which nothing is sent is probed, so that one whose other end has
// gone without a word ends too: in the middle of a stream nothing else tells.
const (
	probeEvery = time.Second
	probeCount = 2
)

// newMemberDialer opens connections from the host's own IP number, that break by
// themselves when what is sent stays unacknowledged: behind a cut, nothing else
// ever tells.
func newMemberDialer(m settings.Member, timeout time.Duration) *net.Dialer {
	own := m.IP
	if m.Bind != "" {
		own = m.Bind
	}
	return &net.Dialer{
		Timeout: timeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(own)},
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
