package dispatchbench

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/request"
)

// exchange is one request on its way through one gateway, or two.
type exchange struct {
	arrival   *arrival
	deadline  time.Duration
	tried     []string // engines
	sends     int
	engine    *engine
	run       *run
	lastEvent time.Duration  // of the newest event
	remote    *dispatch.Away // where it was handed over
}

// endRemote ends its counting as on its way to another region.
func (x *exchange) endRemote() {
	if x.remote != nil {
		x.remote.End()
	}
}

// maxSends bounds the engines that a request which may be resumed is sent to.
const maxSends = 2

// handleArrival is a caller's request reaching a gateway of its region.
func (s *Simulation) handleArrival(a *arrival) {
	x := &exchange{arrival: a, deadline: a.at + a.kind.Deadline}
	s.chooseRegion(x, s.randomGateway(a.region))
	s.clock.After(x.deadline-s.elapsed(), func() {
		if x.run != nil && !a.answered {
			x.engine.cancel(x.run)
		}
	})
}

// chooseRegion chooses the region, as the filter of package ingress does.
func (s *Simulation) chooseRegion(x *exchange, g *gateway) {
	var reachable []string
	for _, r := range s.Regions {
		if r.Name != g.host.Region && s.permitted(x.arrival, r.Name) {
			reachable = append(reachable, r.Name)
		}
	}
	region, err := s.Strategy.chooseRegion(s, g, x, s.permitted(x.arrival, g.host.Region), reachable)
	if err != nil {
		s.rejected(x, err)
		return
	}
	if region == g.host.Region {
		s.sendToEngine(x, g)
		return
	}
	s.clock.After(remoteDelay, func() { s.sendToEngine(x, s.randomGateway(region)) })
}

func (s *Simulation) permitted(a *arrival, region string) bool {
	return len(a.kind.Homes) == 0 || slices.Contains(a.kind.Homes, region)
}

func (s *Simulation) dispatchRequest(x *exchange) dispatch.Ask {
	a := x.arrival
	p := dispatch.Prompt{Model: "m", TokensIn: a.tokensIn, TokensOut: a.tokensOut}
	for _, b := range a.blocks {
		p.Parts = append(p.Parts, dispatch.Part{ID: b.id, Tokens: b.tokens})
	}
	return dispatch.Ask{
		ID: a.id, Service: serviceName, Prompt: p, Deadline: s.start.Add(x.deadline), Tried: x.tried,
		Target: a.kind.Target, Permitted: func(region string) bool { return s.permitted(a, region) },
	}
}

// sendToEngine sends the request to an engine of the gateway's region.
func (s *Simulation) sendToEngine(x *exchange, g *gateway) {
	id, done, err := s.Strategy.chooseEngine(s, g, x)
	if err != nil {
		s.rejected(x, err)
		return
	}
	x.tried = append(x.tried, id)
	s.sends++
	e, up := s.engines[id]
	if !up {
		s.clock.After(connectFailureDelay, func() {
			done.done(dispatch.Unreached)
			s.sendToEngine(x, g)
		})
		return
	}
	s.clock.After(localDelay, func() { s.submit(x, g, e, done) })
}

func (s *Simulation) submit(x *exchange, g *gateway, e *engine, done ticketCallbacks) {
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
			done.limitReceived(e.limit.signal())
			done.firstEvent()
			s.clock.After(returnDelay, x.endRemote)
		}
		if a.firstEvent == 0 {
			a.firstEvent = at
		}
		a.pausedTooLong = a.pausedTooLong || (x.lastEvent > 0 && at-x.lastEvent > a.kind.MaxPause)
		x.lastEvent = at
	}, func(ok bool) {
		x.run = nil
		if ok {
			done.done(dispatch.Answered)
			a.answered, a.end, a.servedIn = true, s.elapsed()+returnDelay, e.region
			return
		}
		done.done(dispatch.Failed)
		x.sends++
		if a.kind.Resumable && x.sends < maxSends && s.elapsed() < x.deadline {
			s.sendToEngine(x, g)
		}
	})
	if !ok {
		done.done(dispatch.Shed)
		s.rejected(x, &request.NotRun{Reason: request.ReasonOverload, RetryAfter: 150 * time.Millisecond})
		return
	}
	x.engine, x.run = e, r
	s.clock.After(x.deadline-s.elapsed(), func() {
		if x.run == r {
			done.done(dispatch.Abandoned)
		}
	})
}

// countRereads counts the shared tokens that this engine must read although another
// has read them lately.
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

// rejected is a refusal reaching the caller, who may come back once.
func (s *Simulation) rejected(x *exchange, err error) {
	x.endRemote()
	x.arrival.rejections++
	var rejection *request.NotRun
	remaining := x.deadline - s.elapsed()
	if !errors.As(err, &rejection) || x.arrival.rejections > callerRetries || x.sends > 0 || remaining <= 0 {
		return
	}
	wait := min(rejection.RetryAfter, remaining/3)
	s.clock.After(wait+2*callerDelay, func() {
		s.chooseRegion(&exchange{arrival: x.arrival, deadline: x.deadline}, s.randomGateway(x.arrival.region))
	})
}
