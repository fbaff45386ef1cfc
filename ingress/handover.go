// This file defines the hand-over of a request to a gateway of another region.

package ingress

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/entryweight"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/telemetry"
)

const (
	// regionRetryAfter is the Retry-After if no gateway of a region can be reached.
	// Network partitions last for seconds.
	regionRetryAfter = time.Second
	// maxGatewaysPerRegion bounds the gateways of one region that are tried for one
	// request.
	maxGatewaysPerRegion = 2
)

// acceptsHandover reports whether requests may be handed over to gateway h.
func (s *Server) acceptsHandover(h roster.Host) bool {
	return h.Region != s.Self.Region && !h.Stopping && h.Handover != "" && !s.remotePaths.isExcluded(h, s.Clock())
}

// runInRegion runs the request locally, or hands it over to a gateway of another region.
func (s *Server) runInRegion(x *exchange, region string) error {
	if region == s.Self.Region {
		return s.runAttempts(x)
	}
	var err error = &request.NotRun{Reason: request.ReasonNoEngine, Message: "no gateway of " + region + " can be reached", RetryAfter: regionRetryAfter}
	for range maxGatewaysPerRegion {
		gateway, ok := s.pickGateway(region)
		if !ok {
			return err
		}
		var pathBroken bool
		if pathBroken, err = s.handOver(x, gateway); !pathBroken {
			return err
		}
		s.remotePaths.markBroken(gateway, s.Clock())
		if !x.mayRetryElsewhere(err) {
			return err
		}
	}
	return err
}

// pickGateway picks a gateway of a region, each in proportion to its capacity.
func (s *Server) pickGateway(region string) (roster.Host, bool) {
	var candidates []roster.Host
	for _, h := range s.Gateways() {
		if h.Region == region && s.acceptsHandover(h) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return roster.Host{}, false
	}
	// The list is of connected control hosts, which drop a gateway that is silent. Its Heard times
	// are as of the last change, so they say nothing about the age of a load.
	states := make([]entryweight.Gateway, len(candidates))
	for i, h := range candidates {
		states[i] = entryweight.Gateway{Size: h.Size, Load: h.Load}
	}
	return candidates[entryweight.Pick(states, s.Random())], true
}

// handOver sends the request to a gateway of another region and relays its answer.
// pathBroken reports whether the network path to that gateway, or the gateway itself, has
// failed.
func (s *Server) handOver(x *exchange, gateway roster.Host) (pathBroken bool, err error) {
	s.Log.Info("handing over request", x.logFields(zap.String("gateway", gateway.Name), zap.String("region", gateway.Region), zap.String("resumes", x.meta.Resumes), zap.String("last_event", x.progress.lastEventID), x.originField(), zap.Duration("remaining", s.remaining(x)))...)
	header := relay.ForwardableHeaders(x.r.Header)
	if x.progress.lastEventID != "" {
		header = s.Dialect.ResumeHeader(header, x.progress.lastEventID)
	}
	handover := request.Request{ID: x.meta.ID, Deadline: x.deadline, PriorSends: x.progress.sends, Origin: x.origin}.WithVisitedHost(s.Self.Name)
	number := s.sendCounters.begin(s.Random)
	defer s.sendCounters.end(number) // also if the answer is aborted by a panic
	handover.Counter = request.SendCounter{Address: s.Self.Handover, Number: number}
	handover.SetHandoverHeaders(header, s.Clock(), uint64(x.catalog.table.Version()))
	sendsBefore := x.progress.sends
	remote := s.Dispatcher.BeginRemote(gateway.Region, x.dispatchRequest(nil))
	var announcedSends atomic.Int64
	resp, err := s.Peers.Send(x.r.Context(), relay.Call{
		Method: x.r.Method, URL: "http://" + gateway.Handover + x.r.URL.RequestURI(), Host: x.r.Host,
		Header: header, Body: x.bodyReader(), BodyLength: int64(len(x.body)),
		EchoesAttempt: true, OwnConnection: !x.route.Repeatable() && !s.remotePaths.answeredRecently(gateway, s.Clock()),
		CheckAnswer:     func(resp *http.Response) error { return x.checkRemoteAnswer(resp) },
		OnInformational: func(header http.Header) { announcedSends.Store(int64(parseSends(header))) },
	})
	remote.End()
	x.progress.sends = max(x.progress.sends, int(announcedSends.Load()))
	statedFailure := "" // in the answer's trailer
	if err == nil {
		s.remotePaths.recordAnswer(gateway, s.Clock())
		resp.Body = &remoteBody{ReadCloser: resp.Body, resp: resp, x: x}
		defer resp.Body.Close()
		err = s.relayAnswer(x, resp, answerSource{fromGateway: true, origin: remoteOrigin(resp)})
		statedFailure = resp.Trailer.Get(request.HeaderOutcome)
	}
	x.progress.sends = max(x.progress.sends, s.sendCounters.end(number))
	if err == nil {
		s.countOutcome(x, "answered_elsewhere")
		s.Log.Info("answer of the other gateway relayed", x.logFields(zap.String("gateway", gateway.Name), zap.Stringer("framing", x.framing), zap.Bool("end_confirmed", !x.endUnconfirmed), zap.String("stated_failure", statedFailure), zap.Duration("took", s.Clock().Sub(x.startedAt)))...)
		return false, nil
	}
	s.Log.Warn("hand-over failed", x.logFields(zap.String("gateway", gateway.Name), zap.Bool("started", x.answerStarted), zap.String("stated_failure", statedFailure), telemetry.ErrorField(err))...)
	pathBroken, err = x.classifyHandOverError(err, sendsBefore)
	var unknown *request.OutcomeUnknown
	x.progress.mayHaveRun = x.progress.mayHaveRun || errors.As(err, &unknown)
	return pathBroken, err
}

