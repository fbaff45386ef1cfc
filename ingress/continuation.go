// This file defines the continuation of streams: attempts that go on after the events that
// the caller has. They go only to engines of the software version that began the stream.

package ingress

import (
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/streams"
)

// Who continues a stream.
const (
	continuedByCaller   = "caller"   // the caller resumes it with a request of its own
	continuedByGateway  = "gateway"  // this gateway, within one answer
	continuedByHandover = "handover" // another gateway handed it over
)

// countContinuation counts an attempt if it continues a stream.
func (s *Server) countContinuation(x *exchange) {
	switch {
	case x.origin == nil:
	case x.handedOver:
		s.Metrics.CountContinuation(x.service, continuedByHandover)
	case x.answerStarted:
		s.Metrics.CountContinuation(x.service, continuedByGateway)
	default:
		s.Metrics.CountContinuation(x.service, continuedByCaller)
	}
}

// continuesStreams reports whether the route's streams may be continued at another engine.
func continuesStreams(route catalog.Route) bool {
	return route.Kind == catalog.KindStream && route.Resumable
}

// beginStream records whose engine writes the first event of the answer; origin is nil if that
// isn't known. It is called before the caller gets that event, so that no caller resumes a
// stream that isn't recorded. A resumed stream is recorded again: gateways that kept its
// record may be gone by now.
func (s *Server) beginStream(x *exchange, origin *streams.Origin) {
	if !continuesStreams(x.route) {
		return
	}
	if x.origin == nil {
		x.origin = origin
	}
	if x.origin == nil || x.handedOver {
		return
	}
	for _, key := range x.streamKeys() {
		s.Streams.Begin(key, *x.origin, max(x.route.Timeout, x.meta.Timeout), x.mayRunIn)
	}
}

// streamKeys returns the keys under which the caller may resume the stream of this request.
// Callers that name no request resume it by sending the same content.
func (x *exchange) streamKeys() []streams.Key {
	content := streams.ByContent(x.fingerprint.String())
	switch {
	case !x.resumesStream():
		return []streams.Key{streams.ByRequest(x.meta.ID), content}
	case x.meta.Resumes != "":
		return []streams.Key{streams.ByRequest(x.meta.Resumes), content}
	default:
		return []streams.Key{content}
	}
}

// resumesStream reports whether the caller resumes a stream that an earlier request began. The
// route's streams may have been resumable then, even if they aren't any more.
func (x *exchange) resumesStream() bool {
	return x.route.Kind == catalog.KindStream && (x.meta.Resumes != "" || x.meta.LastEventID != "")
}

// unknownRetryAfter is the Retry-After if gateways that may know a stream's origin didn't
// answer. They may be slow, or their network may be partitioned for a moment.
const unknownRetryAfter = 300 * time.Millisecond

// findOrigin sets the origin of the stream that the caller resumes. The error is a rejection
// if it isn't known: the stream can't be continued without the risk of joining it from two
// versions.
func (s *Server) findOrigin(x *exchange) error {
	if x.origin != nil || !x.resumesStream() {
		return nil
	}
	finding := s.Streams.Find(x.r.Context(), x.streamKeys()[0], x.mayRunIn)
	if origin, sole := s.soleOrigin(x, finding); sole {
		s.Metrics.CountStreamSearch(x.service, "sole_version")
		return x.adoptOrigin(origin)
	}
	rejection := &request.NotRun{Reason: request.ReasonUnknownStream}
	switch f := finding.(type) {
	case streams.Found:
		s.Metrics.CountStreamSearch(x.service, "found")
		return x.adoptOrigin(f.Origin)
	case streams.Unanswered:
		s.Metrics.CountStreamSearch(x.service, "unanswered")
		rejection.Message, rejection.RetryAfter = "gateways that may know which version began the stream didn't answer", unknownRetryAfter
	case streams.Contested:
		s.Metrics.CountStreamSearch(x.service, "contested")
		rejection.Message = "streams of several versions have the same identity"
	case streams.NotFound:
		s.Metrics.CountStreamSearch(x.service, "not_found")
		rejection.Message = "no gateway knows which version began the stream"
	}
	unconfirmed := s.unconfirmedOrigin(x, finding)
	if unconfirmed != "" {
		rejection.RetryAfter = unknownRetryAfter
	}
	s.Log.Warn("stream to resume is not known; rejecting the request", x.logFields(zap.String("resumes", x.meta.Resumes), zap.String("last_event", x.meta.LastEventID), zap.Stringer("fingerprint", x.fingerprint), zap.String("why", rejection.Message), zap.String("unconfirmed", unconfirmed))...)
	return rejection
}

