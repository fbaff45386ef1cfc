// This file defines what a gateway remembers about the network paths to gateways of other
// regions.

package ingress

import (
	"sync"
	"time"

	"github.com/linenscale/linenscale/roster"
)

const (
	// exclusionTime is how long a gateway is excluded from hand-overs after one has failed.
	// By then the roster has removed the gateway, or has heard from it again.
	exclusionTime = 1500 * time.Millisecond
	// answerFreshFor is how recent a gateway's last answer must be for a request that is
	// not repeatable to reuse a connection. In a network partition a request sent on a
	// pooled connection is lost, while opening a new connection fails safely. But that
	// takes a round trip: 110 ms between the users' regions, of a latency target of 300 to
	// 800 ms.
	answerFreshFor = 500 * time.Millisecond
)

// pathTable holds the state of the network paths to gateways of other regions. The zero
// value is empty and ready to use. It is safe for concurrent use.
type pathTable struct {
	mu        sync.Mutex
	byGateway map[string]*path // by the gateway's name and incarnation
}

// path is the network path to one gateway.
type path struct {
	excludedUntil time.Time
	lastAnswer    time.Time
}

// entry returns the path to a gateway. If there is none, as after a restart of the gateway,
// it creates one and removes the outdated ones. The caller holds the lock.
func (p *pathTable) entry(h roster.Host, now time.Time) *path {
	key := h.Name + "/" + h.Life
	found, ok := p.byGateway[key]
	if ok {
		return found
	}
	if p.byGateway == nil {
		p.byGateway = make(map[string]*path)
	}
	for otherKey, other := range p.byGateway {
		if now.After(other.excludedUntil) && now.Sub(other.lastAnswer) > answerFreshFor {
			delete(p.byGateway, otherKey)
		}
	}
	found = &path{}
	p.byGateway[key] = found
	return found
}

// markBroken excludes a gateway for exclusionTime after the path to it, or the gateway
// itself, has failed.
func (p *pathTable) markBroken(h roster.Host, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*p.entry(h, now) = path{excludedUntil: now.Add(exclusionTime)}
}

// recordAnswer records that a gateway has answered.
func (p *pathTable) recordAnswer(h roster.Host, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entry(h, now).lastAnswer = now
}

// isExcluded reports whether no request may be handed over to a gateway now.
func (p *pathTable) isExcluded(h roster.Host, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.byGateway[h.Name+"/"+h.Life]
	return ok && now.Before(found.excludedUntil)
}

// answeredRecently reports whether a gateway has answered within answerFreshFor.
func (p *pathTable) answeredRecently(h roster.Host, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.byGateway[h.Name+"/"+h.Life]
	return ok && now.Sub(found.lastAnswer) <= answerFreshFor
}
