// This file defines the state of the connection to one control host.

package follow

import (
	"context"
	"slices"
	"time"

	"github.com/linenscale/linenscale/roster"
)

// link is the state of polling one control host.
type link struct {
	address       string
	cancel        context.CancelFunc
	namedAt       time.Time              // when a seed or a roster last named it
	answeredAt    time.Time              // time of the last answer, or of the link's start
	wait          time.Duration          // how long the current poll allows it to delay its answer
	host          roster.Host            // its description, zero while unknown
	incarnation   string                 // as of the last answer, "" before the first
	engineCursor  uint64                 // change number up to which its engine updates were received
	rosterCursor  uint64                 // the same for its hosts
	rosterChanges int                    // how often hosts has changed
	hosts         map[string]roster.Host // by name; nil while it is polled briefly
	incoming      map[string]roster.Host // replaces hosts once all pages have arrived; else nil
	controls      []roster.Host          // the control hosts among hosts
	aheadSince    time.Time              // since when it has had a newer state than this host
	lost          bool                   // it has not answered within timeout, which was logged
	freshness     []freshnessPoint       // the latest last
	knownSelf     roster.Host            // description of this host that it has
	sentSelf      roster.Host            // description of this host in the current poll
	connectedTo   []string               // control hosts that it is connected to, by name; see SyncReply.Hears
	failing       bool                   // the last poll failed
	answersSince  time.Time              // since when no poll has failed
	interrupt     context.CancelFunc     // ends the current poll if it is brief; else nil
	hasMore       bool                   // its last answer was a page that others follow
	fullSince     time.Time              // since when it sends hosts and engines; zero while it is polled briefly
}

// shouldSyncBriefly reports whether to poll a control host without requesting hosts and
// engines, because another one sends them: for a control host of this region, one of this
// data centre that is connected to it; for one of a remote region, any of this region. If
// all control hosts sent them, updates about thousands of engines to hundreds of gateways
// would cost more than they are worth. The caller holds the lock.
func (f *Follower) shouldSyncBriefly(l *link, self roster.Host) bool {
	if f.selective {
		return !f.syncsFully(l, self)
	}
	if f.OnState == nil || l.host.DataCentre == self.DataCentre && l.host.DataCentre != "" {
		return false
	}
	if l.host.Region == "" {
		return l.incarnation == "" // its first answer says where it is
	}
	now := f.Clock()
	if l.host.Region != self.Region && now.Sub(f.regionHeardAt) < remoteHomeDelay {
		return true
	}
	for _, other := range f.links {
		if other == l || other.host.Region != self.Region || !other.isConnected(now) || other.hosts == nil {
			continue
		}
		if l.host.Region != self.Region || (other.host.DataCentre == self.DataCentre && slices.Contains(other.connectedTo, l.host.Name)) {
			return true
		}
	}
	return false
}

// ConnectedControlHosts returns the names of the control hosts of a region, or of all if it
// is "", that are connected, sorted.
func (f *Follower) ConnectedControlHosts(region string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock()
	var out []string
	for _, l := range f.links {
		if (region == "" || l.host.Region == region) && l.isConnected(now) {
			out = append(out, l.host.Name)
		}
	}
	slices.Sort(out)
	return out
}

// ConnectedIncarnations returns the incarnations of the control hosts that are connected,
// sorted.
func (f *Follower) ConnectedIncarnations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock()
	var out []string
	for _, l := range f.links {
		if l.isConnected(now) {
			out = append(out, l.incarnation)
		}
	}
	slices.Sort(out)
	return out
}

// timeout returns how old the last answer of a connected control host may be.
func (l *link) timeout() time.Duration { return max(l.wait, SyncWait) + syncSlack }

// isConnected reports whether the control host has answered within its timeout.
func (l *link) isConnected(now time.Time) bool {
	return l.incarnation != "" && now.Sub(l.answeredAt) <= l.timeout()
}

// recordKnownSelf records which description of this host the control host has. It reports
// whether the control host has none, in which case the answer contains nothing else.
func (f *Follower) recordKnownSelf(l *link, reply SyncReply) (unknown bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l.knownSelf = l.sentSelf
	if reply.Stranger {
		l.knownSelf = roster.Host{}
	}
	return reply.Stranger
}

// resetCursors drops a control host's hosts and cursors when it is polled briefly: they
// would be outdated when it is asked for hosts and engines again. controls are those that
// the answer contains, which are used until some control host is polled in full.
func (l *link) resetCursors(controls []roster.Host) {
	if len(controls) == 0 && l.hosts == nil {
		controls = l.controls
	}
	l.engineCursor, l.rosterCursor, l.hosts, l.incoming, l.controls, l.fullSince = 0, 0, nil, nil, controls, time.Time{}
}

// restartHosts makes the next poll ask for all hosts. The former list stays until they have
// arrived.
func (l *link) restartHosts() {
	l.rosterCursor, l.incoming = 0, make(map[string]roster.Host)
}

// applyHosts applies the hosts in an answer. A control host that has restarted sends all
// of its hosts instead of the changes; until the last page of them has arrived, the former
// list stays.
func (l *link) applyHosts(reply SyncReply, restarted bool) {
	if !restarted && l.hosts != nil && l.incoming == nil && reply.Roster == l.rosterCursor {
		return
	}
	if restarted || (l.hosts == nil && l.incoming == nil) {
		l.incoming = make(map[string]roster.Host)
	}
	hosts := l.hosts
	if l.incoming != nil {
		hosts = l.incoming
	}
	for _, h := range reply.Hosts {
		hosts[h.Name] = h
	}
	for _, name := range reply.Gone {
		delete(hosts, name)
	}
	l.rosterCursor = reply.Roster
	if l.incoming != nil {
		if reply.More {
			return
		}
		l.hosts, l.incoming = l.incoming, nil
	}
	l.rosterChanges++
	l.controls = nil // a list that may be in use elsewhere isn't changed
	for _, h := range l.hosts {
		if h.Role == roster.RoleControl {
			l.controls = append(l.controls, h)
		}
	}
}
