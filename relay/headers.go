// This file defines which headers are passed on.

package relay

import (
	"net/http"
	"strings"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Forwardable copies the headers that may be passed on.
func Forwardable(from http.Header) http.Header {
	to := from.Clone()
	for _, listed := range from.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
	return to
}
