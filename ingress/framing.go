// This file defines how an answer shows where it ends, and what the gateway may state about the
// end of an answer that doesn't.

package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/request"
)

// framing is how an answer shows where it ends.
type framing uint8

const (
	framedByLength framing = iota
	framedByChunks
	// endsWithConnection marks an answer with neither a length nor chunks. Its end can't be told
	// from an early end unless the bytes show it or the connection is reset. Callers get
	// such an answer in the same way: a length or a last chunk would state a certainty that
	// the gateway doesn't have.
	endsWithConnection
)

// String returns the name used in logs.
func (f framing) String() string {
	return [...]string{"length", "chunks", "connection"}[f]
}

// framingOf returns how an answer was framed by the engine, also if another gateway relayed it.
func framingOf(resp *http.Response, source answerSource) framing {
	switch {
	case source.fromGateway && resp.Header.Get(request.HeaderUnframed) != "":
		return endsWithConnection
	case resp.ContentLength >= 0 || (resp.Request != nil && resp.Request.Method == http.MethodHead):
		return framedByLength
	case len(resp.TransferEncoding) > 0 || resp.ProtoMajor > 1:
		return framedByChunks
	default:
		return endsWithConnection
	}
}

// setFraming sets the headers that frame the answer for the caller; length is -1 if unknown. An
// answer to another gateway is always framed, so that the loss of this gateway shows, and
// states separately that its engine's answer was not.
func (x *exchange) setFraming(header http.Header, length int64) {
	unframed := x.framing == endsWithConnection
	if unframed && x.handedOver {
		header.Set(request.HeaderUnframed, "true")
	}
	x.callerFraming, x.endPromised = framedByChunks, !unframed
	switch {
	case unframed && !x.handedOver:
		x.callerFraming = endsWithConnection
		header.Set("Transfer-Encoding", "identity") // makes net/http neither add chunks nor a length
	case length >= 0:
		x.callerFraming = framedByLength
	case !x.r.ProtoAtLeast(1, 1):
		x.callerFraming, x.endPromised = endsWithConnection, false // net/http sends no chunks to such callers
	}
	if x.callerFraming == endsWithConnection {
		x.resetOnClose()
	}
}

// confirmEnd checks the end of an answer without framing that has arrived up to the end of its
// connection. The error is a *truncatedAnswer if the answer is known to be cut short.
func (x *exchange) confirmEnd(source answerSource) error {
	if x.framing != endsWithConnection {
		return nil
	}
	x.endUnconfirmed = true
	if source.crashed != nil && source.crashed() {
		return &truncatedAnswer{cause: errors.New("the engine crashed at the end of an answer without framing"), byEngine: true}
	}
	return nil
}

// endProbeDelay is the time from the end of an answer until its engine is asked for a
// connection. A process that ends closes its connections and its listener in any order, but
// within a few milliseconds.
const endProbeDelay = 5 * time.Millisecond

// engineCrashed reports whether the engine of an answer that has just ended refuses
// connections, and wasn't shutting down. It returns false if that can't be determined.
func (s *Server) engineCrashed(ctx context.Context, ticket *dispatch.Ticket) bool {
	duty.Pause(ctx, endProbeDelay)
	return s.refusesConnection(ctx, ticket.Address) && !ticket.EngineShuttingDown()
}

// lingerer is a connection whose handling of unsent data on Close can be set, as *net.TCPConn.
type lingerer interface{ SetLinger(seconds int) error }

// resetOnClose makes the end of the caller's connection a reset, until closeCleanly is called. It is
// for an answer without framing: if this process is killed, the kernel closes the connection,
// and a plain close would look like the end of the answer.
func (x *exchange) resetOnClose() {
	if conn, ok := x.r.Context().Value(connKey{}).(lingerer); ok {
		_ = conn.SetLinger(0)
	}
}

// closeCleanly undoes resetOnClose at the end of an answer.
func (x *exchange) closeCleanly() {
	if conn, ok := x.r.Context().Value(connKey{}).(lingerer); ok && x.callerFraming == endsWithConnection {
		_ = conn.SetLinger(-1)
	}
}

// resetConnection ends an answer without framing so that it can't be taken for complete: the
// caller's connection is reset. It reports whether it could.
func resetConnection(w http.ResponseWriter) bool {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	if conn, ok := conn.(lingerer); ok {
		_ = conn.SetLinger(0)
	}
	conn.Close()
	return true
}
