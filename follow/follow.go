// Package follow keeps a host in touch with the control hosts.
//
// A Follower holds one standing question to each control host that it knows
// of: the control host answers when something has changed, or after half a
// second, and is asked again at once. The question tells of the asking host,
// so that it is also its heartbeat. What comes back is merged: engines into a
// registry.Table, where the newest word of each holds, and the ledger's state by
// its index, which never goes back. No control host is more right than another;
// one that is cut off, slow or gone just brings nothing new.
//
// Control hosts are found through the seeds of the settings, and through the
// rosters of those that answer. They follow each other in the same way.
package follow

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/telemetry"
	"github.com/linenscale/linenscale/wire"
)

// Timing of the following.
const (
	// SyncWait is how long a control host may hold a question. It bounds the
	// age of a host's heartbeat, and with it how fast a lost host is noticed.
	SyncWait = 500 * time.Millisecond
	// FarWait is the same for a control host that is asked briefly, because a nearer one
	// answers: news comes as soon, and before 300 gateways of three regions each control
	// host answers 270 questions a second instead of 600.
	FarWait = 1500 * time.Millisecond
	// syncSlack is how much longer an answer may take before the connection
	// counts as dead: a round trip between regions, and a slow processor.
	syncSlack = 900 * time.Millisecond
	// retryPause is the wait after a question that was not answered. After a
	// loss of power, hosts come back within some tenths of a second of each other.
	retryPause = 40 * time.Millisecond
	// fetchTime bounds the fetching of a state.
	fetchTime = 1500 * time.Millisecond
	// farPatience is how long a far control host that is ahead is passed over
	// in favour of a near one, because bytes between regions cost money.
	farPatience = 300 * time.Millisecond
	// forgetTime is how long a control host that no seed and no roster names
	// is still asked.
	forgetTime = 15 * time.Second
	// tidyEvery is how often the known control hosts are looked over.
	tidyEvery = 200 * time.Millisecond
)

// Deps are what a Follower needs.
type Deps struct {
	Self    func() roster.Host // what to tell of this host
	Seeds   func() []string    // peer addresses of control hosts, from the settings
	Calls   *wire.Client
	Engines *registry.Table
	// Took is called with each newer state of the ledger; nil on a control
	// host, which has its own.
	Took  func(ledger.State)
	Log   *zap.Logger
	Clock func() time.Time
	// Steady is the clock by which the age of what is known is measured: it goes on
	// while the host is frozen.
	Steady func() time.Duration
}

// Follower is safe for concurrent use. New makes one; Run runs it.
type Follower struct {
	Deps

	mu    sync.Mutex
	links map[string]*link // by peer address
	state ledger.State

	gateways []roster.Host     // as of listed
	regions  map[string]string // by the IP number of a host, as of listed
	listed   time.Time
	listedOf []teller
}

// New makes a follower.
func New(deps Deps) *Follower {
	return &Follower{Deps: deps, links: make(map[string]*link)}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group := pool.New()
	defer group.Wait()
	f.tidy(ctx, group)
	duty.Every(ctx, tidyEvery, func() { f.tidy(ctx, group) })
	return nil
}

// tidy starts a duty for each control host that is newly known, and ends those
// that nothing names any more.
func (f *Follower) tidy(ctx context.Context, group *pool.Pool) {
	self := f.Self()
	now := f.Clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	named := f.named()
	delete(named, self.Peer)
	for address, host := range named {
		l, ok := f.links[address]
		if !ok {
			bound, cancel := context.WithCancel(ctx)
			l = &link{address: address, cancel: cancel, answered: now}
			f.links[address] = l
			group.Go(func() { f.follow(bound, l) })
		}
		l.named = now
		if host.Name != "" {
			l.host = host
		}
	}
	for address, l := range f.links {
		if now.Sub(l.named) > forgetTime && now.Sub(l.answered) > forgetTime {
			l.cancel()
			delete(f.links, address)
		}
	}
}

// named gives the control hosts that the seeds and the rosters name.
func (f *Follower) named() map[string]roster.Host {
	out := make(map[string]roster.Host)
	for _, seed := range f.Seeds() {
		out[seed] = roster.Host{}
	}
	for _, l := range f.links {
		for _, h := range l.controls {
			out[h.Peer] = h
		}
	}
	return out
}

// follow is the duty that asks one control host again and again.
func (f *Follower) follow(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		args := f.ask(l)
		asked := f.Steady()
		var reply SyncReply
		err := f.Calls.WithTimeout(ctx, args.Wait+syncSlack, l.address, Service+".Sync", args, &reply)
		if err != nil {
			f.lost(l, err)
			duty.Pause(ctx, retryPause)
			continue
		}
		if f.meet(l, reply) {
			continue
		}
		if f.take(l, args, reply, asked) {
			f.fetch(ctx, l)
		}
	}
}

