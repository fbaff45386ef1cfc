// This file defines the continuation of streams: attempts that go on after the events that
// the caller has.

package ingress

// Who continues a stream.
const (
	continuedByCaller   = "caller"   // the caller resumes it with a request of its own
	continuedByGateway  = "gateway"  // this gateway, within one answer
	continuedByHandover = "handover" // another gateway handed it over
)

// countContinuation counts an attempt if it continues a stream.
func (s *Server) countContinuation(x *exchange) {
	switch {
	case x.progress.lastEventID == "":
	case x.handedOver:
		s.Metrics.CountContinuation(x.service, continuedByHandover)
	case x.answerStarted:
		s.Metrics.CountContinuation(x.service, continuedByGateway)
	default:
		s.Metrics.CountContinuation(x.service, continuedByCaller)
	}
}
