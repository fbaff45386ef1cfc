// This file defines which headers are forwarded.

package relay

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to one connection and are not forwarded (RFC 9110, section
// 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// ForwardableHeaders returns a copy of src without hop-by-hop headers: those listed in
// hopByHopHeaders and those that a Connection header names.
func ForwardableHeaders(src http.Header) http.Header {
	dst := src.Clone()
	for _, value := range src.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			dst.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		dst.Del(name)
	}
	return dst
}
