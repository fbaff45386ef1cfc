// Package follow connects a host to the control hosts and maintains its view of the
// engines, the other hosts and the ledger.
//
// A Follower keeps one long poll, Sync, open to each control host that it has found. The
// control host answers when something has changed, or after half a second, and the
// Follower polls it again at once. The request describes the polling host, so that it is
// the host's heartbeat too. Answers are merged: engines into a registry.Table, where the
// latest report of each engine wins, and the ledger's state by its index, which never
// goes back. No control host takes precedence over another; one that is partitioned, slow
// or stopped just contributes nothing new.
//
// Control hosts are found through the seeds in the settings, and through the rosters of
// the control hosts that answer. Control hosts follow each other in the same way.
package follow

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/rollout"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/telemetry"
	"github.com/linenscale/linenscale/wire"
)

// Intervals and timeouts of the polling.
const (
	// SyncWait is how long a control host may delay its answer to a Sync. It bounds the
	// age of a host's heartbeat, and thus how fast a lost host is noticed.
	SyncWait = 500 * time.Millisecond
	// BriefSyncWait replaces SyncWait for a control host that is polled briefly, because a
	// closer one sends hosts and engines. Changes still arrive at once. With 300 gateways
	// in three regions, each control host answers 270 polls per second instead of 600.
	BriefSyncWait = 1500 * time.Millisecond
	// syncSlack is how much longer than the requested wait an answer may take before
	// the call fails: it covers a round trip between regions and a slow processor.
	syncSlack = 900 * time.Millisecond
	// retryInterval is the pause after a failed poll. It is short because hosts come back
	// within some tenths of a second of each other after a loss of power.
	retryInterval = 40 * time.Millisecond
	// fetchTimeout bounds one transfer of the ledger's state.
	fetchTimeout = 1500 * time.Millisecond
	// remoteFetchDelay is how long a newer state is not fetched from a remote region
	// while a control host of this region answers: traffic between regions costs money.
	remoteFetchDelay = 300 * time.Millisecond
	// linkTTL is how long a control host is still polled after it last answered and
	// after a seed or a roster last named it.
	linkTTL = 15 * time.Second
	// unselectedLinkTTL is how long a control host that was selected before is still
	// polled. The ones selected instead have connected by then.
	unselectedLinkTTL = 2 * time.Second
	// selectInterval is how often the control hosts to poll are determined even if nothing
	// has changed. Only the seeds in the settings change without an answer or a failure.
	selectInterval = 2 * time.Second
	// updateLinksInterval is how often the set of polled control hosts is updated.
	updateLinksInterval = 200 * time.Millisecond
)

// Deps are the dependencies of a Follower.
type Deps struct {
	Self    func() roster.Host // description of this host, sent to control hosts
	Seeds   func() []string    // peer addresses of control hosts, from the settings
	Client  *wire.Client
	Engines *registry.Table
	// Called with each newer state of the ledger. It is nil on a control host, which has
	// its own replica of the ledger.
	OnState func(ledger.State)
	Log     *zap.Logger
	Clock   func() time.Time
	// Steady is the clock that measures how up to date the ledger's state is. It goes on
	// while the host is suspended.
	Steady func() time.Duration
	// OnHosts is called with the changes that another control host forwards of the gateways
	// whose home it is, also if there are none; nil on a gateway. It reports whether the
	// earlier ones are still stored; if not, that control host is asked for all again.
	OnHosts func(incarnation string, gateways []roster.Host, gone []string) (stored bool)
	// Rollouts returns what this gateway has counted of the rollouts under way; nil on a
	// control host.
	Rollouts func() []rollout.Report
}

// Follower polls the control hosts. It is safe for concurrent use. New makes one; Run
// runs it.
type Follower struct {
	Deps

	mu    sync.Mutex
	links map[string]*link // by peer address
	state ledger.State
	// selective is set on a gateway while it polls only some control hosts.
	selective    bool
	selected     map[string]roster.Host // the control hosts to poll, by peer address
	selectedAt   time.Time              // when they were determined
	linksChanged bool                   // they may have to be others by now
	// regionHeardAt is when a control host of this region was last seen to be connected.
	regionHeardAt time.Time

	gateways    []roster.Host     // as of listsAt
	regions     map[string]string // by the IP address of a host, as of listsAt
	listsAt     time.Time
	listSources []listSource

	rounds, nextRounds map[string]*versionRound // running, and to be run after them, by service
}

