// This file defines how an answer shows where it ends.

package ingress

import "net/http"

// framing is how an answer shows where it ends.
type framing uint8

const (
	framedByLength framing = iota
	framedByChunks
	// endsWithConnection marks an answer with neither a length nor chunks. Nothing but its
	// bytes can show that it was cut short, unless the connection is reset.
	endsWithConnection
)

// String returns the name used in logs.
func (f framing) String() string {
	return [...]string{"length", "chunks", "connection"}[f]
}

// framingOf returns how an answer is framed on its connection to this gateway.
func framingOf(resp *http.Response) framing {
	switch {
	case resp.ContentLength >= 0 || resp.Request != nil && resp.Request.Method == http.MethodHead:
		return framedByLength
	case len(resp.TransferEncoding) > 0 || resp.ProtoMajor > 1:
		return framedByChunks
	default:
		return endsWithConnection
	}
}
