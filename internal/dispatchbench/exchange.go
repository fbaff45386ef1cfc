package dispatchbench

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/request"
)

// exchange is the processing of a caller's request by one gateway, or by two if the
// request is handed over to another region.
type exchange struct {
	arrival     *arrival
	deadline    time.Duration // since the start of the simulation
	tried       []string      // IDs of the engines that it was sent to
	failedSends int           // sends that an engine accepted and then failed
	engine      *engine
	active      *activeRequest
	lastEvent   time.Duration           // when the caller received the last event
	remote      *dispatch.RemoteRequest // set if package dispatch handed it over to another region
	entry       *gateway                // that the caller sent it to
}

// endRemote stops counting the request as load of another region.
func (x *exchange) endRemote() {
	if x.remote != nil {
		x.remote.End()
	}
}

// maxSends bounds the engines that a resumable request is sent to, including the first.
const maxSends = 2

// handleArrival processes a request that reaches a gateway of the caller's region.
func (s *Simulation) handleArrival(a *arrival) {
	x := &exchange{arrival: a, deadline: a.at + a.kind.Deadline}
	x.entry = s.randomGateway(a.region)
	x.entry.dispatcher.CountArrival(s.dispatchRequest(x))
	s.chooseRegion(x, x.entry)
	s.clock.After(x.deadline-s.elapsed(), func() {
		if x.active != nil && !a.answered {
			x.engine.cancel(x.active)
		}
	})
}

// chooseRegion chooses the region and forwards the request to it, as package ingress does.
func (s *Simulation) chooseRegion(x *exchange, g *gateway) {
	var reachable []string
	for _, r := range s.Regions {
		if r.Name != g.host.Region && s.permitted(x.arrival, r.Name) {
			reachable = append(reachable, r.Name)
		}
	}
	region, err := s.Strategy.chooseRegion(s, g, x, s.permitted(x.arrival, g.host.Region), reachable)
	if err != nil {
		s.handleRejection(x, err)
		return
	}
	if region == g.host.Region {
		s.sendToEngine(x, g)
		return
	}
	s.clock.After(remoteDelay, func() {
		remote := s.randomGateway(region)
		remote.dispatcher.CountHandover(s.dispatchRequest(x))
		s.sendToEngine(x, remote)
	})
}

// permitted reports whether the request may run in the region.
func (s *Simulation) permitted(a *arrival, region string) bool {
	return len(a.kind.Homes) == 0 || slices.Contains(a.kind.Homes, region)
}

// dispatchRequest returns the request in the form that package dispatch expects.
func (s *Simulation) dispatchRequest(x *exchange) dispatch.Request {
	a := x.arrival
	p := dispatch.Prompt{Model: "m", InputTokens: a.tokensIn, OutputTokens: a.outputHint}
	for _, b := range a.blocks {
		p.Blocks = append(p.Blocks, dispatch.Block{ID: b.id, Tokens: b.tokens})
	}
	req := dispatch.Request{
		ID: a.id, Route: a.kind.Name, Service: serviceName, Prompt: p, Deadline: s.start.Add(x.deadline), Tried: x.tried,
		Target: a.kind.Target, MaxPause: a.kind.MaxPause, Priority: a.kind.Priority, Account: s.accountOf(a), Permitted: func(region string) bool { return s.permitted(a, region) }, Fingerprint: quarantine.Fingerprint(dispatch.Rank("caller", a.id)),
	}
	if s.Unlimited {
		req.Deadline, req.MaxPause = time.Time{}, 0
	}
	return req
}

// accountOf returns the client account of an arrival; "" if there are none.
func (s *Simulation) accountOf(a *arrival) string {
	total := 0.0
	for _, demand := range s.Accounts {
		total += demand
	}
	drawn := total * float64(dispatch.Rank("account", a.id)>>11) / (1 << 53)
	for i, demand := range s.Accounts {
		if drawn -= demand; drawn < 0 {
			return accountName(i)
		}
	}
	return ""
}

func accountName(i int) string { return fmt.Sprint("account-", i) }

