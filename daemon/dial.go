package daemon

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/linenscale/linenscale/internal/httphead"
	"github.com/linenscale/linenscale/internal/sendwindow"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/trip"
)

// Timeouts for opening a connection between the hosts of an association.
const (
	dialTimeout = 2 * time.Second
	// senderDialTimeout applies to asynchronous messages, which no caller waits for. It
	// is a few round trips between regions, so that messages flow again soon after a
	// partition heals.
	senderDialTimeout = 450 * time.Millisecond
)

// newDialer returns a dialer that connects from the host's own IP address, by which
// other hosts identify it.
func newDialer(host settings.Host, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout}
	if address, err := net.ResolveTCPAddr("tcp", host.Control); err == nil {
		dialer.LocalAddr = &net.TCPAddr{IP: address.IP}
	}
	return dialer
}

// maxProbeHeadBytes bounds the head of a response to a probe, which is held in memory.
const maxProbeHeadBytes = 64 << 10

func probeTransport(dialer *net.Dialer) *http.Transport {
	return &http.Transport{DialContext: httphead.DialWith(dialer), MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: maxProbeHeadBytes}
}

// TCP keep-alive for idle connections. It ends a connection whose peer vanished without
// closing it; in the middle of a stream nothing else detects that.
const (
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// adaptiveDialer opens connections with a timeout that follows the round trips measured
// so far, and measures a round trip with each connection that it opens.
type adaptiveDialer struct {
	net.Dialer
	roundTrips    *trip.Table
	destinationOf func(address string) string
	slack         time.Duration // for the peer's processing
	// patient is true for callers that retry indefinitely. After timeouts, some of their
	// attempts get a longer timeout, so that they still reach a destination whose round
	// trip has grown.
	patient bool
	// suspendedSince reports whether this process was suspended since then.
	suspendedSince func(since time.Time) bool
	// sendWindows keeps connections open whose peer leaves data unread.
	sendWindows *sendwindow.Watcher
}

// DialContext opens a connection within the timeout for the address's destination, and
// records the round trip or, for a patient dialer, the timeout.
func (d *adaptiveDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	destination := d.destinationOf(address)
	timeout := d.roundTrips.ConnectTimeout(destination, d.slack)
	if d.patient {
		timeout = d.roundTrips.RetryConnectTimeout(destination, d.slack)
	}
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := steady.Time()
	conn, err := d.Dialer.DialContext(dialCtx, network, address)
	switch {
	case d.suspendedSince(start):
		// The time includes the suspension, not only the round trip.
	case err == nil:
		d.roundTrips.Observe(destination, steady.Time().Sub(start))
	case d.patient && ctx.Err() == nil && dialCtx.Err() != nil:
		d.roundTrips.RecordTimeout(destination)
	}
	if err != nil {
		return nil, err
	}
	return d.sendWindows.Watch(conn), nil
}

// newMemberDialer returns a dialer that connects from the host's own IP address. The
// kernel ends its connections when sent bytes stay unacknowledged for sendwindow.Timeout:
// in a partition nothing else detects the loss.
func newMemberDialer(m settings.Member) net.Dialer {
	localIP := m.IP
	if m.Bind != "" {
		localIP = m.Bind
	}
	return net.Dialer{
		LocalAddr:       &net.TCPAddr{IP: net.ParseIP(localIP)},
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         func(_, _ string, raw syscall.RawConn) error { return sendwindow.SetTimeout(raw) },
	}
}
