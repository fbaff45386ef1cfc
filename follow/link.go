// This file defines what is known of one control host, and how it is asked.

package follow

import (
	"context"
	"slices"
	"time"

	"github.com/linenscale/linenscale/roster"
)

// link is what is known of one control host.
type link struct {
	address  string
	cancel   context.CancelFunc
	named    time.Time // when a seed or a roster last named it
	answered time.Time
	wait     time.Duration // for which it holds questions
	host     roster.Host   // as rosters tell, zero while unknown
	life     string
	number   uint64
	roster   uint64
	rosters  int                    // changes of hosts so far
	hosts    map[string]roster.Host // by name
	controls []roster.Host          // of those, the control hosts
	ahead    time.Time              // since when it has had a newer state
	down     bool                   // its loss has been logged
	sure     []sure                 // of which states it was sure, the newest last
	told     roster.Host            // what it knows of this host
	telling  roster.Host            // what it is being told
	hears    []string               // control hosts of this host's region, by name
}

// brief tells whether a control host is asked for no hosts and engines, because another
// tells them: for one of this region, a control host of this data centre that hears it;
// for one of another region, any of this region. Told by all, what hundreds of gateways hear of
// thousands of engines would cost more than they earn. The lock is held.
func (f *Follower) brief(l *link, self roster.Host) bool {
	if f.Took == nil || l.host.DataCentre == self.DataCentre && l.host.DataCentre != "" {
		return false
	}
	if l.host.Region == "" {
		return l.life == "" // its answer tells where it stands
	}
	now := f.Clock()
	for _, near := range f.links {
		if near == l || near.host.Region != self.Region || !near.inTouch(now) || near.hosts == nil {
			continue
		}
		if l.host.Region != self.Region || (near.host.DataCentre == self.DataCentre && slices.Contains(near.hears, l.host.Name)) {
			return true
		}
	}
	return false
}

// Hears gives the names of the control hosts of a region that are in touch.
func (f *Follower) Hears(region string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock()
	var out []string
	for _, l := range f.links {
		if l.host.Region == region && l.inTouch(now) {
			out = append(out, l.host.Name)
		}
	}
	slices.Sort(out)
	return out
}

// silence gives how old the last answer of a control host that is in touch may be.
func (l *link) silence() time.Duration { return max(l.wait, SyncWait) + syncSlack }

// inTouch tells whether the control host has answered lately.
func (l *link) inTouch(now time.Time) bool {
	return l.life != "" && now.Sub(l.answered) <= l.silence()
}

// meet notes what the control host knows of this host. It tells whether that is nothing,
// so that the answer holds nothing either.
func (f *Follower) meet(l *link, reply SyncReply) (stranger bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l.told = l.telling
	if reply.Stranger {
		l.told = roster.Host{}
	}
	return reply.Stranger
}

// forgetNews forgets what a control host told before it was asked briefly: it would
// be out of date when it is asked for it again.
func (l *link) forgetNews() {
	l.number, l.roster, l.hosts, l.controls = 0, 0, nil, nil
}

// takeHosts takes over which hosts the control host hears. A control host that
// has started anew tells all of them.
func (l *link) takeHosts(reply SyncReply, anew bool) {
	if !anew && l.hosts != nil && reply.Roster == l.roster {
		return
	}
	l.rosters++
	if anew || l.hosts == nil {
		l.hosts = make(map[string]roster.Host)
	}
	for _, h := range reply.Hosts {
		l.hosts[h.Name] = h
	}
	for _, name := range reply.Gone {
		delete(l.hosts, name)
	}
	l.roster = reply.Roster
	l.controls = l.controls[:0]
	for _, h := range l.hosts {
		if h.Role == roster.RoleControl {
			l.controls = append(l.controls, h)
		}
	}
}