func (f *Follower) ask(l *link) SyncArgs {
	self := f.Self()
	f.mu.Lock()
	defer f.mu.Unlock()
	brief := f.brief(l, self)
	l.wait = SyncWait
	if brief {
		l.wait = FarWait
	}
	args := SyncArgs{Self: self, Life: l.life, Engines: l.number, Index: f.state.Index, Roster: l.roster, Wait: l.wait, Brief: brief, Sure: len(l.sure) > 0}
	if l.life == "" || !l.ahead.IsZero() || (!brief && l.hosts == nil) {
		args.Wait = 0
	}
	if f.Took == nil {
		args.Index = math.MaxUint64 // no state is news to a host that has its own
	}
	if self == l.told {
		args.Self, args.Known = roster.Host{Name: self.Name, Life: self.Life}, true
	}
	l.telling = self
	return args
}

// lost notes that a control host did not answer.
func (f *Follower) lost(l *link, cause error) {
	f.mu.Lock()
	age := f.Clock().Sub(l.answered)
	first := !l.down && age > l.silence()
	l.down = l.down || first
	f.mu.Unlock()
	if first {
		f.Log.Warn("control host lost", zap.String("address", l.address), zap.Duration("silent_for", age), telemetry.Cause(cause))
	}
}

// take merges an answer. It tells whether a newer state should be fetched from
// there.
func (f *Follower) take(l *link, args SyncArgs, reply SyncReply, asked time.Duration) bool {
	now := f.Clock()
	engines := make([]registry.Engine, len(reply.Engines))
	for i, n := range reply.Engines {
		engines[i] = n.Local(now)
		if engines[i].Source == "" {
			engines[i].Source = reply.Life
		}
	}
	f.Engines.Merge(engines)
	f.Engines.Confirm(reply.Life)
	region := f.Self().Region
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.down || l.life == "" {
		f.Log.Info("control host in touch", zap.String("address", l.address), zap.String("life", reply.Life), zap.Uint64("index", reply.Index))
	}
	l.down, l.answered, l.life = false, now, reply.Life
	if reply.Self.Name != "" {
		l.host = reply.Self
	}
	l.takeSurety(reply.Sure, asked)
	l.hears = reply.Hears
	if args.Brief {
		l.forgetNews()
	} else {
		l.number = reply.Number
		l.takeHosts(reply, reply.Life != args.Life)
	}
	return f.worthFetching(l, region, reply.Index, now)
}

// worthFetching tells whether to fetch the state from a control host that has a
// newer one: at once from one of this region, from a far one only where no near
// one brings it.
func (f *Follower) worthFetching(l *link, region string, index uint64, now time.Time) bool {
	if f.Took == nil || index <= f.state.Index {
		l.ahead = time.Time{}
		return false
	}
	if l.ahead.IsZero() {
		l.ahead = now
	}
	if l.host.Region == region || now.Sub(l.ahead) > farPatience {
		return true
	}
	for _, other := range f.links {
		if other.host.Region == region && other.inTouch(now) {
			return false
		}
	}
	return true
}

// fetch takes the ledger's state from a control host.
func (f *Follower) fetch(ctx context.Context, l *link) {
	var reply StateReply
	if err := f.Calls.WithTimeout(ctx, fetchTime, l.address, Service+".State", StateArgs{}, &reply); err != nil {
		f.Log.Warn("state not fetched", zap.String("address", l.address), telemetry.Cause(err))
		return
	}
	var state ledger.State
	if err := ledger.Unpack(reply.State, &state); err != nil {
		f.Log.Error("state can't be read", zap.String("address", l.address), telemetry.Cause(err))
		return
	}
	f.mu.Lock()
	newer := state.Index > f.state.Index
	if newer {
		f.state = state
	}
	l.ahead = time.Time{}
	f.mu.Unlock()
	if newer {
		f.Log.Info("state taken", zap.String("from", l.address), zap.Uint64("index", state.Index),
			zap.Int64("version", state.Catalog.Version), zap.Strings("evacuated", state.Evacuated))
		f.Took(state)
	}
}

// State gives the newest state of the ledger that has been fetched.
func (f *Follower) State() ledger.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// InTouch counts the control hosts that have answered lately.
func (f *Follower) InTouch() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, l := range f.links {
		if !l.down && l.life != "" {
			n++
		}
	}
	return n
}
