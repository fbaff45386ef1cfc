package daemon

import (
	"net"
	"net/http"
	"time"

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
