// This file determines when the view of the engines is complete, and asks control hosts which versions of a
// service's software there are.

package follow

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/registry"
)

// steadyTime is how long all control hosts must have answered for the view of the engines to
// count as complete: a first transfer takes a fraction of it.
const steadyTime = time.Second

// IsSteady reports whether every control host that is polled has answered each poll within
// steadyTime and has no more pages, so that what any of them knew of the engines has arrived.
func (f *Follower) IsSteady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock()
	for _, l := range f.links {
		if !l.isConnected(now) || l.failing || l.hasMore || l.answersSince.IsZero() || now.Sub(l.answersSince) < steadyTime {
			return false
		}
	}
	return len(f.links) > 0
}

// versionsTimeout bounds one round of questions: a round trip between distant regions, and once the
// time after which a host with a share of a processor runs again.
const versionsTimeout = 260 * time.Millisecond

// VersionsArgs asks a control host for the versions of a service.
type VersionsArgs struct{ Service string }

// VersionsReply contains the versions of the engines that a control host knows in all regions, those
// that have ended within registry.Retention included.
type VersionsReply struct {
	Life     string // incarnation of the control host
	Versions []registry.ServedVersion
}

// versionRound is one round of questions to all control hosts about a service.
type versionRound struct {
	previous *versionRound // still running when this one was made; nil for none
	done     chan struct{}
	versions []registry.ServedVersion
	complete bool
}

// EngineVersions asks all control hosts that are polled which versions of a service's software there
// are, and returns their answers together. The questions are sent after the call, so the answers
// include each engine that a control host knew of before, however late polls are answered. complete
// is false unless the view of the engines is steady and all have answered.
func (f *Follower) EngineVersions(ctx context.Context, service string) (versions []registry.ServedVersion, complete bool) {
	if !f.IsSteady() {
		return nil, false
	}
	round, asks := f.joinRound(service)
	if asks {
		f.runRound(ctx, service, round)
	}
	select {
	case <-round.done:
		return round.versions, round.complete
	case <-ctx.Done():
		return nil, false
	}
}

// joinRound returns the next round about a service. Calls that come while one runs share the next
// one, which begins when it has ended; asks is true for the call that runs it.
func (f *Follower) joinRound(service string) (round *versionRound, asks bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next, waiting := f.nextRounds[service]; waiting {
		return next, false
	}
	round = &versionRound{previous: f.rounds[service], done: make(chan struct{})}
	f.nextRounds[service] = round
	return round, true
}

// runRound runs a round once the previous one has ended.
func (f *Follower) runRound(ctx context.Context, service string, round *versionRound) {
	ctx = context.WithoutCancel(ctx) // other calls wait for the round
	defer close(round.done)
	if round.previous != nil {
		<-round.previous.done
	}
	f.mu.Lock()
	delete(f.nextRounds, service)
	round.previous, f.rounds[service] = nil, round
	links := slices.Collect(maps.Values(f.links))
	f.mu.Unlock()
	round.versions, round.complete = f.askVersions(ctx, service, links)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rounds[service] == round {
		delete(f.rounds, service)
	}
}

// askVersions asks the control hosts of some links.
func (f *Follower) askVersions(ctx context.Context, service string, links []*link) (versions []registry.ServedVersion, complete bool) {
	// Canceled, not timed out: a call that times out closes the connection, and with it the poll.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(versionsTimeout, cancel)
	defer timer.Stop()
	answers := make([]VersionsReply, len(links))
	failures := make([]error, len(links))
	group := pool.New()
	for i, l := range links {
		group.Go(func() {
			failures[i] = f.Client.CallTimeout(ctx, SyncWait+syncSlack, l.address, Service+".Versions", VersionsArgs{service}, &answers[i])
		})
	}
	group.Wait()
	for i := range links {
		if failures[i] != nil || !f.isIncarnation(links[i], answers[i].Life) {
			return nil, false
		}
		versions = append(versions, answers[i].Versions...)
	}
	return versions, f.IsSteady()
}

// isIncarnation reports whether a control host is the one that answered the last poll.
func (f *Follower) isIncarnation(l *link, life string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return l.incarnation == life
}