// New makes a Follower that polls nobody until Run is called.
func New(deps Deps) *Follower {
	return &Follower{
		Deps: deps, links: make(map[string]*link),
		rounds: make(map[string]*versionRound), nextRounds: make(map[string]*versionRound),
	}
}

// Run polls the control hosts until ctx ends, and returns when all polls have ended.
func (f *Follower) Run(ctx context.Context) error {
	group := pool.New()
	defer group.Wait()
	f.mu.Lock()
	f.regionHeardAt = f.Clock()
	f.mu.Unlock()
	f.updateLinks(ctx, group)
	duty.Every(ctx, updateLinksInterval, func() { f.updateLinks(ctx, group) })
	return nil
}

// updateLinks starts polling control hosts that are newly named, and stops polling those
// that nothing names any more.
func (f *Follower) updateLinks(ctx context.Context, group *pool.Pool) {
	self := f.Self()
	now := f.Clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, h := range f.controlHosts(self, now) {
		l, ok := f.links[address]
		if !ok {
			linkCtx, cancel := context.WithCancel(ctx)
			l = &link{address: address, cancel: cancel, answeredAt: now}
			f.links[address] = l
			group.Go(func() { f.pollLink(linkCtx, l) })
		}
		l.namedAt = now
		if h.Name != "" {
			l.host = h
		}
	}
	for address, l := range f.links {
		unused := f.selective && now.Sub(l.namedAt) > unselectedLinkTTL
		if unused || (now.Sub(l.namedAt) > linkTTL && now.Sub(l.answeredAt) > linkTTL) {
			l.cancel()
			f.Client.Forget(address)
			delete(f.links, address)
			continue
		}
		if l.interrupt != nil && f.selective && f.syncsFully(l, self) {
			l.interrupt()
		}
	}
}

// controlHosts returns the control hosts to poll, by peer address. They are determined anew
// only if something has changed that they depend on, or some time has passed: with a
// thousand hosts, that is a large part of what an idle gateway does. The caller holds the
// lock.
func (f *Follower) controlHosts(self roster.Host, now time.Time) map[string]roster.Host {
	if !f.linksChanged && now.Sub(f.selectedAt) < selectInterval {
		return f.selected
	}
	f.linksChanged, f.selectedAt = false, now
	named := f.namedControlHosts()
	delete(named, self.Peer)
	f.selected = f.selectControlHosts(named, self)
	return f.selected
}

// namedControlHosts returns the control hosts that the seeds and the rosters name, by
// peer address. Those that only a seed names have no description yet.
func (f *Follower) namedControlHosts() map[string]roster.Host {
	out := make(map[string]roster.Host)
	for _, seed := range f.Seeds() {
		out[seed] = roster.Host{}
	}
	anyFull := false
	for _, l := range f.links {
		anyFull = anyFull || l.hosts != nil
	}
	for _, l := range f.links {
		if anyFull && l.hosts == nil {
			continue // its list may be outdated
		}
		for _, h := range l.controls {
			out[h.Peer] = h
		}
	}
	return out
}

// gatewaysOf returns the gateways among hosts.
func gatewaysOf(hosts []roster.Host) []roster.Host {
	var out []roster.Host
	for _, h := range hosts {
		if h.Role == roster.RoleGateway {
			out = append(out, h)
		}
	}
	return out
}

// pollLink polls one control host until ctx ends.
func (f *Follower) pollLink(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		args := f.newSyncArgs(l)
		sentAt := f.Steady()
		reply, err := f.poll(ctx, l, args)
		if errors.Is(err, errSuperseded) {
			continue
		}
		if err != nil {
			f.recordFailure(l, err)
			duty.Pause(ctx, retryInterval)
			continue
		}
		if f.recordKnownSelf(l, reply) {
			continue
		}
		if f.applyReply(l, args, reply, sentAt) {
			f.fetchState(ctx, l)
		}
	}
}

// errSuperseded means that a poll was given up because the control host is to be polled in
// full.
var errSuperseded = errors.New("poll superseded by a full one")

// poll makes one Sync call. updateLinks may interrupt a brief one.
func (f *Follower) poll(ctx context.Context, l *link, args SyncArgs) (SyncReply, error) {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	l.interrupt = nil
	if args.Brief {
		l.interrupt = cancel
	}
	f.mu.Unlock()
	var reply SyncReply
	err := f.Client.CallTimeout(pollCtx, args.Wait+syncSlack, l.address, Service+".Sync", args, &reply)
	if err != nil && pollCtx.Err() != nil && ctx.Err() == nil {
		return reply, errSuperseded
	}
	return reply, err
}

