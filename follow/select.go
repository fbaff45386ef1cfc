// This file selects the control hosts that a gateway polls where there are many.

package follow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linenscale/linenscale/internal/rendezvous"
	"github.com/linenscale/linenscale/roster"
)

const (
	// maxPolled is how many control hosts a gateway polls where there are more than
	// pollsAllUpTo. If each gateway polled all of many, the polls that a control host
	// answers and the connections that it holds would grow with all hosts instead of with
	// those that are its own.
	maxPolled = 6
	// pollsAllUpTo is up to how many control hosts a gateway polls all of them. It leaves
	// room for hosts that replace others, which are named beside those for some seconds.
	pollsAllUpTo = 8
	// homeSettleTime is how long a control host must have answered without a failure to
	// become a gateway's home. Control hosts that start together connect within it, so
	// that the first one isn't asked for everything by all gateways.
	homeSettleTime = 250 * time.Millisecond
	// remoteHomeDelay is how long no control host of a gateway's region may be connected
	// before one of another region becomes its home, which sends hosts and engines over the
	// network between regions.
	remoteHomeDelay = time.Second
	// unheardGrace is how long after the first full answer a home may not be connected to
	// another control host before that one is polled in full as well.
	unheardGrace = 3 * time.Second
)

// Distances of a control host from a gateway.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
	unknownPlace
)

func distance(h, self roster.Host) int {
	switch {
	case h.Name == "":
		return unknownPlace
	case h.DataCentre == self.DataCentre:
		return sameDataCentre
	case h.Region == self.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// byPreference sorts control hosts for a gateway: the nearest first, and among those as near
// by rendezvous hashing, so that each is the first for an equal part of the gateways.
func byPreference[T any](items []T, hostOf func(T) roster.Host, self roster.Host) []T {
	type ranked struct {
		item     T
		distance int
		rank     uint64
	}
	key := xxhash.Sum64String(self.Name)
	order := make([]ranked, len(items))
	for i, item := range items {
		h := hostOf(item)
		order[i] = ranked{item, distance(h, self), rendezvous.Rank(key, xxhash.Sum64String(h.Name))}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.rank, a.rank))
	})
	out := make([]T, len(items))
	for i, o := range order {
		out[i] = o.item
	}
	return out
}

// selectControlHosts returns the named control hosts that this host polls. A control host
// polls all others, and so does a gateway if there are at most pollsAllUpTo. Otherwise it
// polls its home, a substitute in the same data centre, one elsewhere in its region and one
// in each other region, as far as maxPolled allows, and fills up with the next by
// preference. Those that are lost don't count. The caller holds the lock.
func (f *Follower) selectControlHosts(named map[string]roster.Host, self roster.Host) map[string]roster.Host {
	f.updateSelective()
	if !f.selective {
		return named
	}
	hosts := make([]roster.Host, 0, len(named))
	for address, h := range named {
		if l, ok := f.links[address]; ok {
			if l.lost {
				continue
			}
			if h.Name == "" {
				h = l.host
			}
		}
		if h.Name != "" {
			hosts = append(hosts, h)
		}
	}
	selected := make(map[string]roster.Host, maxPolled)
	for _, h := range SelectControlHosts(hosts, self) {
		selected[h.Peer] = h
	}
	if len(selected) == 0 {
		return named
	}
	return selected
}

// updateSelective updates whether this host polls only some control hosts. The caller holds
// the lock.
func (f *Follower) updateSelective() {
	usable := 0
	for address, h := range f.namedControlHosts() {
		l, linked := f.links[address]
		if described := h.Name != "" || (linked && l.host.Name != ""); described && !(linked && l.lost) {
			usable++
		}
	}
	f.selective = f.OnState != nil && usable > pollsAllUpTo
}

// SelectControlHosts returns those of many control hosts that a gateway polls.
func SelectControlHosts(hosts []roster.Host, self roster.Host) []roster.Host {
	hosts = byPreference(hosts, func(h roster.Host) roster.Host { return h }, self)
	type place struct{ region, dataCentre string }
	perPlace := make(map[place]int)
	var first, rest []roster.Host
	for _, h := range hosts {
		p, wanted := place{region: h.Region}, 1
		if distance(h, self) == sameDataCentre {
			p.dataCentre, wanted = h.DataCentre, 2
		}
		if perPlace[p] < wanted {
			perPlace[p]++
			first = append(first, h)
		} else {
			rest = append(rest, h)
		}
	}
	out := append(first, rest...)
	return out[:min(len(out), maxPolled)]
}

// syncsFully reports whether a selective gateway polls a control host in full: its home, and
// each selected one that the home isn't connected to, since both then know only a part. The
// caller holds the lock.
func (f *Follower) syncsFully(l *link, self roster.Host) bool {
	now := f.Clock()
	home := f.home(self, now)
	switch {
	case home == nil || l.incarnation == "":
		return false
	case l == home:
		return true
	case home.hosts == nil:
		return l.hosts != nil && l.isConnected(now) // keep the previous home until the new one has answered
	case now.Sub(home.fullSince) < unheardGrace:
		return false
	default:
		return l.isConnected(now) && !slices.Contains(home.connectedTo, l.host.Name)
	}
}

// home returns the link to this gateway's home: the first by preference of those that
// answer, or nil if none has answered for long enough. It is one of a remote region only
// if none of this region has been connected for remoteHomeDelay. The caller holds the lock.
func (f *Follower) home(self roster.Host, now time.Time) *link {
	links := byPreference(slices.Collect(maps.Values(f.links)), func(l *link) roster.Host { return l.host }, self)
	for _, l := range links {
		if !l.isConnected(now) || l.host.Name == "" {
			continue
		}
		if l.host.Region == self.Region {
			f.regionHeardAt = now
		} else if now.Sub(f.regionHeardAt) < remoteHomeDelay {
			return nil
		}
		settled := now.Sub(l.answersSince) >= homeSettleTime || l.hosts != nil
		if settled && !l.failing {
			return l
		}
	}
	return nil
}