// classifyHandOverError turns the error of a hand-over into the one for the caller. The
// path is not broken if the other gateway itself rejected the request, unless it is stopping, or if the caller has
// disconnected or left the answer unread. sendsBefore is how often the request had been sent to engines before the
// hand-over.
func (x *exchange) classifyHandOverError(err error, sendsBefore int) (pathBroken bool, final error) {
	var notRun *request.NotRun
	if errors.As(err, &notRun) && notRun.Reason == request.ReasonStopping {
		return true, &request.NotRun{Reason: request.ReasonNoEngine, Message: notRun.Message, RetryAfter: notRun.RetryAfter}
	}
	var rejection request.Refusal
	if errors.As(err, &rejection) {
		return false, rejection
	}
	var truncated *truncatedAnswer
	if errors.As(err, &truncated) && truncated.byEngine {
		return false, &request.OutcomeUnknown{Message: err.Error()}
	}
	var failure *relay.Failure
	if errors.As(err, &failure) && failure.NotRun {
		return true, &request.NotRun{Reason: request.ReasonNoEngine, Message: err.Error(), RetryAfter: regionRetryAfter}
	}
	if x.progress.sends == sendsBefore {
		x.progress.sends++ // the other gateway announced no send, but may have made one
	}
	var unread *relay.UnreadError
	return x.r.Context().Err() == nil && !errors.As(err, &unread), &request.OutcomeUnknown{Message: err.Error()}
}

// checkRemoteAnswer turns a rejection or failure that another gateway reports into an error
// of this gateway.
func (x *exchange) checkRemoteAnswer(resp *http.Response) error {
	x.mergeSends(resp.Header)
	switch resp.Header.Get(request.HeaderOutcome) {
	case "":
		if x.answerStarted && resp.StatusCode != http.StatusOK {
			return relay.NewFailure(false, false, errors.Errorf("the other gateway answered the resumed stream with status %d", resp.StatusCode))
		}
		if resp.StatusCode != http.StatusOK {
			return nil
		}
		if err := x.checkOrigin(remoteOrigin(resp)); err != nil {
			return &request.OutcomeUnknown{Message: err.Error()}
		}
		return nil
	case request.OutcomeValueNotRun:
		wait, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
		if err != nil {
			wait = regionRetryAfter
		}
		return &request.NotRun{Reason: remoteReason(resp.Header), Message: "the gateway of the other region refused it", RetryAfter: wait}
	default:
		return &request.OutcomeUnknown{Message: "the gateway of the other region could not tell"}
	}
}

// remoteReason maps the reason of another gateway's rejection to one for this gateway. Most
// reasons apply to that region only, so another region may be tried. A request that
// crashes engines would crash those of the other regions as well, and one that a stopping
// gateway refuses may run at another one of its region.
func remoteReason(header http.Header) request.Reason {
	switch reason := request.Reason(header.Get(request.HeaderReason)); reason {
	case request.ReasonQuarantined, request.ReasonStopping:
		return reason
	default:
		return request.ReasonNoEngine
	}
}

// mergeSends adopts the number of sends that another gateway reports in header, if it is
// higher.
func (x *exchange) mergeSends(header http.Header) {
	x.progress.sends = max(x.progress.sends, parseSends(header))
}

// parseSends returns how often a request has been sent to engines; 0 if header doesn't
// state it.
func parseSends(header http.Header) int {
	sends, err := strconv.Atoi(header.Get(request.HeaderSends))
	if err != nil {
		return 0
	}
	return sends
}

// announceSend tells the gateway that handed the request over that this gateway is about to send
// it to one more engine: in an informational response, or by a call once its answer has
// begun. If this gateway is then lost, the other one has still counted the send. A first
// send needs no announcement: the other gateway counts one if a hand-over that may have
// arrived fails without an answer. The error means that the request must not be sent.
func (s *Server) announceSend(x *exchange) error {
	if !x.handedOver || x.progress.sends == 0 {
		return nil
	}
	if x.answerStarted {
		return s.confirmSend(x)
	}
	x.w.Header().Set(request.HeaderSends, strconv.Itoa(x.progress.sends+1))
	x.w.WriteHeader(http.StatusEarlyHints)
	return nil
}