// newSyncArgs returns the arguments of the next poll, and records what it sends.
func (f *Follower) newSyncArgs(l *link) SyncArgs {
	self := f.Self()
	reports := f.rolloutReports()
	f.mu.Lock()
	defer f.mu.Unlock()
	brief := f.shouldSyncBriefly(l, self)
	l.wait = SyncWait
	if brief && len(reports) == 0 {
		l.wait = BriefSyncWait
	}
	args := SyncArgs{
		Self: self, Life: l.incarnation, Index: f.state.Index, Engines: l.engineCursor, Roster: l.rosterCursor,
		Wait: l.wait, Brief: brief, Selective: f.selective, Sure: len(l.freshness) > 0, Rollouts: reports,
	}
	// The first answer, a newer state of the ledger or the list of hosts is needed at once.
	if l.incarnation == "" || !l.aheadSince.IsZero() || (!brief && (l.hosts == nil || l.incoming != nil)) {
		args.Wait = 0
	}
	if f.OnState == nil {
		args.Index = math.MaxUint64 // a control host needs no state, so none counts as newer
	}
	if self == l.knownSelf {
		args.Self, args.Known = roster.Host{Name: self.Name, Life: self.Life}, true
	}
	l.sentSelf = self
	return args
}

// rolloutReports returns the reports that the next poll contains. While there are any, no
// poll waits for longer than SyncWait, since the leader decides by them.
func (f *Follower) rolloutReports() []rollout.Report {
	if f.Rollouts == nil {
		return nil
	}
	return f.Rollouts()
}

// recordFailure records a failed poll and logs the loss of the control host once.
func (f *Follower) recordFailure(l *link, err error) {
	f.mu.Lock()
	age := f.Clock().Sub(l.answeredAt)
	l.failing = true
	first := !l.lost && age > l.timeout()
	l.lost = l.lost || first
	f.linksChanged = f.linksChanged || first
	f.mu.Unlock()
	if first {
		f.Log.Warn("control host lost", zap.String("address", l.address), zap.Duration("silent_for", age), telemetry.ErrorField(err))
	}
}

// applyReply merges an answer. It reports whether to fetch the ledger's state from that
// control host.
func (f *Follower) applyReply(l *link, args SyncArgs, reply SyncReply, sentAt time.Duration) bool {
	now := f.Clock()
	f.logPhases(l, f.mergeEngines(reply, now))
	region := f.Self().Region
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordAnswer(l, args, reply, now)
	l.recordFreshness(reply.Sure, sentAt)
	f.applyLists(l, args, reply, now)
	if f.Engines.TakeLapsed(reply.confirmedSources()) {
		f.restartEngines(l)
	}
	if l.host.Region == region {
		f.regionHeardAt = now
	}
	if reply.Life != args.Life {
		f.updateSelective() // the first answer names other control hosts
	}
	if f.OnHosts != nil {
		f.forwardHosts(l, args, reply)
	}
	return f.shouldFetchState(l, region, reply.Index, now)
}

// forwardHosts passes the gateways in an answer on, and asks for all of them again if the
// answer contains only the changes since a state that isn't stored any more. The caller holds
// the lock.
func (f *Follower) forwardHosts(l *link, args SyncArgs, reply SyncReply) {
	stored := f.OnHosts(reply.Life, gatewaysOf(reply.Hosts), reply.Gone)
	if stored || args.Roster == 0 || reply.Life != args.Life {
		return
	}
	f.Log.Info("gateways that a control host forwarded have expired; fetching all its hosts again", zap.String("address", l.address), zap.String("life", reply.Life))
	l.restartHosts()
}

// mergeEngines merges an answer's engines, and returns those whose phase has changed.
func (f *Follower) mergeEngines(reply SyncReply, now time.Time) []registry.Engine {
	engines := make([]registry.Engine, len(reply.Engines))
	for i, update := range reply.Engines {
		engines[i] = update.ToEngine(now)
		if engines[i].Source == "" {
			engines[i].Source = reply.Life
		}
	}
	changed := f.Engines.Merge(engines)
	return append(changed, f.Engines.ConfirmSources(reply.confirmedSources())...)
}

