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
	a        *arrival
	deadline time.Duration
	tried    []string // engines
	sends    int
	engine   *engine
	run      *run
	last     time.Duration           // of the newest event
	away     *dispatch.RemoteRequest // where it was handed over
}

// arrived ends its counting as on its way to another region.
func (x *exchange) arrived() {
	if x.away != nil {
		x.away.End()
	}
}

// mostSends bounds the engines that a request which may be resumed is sent to.
const mostSends = 2

// arrive is a caller's request reaching a gateway of its region.
func (w *World) arrive(a *arrival) {
	x := &exchange{a: a, deadline: a.at + a.kind.Deadline}
	w.place(x, w.pick(a.region))
	w.time.After(x.deadline-w.since(), func() {
		if x.run != nil && !a.answered {
			x.engine.cancel(x.run)
		}
	})
}

// place chooses the region, as the filter of package ingress does.
func (w *World) place(x *exchange, g *gateway) {
	var reachable []string
	for _, r := range w.Regions {
		if r.Name != g.host.Region && w.permitted(x.a, r.Name) {
			reachable = append(reachable, r.Name)
		}
	}
	region, err := w.Way.region(w, g, x, w.permitted(x.a, g.host.Region), reachable)
	if err != nil {
		w.refused(x, err)
		return
	}
	if region == g.host.Region {
		w.attempt(x, g)
		return
	}
	w.time.After(farDelay, func() { w.attempt(x, w.pick(region)) })
}

func (w *World) permitted(a *arrival, region string) bool {
	return len(a.kind.Homes) == 0 || slices.Contains(a.kind.Homes, region)
}

func (w *World) ask(x *exchange) dispatch.Request {
	a := x.a
	p := dispatch.Prompt{Model: "m", InputTokens: a.tokensIn, OutputTokens: a.tokensOut}
	for _, part := range a.parts {
		p.Blocks = append(p.Blocks, dispatch.Block{ID: part.id, Tokens: part.tokens})
	}
	return dispatch.Request{
		ID: a.id, Service: service, Prompt: p, Deadline: w.start.Add(x.deadline), Tried: x.tried,
		Target: a.kind.Target, Permitted: func(region string) bool { return w.permitted(a, region) },
	}
}

// attempt sends the request to an engine of the gateway's region.
func (w *World) attempt(x *exchange, g *gateway) {
	id, done, err := w.Way.engine(w, g, x)
	if err != nil {
		w.refused(x, err)
		return
	}
	x.tried = append(x.tried, id)
	w.sends++
	e, up := w.engines[id]
	if !up {
		w.time.After(goneDelay, func() {
			done.end(dispatch.Unreached)
			w.attempt(x, g)
		})
		return
	}
	w.time.After(nearDelay, func() { w.offer(x, g, e, done) })
}

func (w *World) offer(x *exchange, g *gateway, e *engine, done ticket) {
	a := x.a
	back := nearDelay + callerDelay
	if e.region != a.region {
		back += farDelay
	}
	w.countAgain(a, e)
	e.limit.arrived(w.since())
	began := false
	one, ok := e.offer(a, func() {
		at := w.since() + back
		if !began {
			began = true
			done.heard(e.limit.word())
			done.begun()
			w.time.After(back, x.arrived)
		}
		if a.first == 0 {
			a.first = at
		}
		a.paused = a.paused || (x.last > 0 && at-x.last > a.kind.MaxPause)
		x.last = at
	}, func(ok bool) {
		x.run = nil
		if ok {
			done.end(dispatch.Answered)
			a.answered, a.end, a.served = true, w.since()+back, e.region
			return
		}
		done.end(dispatch.Failed)
		x.sends++
		if a.kind.Resumes && x.sends < mostSends && w.since() < x.deadline {
			w.attempt(x, g)
		}
	})
	if !ok {
		done.end(dispatch.Shed)
		w.refused(x, &request.NotRun{Reason: request.ReasonOverload, RetryAfter: 150 * time.Millisecond})
		return
	}
	x.engine, x.run = e, one
	w.time.After(x.deadline-w.since(), func() {
		if x.run == one {
			done.end(dispatch.Abandoned)
		}
	})
}

// countAgain counts the shared tokens that this engine must read although another
// has read them lately.
func (w *World) countAgain(a *arrival, e *engine) {
	kept := e.parts.use(a.parts[:len(a.parts)-1])
	total := 0
	for _, p := range a.parts[:len(a.parts)-1] {
		total += p.tokens
		last, read := w.lastRead[p.id]
		if total > kept && read && w.time.Now().Sub(last) < againTime {
			a.again += p.tokens
		}
		w.lastRead[p.id] = w.time.Now()
	}
}

// refused is a refusal reaching the caller, who may come back once.
func (w *World) refused(x *exchange, err error) {
	x.arrived()
	x.a.refusals++
	var refusal *request.NotRun
	left := x.deadline - w.since()
	if !errors.As(err, &refusal) || x.a.refusals > callerRetries || x.sends > 0 || left <= 0 {
		return
	}
	wait := min(refusal.RetryAfter, left/3)
	w.time.After(wait+2*callerDelay, func() { w.place(&exchange{a: x.a, deadline: x.deadline}, w.pick(x.a.region)) })
}