// soleOrigin returns the only origin that the stream can have if no record of it was found.
// Records may all be lost, but a service whose engines have one version leaves no doubt.
func (s *Server) soleOrigin(x *exchange, finding streams.Finding) (streams.Origin, bool) {
	service, only := x.onlyService()
	if !only || isRecorded(finding) {
		return streams.Origin{}, false
	}
	return s.Dispatcher.ConfirmSoleVersion(x.r.Context(), service, max(x.route.Timeout, x.meta.Timeout), x.mayRunIn)
}

// unconfirmedOrigin returns the only origin that the stream can have as far as this gateway knows,
// "" for none. Control hosts have not confirmed it.
func (s *Server) unconfirmedOrigin(x *exchange, finding streams.Finding) string {
	service, only := x.onlyService()
	if !only || isRecorded(finding) {
		return ""
	}
	origin, sole := s.Dispatcher.SoleVersion(service, max(x.route.Timeout, x.meta.Timeout), x.mayRunIn)
	if !sole {
		return ""
	}
	return origin.String()
}

// isRecorded reports whether a gateway has a record of the stream.
func isRecorded(finding streams.Finding) bool {
	switch finding.(type) {
	case streams.Found, streams.Contested:
		return true
	default:
		return false
	}
}

// onlyService returns the service of the route's backends; false if there are several.
func (x *exchange) onlyService() (string, bool) {
	service := ""
	for _, b := range x.route.Backends {
		if b.Weight > 0 && service != "" {
			return "", false
		}
		if b.Weight > 0 {
			service = b.Service
		}
	}
	return service, service != ""
}

// mayContinue reports whether another attempt can complete the answer. After its first event,
// that requires the stream's origin and the ID of its last event.
func (x *exchange) mayContinue() bool {
	return !x.answerStarted || (x.origin != nil && x.progress.lastEventID != "")
}

// adoptOrigin makes a request that continues a stream run at the service that began it. The
// error is a rejection if the route doesn't lead to that service.
func (x *exchange) adoptOrigin(origin streams.Origin) error {
	if !slices.ContainsFunc(x.route.Backends, func(b catalog.Backend) bool { return b.Service == origin.Service }) {
		return &request.NotRun{Reason: request.ReasonUnknownStream, Message: "the route no longer leads to " + origin.Service + ", where the stream began"}
	}
	x.origin, x.service = &origin, origin.Service
	return nil
}

// ticketOrigin returns the origin of a stream that the ticket's engine begins; nil if the
// engine has started again meanwhile.
func ticketOrigin(ticket *dispatch.Ticket) *streams.Origin {
	if origin, current := ticket.Origin(); current {
		return &origin
	}
	return nil
}

// checkOrigin returns an error if the answer may come from another version than the one that
// began the stream.
func (x *exchange) checkOrigin(answering *streams.Origin) error {
	if x.origin == nil || (answering != nil && *answering == *x.origin) {
		return nil
	}
	return relay.NewFailure(false, false, errors.Errorf("the stream began at %s, and the answer may be of another version", x.origin))
}

// remoteOrigin returns the origin that another gateway states in its answer; nil for none.
func remoteOrigin(resp *http.Response) *streams.Origin {
	origin, ok := streams.Parse(resp.Header.Get(request.HeaderStreamOrigin))
	if !ok {
		return nil
	}
	return &origin
}

// setOriginHeader states the stream's origin to the gateway that handed the request over.
func (x *exchange) setOriginHeader(header http.Header) {
	if x.handedOver && x.origin != nil {
		header.Set(request.HeaderStreamOrigin, x.origin.String())
	}
}

// hasOtherRegion reports whether a request that this gateway may hand over could run in a
// region that hasn't been tried.
func (s *Server) hasOtherRegion(x *exchange) bool {
	return !x.handedOver && len(s.otherRegions(x)) > 0
}

// originField returns the log field with the origin of a continued stream.
func (x *exchange) originField() zap.Field {
	if x.origin == nil {
		return zap.Skip()
	}
	return zap.Stringer("origin", x.origin)
}