// restartEngines makes the next polls ask for all engines, because some of a control host
// that answers again were removed here. Any control host may be the one that sends them. The
// caller holds the lock.
func (f *Follower) restartEngines(l *link) {
	f.Log.Info("engines of a control host that answers again had been removed; fetching all engines again", zap.String("told_by", l.address), zap.String("life", l.incarnation))
	for _, other := range f.links {
		other.engineCursor = 0
	}
}

// recordAnswer records that a control host has answered, and what it says of itself. The
// caller holds the lock.
func (f *Follower) recordAnswer(l *link, args SyncArgs, reply SyncReply, now time.Time) {
	if l.lost || l.incarnation == "" {
		f.Log.Info("control host connected", zap.String("address", l.address), zap.String("life", reply.Life), zap.Uint64("index", reply.Index))
	}
	f.linksChanged = f.linksChanged || l.lost || reply.Life != args.Life
	if l.failing || l.incarnation == "" {
		l.answersSince = now
	}
	l.lost, l.failing, l.answeredAt, l.incarnation = false, false, now, reply.Life
	if reply.Self.Name != "" {
		l.host = reply.Self
	}
	l.connectedTo = reply.Hears
	l.hasMore = reply.More
}

// applyLists applies an answer's hosts, and up to which change the lists reach. The caller
// holds the lock.
func (f *Follower) applyLists(l *link, args SyncArgs, reply SyncReply, now time.Time) {
	if args.Brief {
		l.resetCursors(reply.Hosts)
		return
	}
	before := l.rosterChanges
	if l.engineCursor == args.Engines { // otherwise it was reset during the poll
		l.engineCursor = reply.Number
	}
	l.applyHosts(reply, reply.Life != args.Life)
	if l.fullSince.IsZero() && l.hosts != nil {
		l.fullSince = now
	}
	f.linksChanged = f.linksChanged || l.rosterChanges != before
}

// logPhases logs engines whose phase changed with an answer of the control host.
func (f *Follower) logPhases(l *link, engines []registry.Engine) {
	for _, e := range engines {
		f.Log.Info("engine phase changed", zap.String("engine", e.ID), zap.String("service", e.Service), zap.Stringer("phase", e.Phase),
			zap.Int64("sequence", e.Sequence), zap.String("source", e.Source), zap.String("told_by", l.address))
	}
}

// shouldFetchState reports whether to fetch the state from a control host that has a newer
// one: at once from a control host of this region; from one of a remote region only if
// none of this region is connected, or none has provided it within remoteFetchDelay.
func (f *Follower) shouldFetchState(l *link, region string, index uint64, now time.Time) bool {
	if f.OnState == nil || index <= f.state.Index {
		l.aheadSince = time.Time{}
		return false
	}
	if l.aheadSince.IsZero() {
		l.aheadSince = now
	}
	if l.host.Region == region || now.Sub(l.aheadSince) > remoteFetchDelay {
		return true
	}
	for _, other := range f.links {
		if other.host.Region == region && other.isConnected(now) {
			return false
		}
	}
	return true
}

// fetchState fetches the ledger's state from a control host and applies it if it is newer.
func (f *Follower) fetchState(ctx context.Context, l *link) {
	var reply StateReply
	if err := f.Client.CallTimeout(ctx, fetchTimeout, l.address, Service+".State", StateArgs{}, &reply); err != nil {
		f.Log.Warn("ledger state not fetched, retrying with the next poll", zap.String("address", l.address), telemetry.ErrorField(err))
		return
	}
	var state ledger.State
	if err := ledger.DecodeCompressed(reply.State, &state); err != nil {
		f.Log.Error("ledger state can't be decoded, retrying with the next poll", zap.String("address", l.address), telemetry.ErrorField(err))
		return
	}
	f.mu.Lock()
	newer := state.Index > f.state.Index
	if newer {
		f.state = state
	}
	l.aheadSince = time.Time{}
	f.mu.Unlock()
	if newer {
		f.Log.Info("newer ledger state fetched", zap.String("from", l.address), zap.Uint64("index", state.Index),
			zap.Int64("version", state.Catalog.Version), zap.Strings("evacuated", state.Evacuated))
		f.OnState(state)
	}
}

// State returns the latest state of the ledger that has been fetched.
func (f *Follower) State() ledger.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// ConnectedCount counts the control hosts that have answered and aren't lost.
func (f *Follower) ConnectedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, l := range f.links {
		if !l.lost && l.incarnation != "" {
			n++
		}
	}
	return n
}
