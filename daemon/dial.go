package daemon

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/trip"
)

// Bounds of the opening of a connection between hosts that settings name.
const (
	dialTime = 2 * time.Second
	// senderDial is the bound for messages that nobody waits for: a few round trips
	// between regions, so that they flow soon after a cut.
	senderDial = 450 * time.Millisecond
)

// newDialer opens connections from the host's own IP number, by which other
// hosts know it.
func newDialer(host settings.Host, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout}
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

// tripDialer opens connections within bounds that follow the trips seen so far, and
// learns the trips from them.
type tripDialer struct {
	net.Dialer
	trips *trip.Table
	place func(address string) string
	slack time.Duration // for what the other end does
	// patient is true for those who try again and again: they find a place that
	// has moved farther away.
	patient bool
}

// DialContext opens a connection.
func (d *tripDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	place := d.place(address)
	bound := d.trips.ConnectTimeout(place, d.slack)
	if d.patient {
		bound = d.trips.RetryConnectTimeout(place, d.slack)
	}
	bounded, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	began := time.Now()
	conn, err := d.Dialer.DialContext(bounded, network, address)
	switch {
	case err == nil:
		d.trips.Observe(place, time.Since(began))
	case d.patient && ctx.Err() == nil && bounded.Err() != nil:
		d.trips.RecordTimeout(place)
	}
	return conn, err
}

// newMemberDialer opens connections from the host's own IP number, that break by
// themselves when what is sent stays unacknowledged: behind a cut, nothing else
// ever tells.
func newMemberDialer(m settings.Member) net.Dialer {
	own := m.IP
	if m.Bind != "" {
		own = m.Bind
	}
	return net.Dialer{
		LocalAddr:       &net.TCPAddr{IP: net.ParseIP(own)},
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