// sendToEngine sends the request to an engine of the gateway's region. It tries another
// engine if no connection can be opened.
func (s *Simulation) sendToEngine(x *exchange, g *gateway) {
	id, callbacks, err := s.Strategy.chooseEngine(s, g, x)
	if err != nil {
		s.handleRejection(x, err)
		return
	}
	x.tried = append(x.tried, id)
	s.sends++
	e, up := s.engines[id]
	if !up {
		s.clock.After(connectFailureDelay, func() {
			callbacks.done(dispatch.Unreached)
			s.sendToEngine(x, g)
		})
		return
	}
	s.clock.After(localDelay, func() { s.submitToEngine(x, g, e, callbacks) })
}

// submitToEngine submits a request that has reached an engine, and processes its answer.
func (s *Simulation) submitToEngine(x *exchange, g *gateway, e *engine, callbacks ticketCallbacks) {
	a := x.arrival
	returnDelay := localDelay + callerDelay
	if e.region != a.region {
		returnDelay += remoteDelay
	}
	s.countRereads(a, e)
	e.limit.recordArrival(s.elapsed())
	answerBegan := false
	r, ok := e.submit(a, func() {
		at := s.elapsed() + returnDelay
		if !answerBegan {
			answerBegan = true
			callbacks.limitReceived(e.limit.signal())
			callbacks.firstEvent()
			s.clock.After(returnDelay, x.endRemote)
		}
		callbacks.event()
		if a.firstEvent == 0 {
			a.firstEvent = at
		}
		a.pausedTooLong = a.pausedTooLong || (x.lastEvent > 0 && at-x.lastEvent > a.kind.MaxPause)
		x.lastEvent = at
	}, func(ok bool) {
		x.active = nil
		if ok {
			callbacks.done(dispatch.Answered)
			a.answered, a.end, a.servedIn = true, s.elapsed()+returnDelay, e.region
			return
		}
		callbacks.done(dispatch.Failed)
		x.failedSends++
		if a.kind.Resumable && x.failedSends < maxSends && s.elapsed() < x.deadline {
			s.sendToEngine(x, g)
		}
	})
	if !ok {
		callbacks.done(dispatch.Shed)
		s.handleRejection(x, &request.NotRun{Reason: request.ReasonOverload, RetryAfter: 150 * time.Millisecond})
		return
	}
	x.engine, x.active = e, r
	s.clock.After(x.deadline-s.elapsed(), func() {
		if x.active == r {
			callbacks.done(dispatch.Abandoned)
		}
	})
}

// countRereads counts the shared tokens that this engine must read although a request with
// them was sent to some engine within rereadWindow.
func (s *Simulation) countRereads(a *arrival, e *engine) {
	cached := e.cache.lookup(a.blocks[:len(a.blocks)-1])
	total := 0
	for _, b := range a.blocks[:len(a.blocks)-1] {
		total += b.tokens
		lastRead, read := s.lastRead[b.id]
		if total > cached && read && s.clock.Now().Sub(lastRead) < rereadWindow {
			a.rereadTokens += b.tokens
		}
		s.lastRead[b.id] = s.clock.Now()
	}
}

// handleRejection returns a rejection to the caller, who retries up to callerRetries
// times.
func (s *Simulation) handleRejection(x *exchange, err error) {
	x.endRemote()
	x.arrival.rejections++
	var rejection *request.NotRun
	remaining := x.deadline - s.elapsed()
	if !errors.As(err, &rejection) || x.arrival.rejections > callerRetries || x.failedSends > 0 || remaining <= 0 {
		return
	}
	wait := rejection.RetryAfter
	if s.OrderedReturns {
		wait, _ = x.entry.dispatcher.ReturnAfter(s.dispatchRequest(x), rejection, remaining, s.random.Uint64())
	}
	x.arrival.returnedAt = s.elapsed() + min(wait, remaining/3)
	s.clock.After(min(wait, remaining/3)+2*callerDelay, func() {
		again := &exchange{arrival: x.arrival, deadline: x.deadline, entry: s.randomGateway(x.arrival.region)}
		again.entry.dispatcher.CountArrival(s.dispatchRequest(again))
		s.chooseRegion(again, again.entry)
	})
}
