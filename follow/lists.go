// This file defines the lists of hosts that are made of what control hosts tell.

package follow

import (
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/linenscale/linenscale/roster"
)

// listsLife is how long the lists of hosts are used before they are made anew:
// each request asks for them.
const listsLife = 100 * time.Millisecond

// Gateways gives the gateways that the control hosts in touch name, each once, in
// the order of their names; where none is in touch, those that were named last.
// Where two control hosts tell different things of one, the one that answered
// last counts. The list must not be changed.
func (f *Follower) Gateways() []roster.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list()
	return f.gateways
}

// RegionOf gives the region of the host at an address; false where no control
// host in touch has named it.
func (f *Follower) RegionOf(address string) (region string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list()
	region, ok = f.regions[ipOf(address)]
	return region, ok
}

// ipOf gives the IP number of an address with a port.
func ipOf(address string) string {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return ip
}

// list makes the lists of hosts anew where something has changed since they were made:
// to join what six control hosts tell of 300 takes 0.5 ms of a processor. The lock is
// held.
func (f *Follower) list() {
	now := f.Clock()
	if now.Sub(f.listed) < listsLife {
		return
	}
	f.listed = now
	telling := f.telling(now)
	if slices.Equal(telling, f.listedOf) {
		return
	}
	f.listedOf = telling
	newest := make(map[string]roster.Host)
	regions := make(map[string]string)
	for _, t := range telling {
		for name, h := range t.link.hosts {
			regions[ipOf(h.Peer)] = h.Region
			if h.Role != roster.RoleGateway {
				continue
			}
			h.Heard = t.link.answered
			if known, ok := newest[name]; !ok || h.Heard.After(known.Heard) {
				newest[name] = h
			}
		}
	}
	if len(telling) > 0 {
		f.regions = regions
		f.gateways = slices.SortedFunc(maps.Values(newest), func(a, b roster.Host) int { return strings.Compare(a.Name, b.Name) })
	}
}

// teller is a control host in touch, and how often the hosts that it names had changed.
type teller struct {
	link    *link
	rosters int
}

// telling gives the control hosts in touch, in the order of their addresses. One that
// is gone would name for ever the gateways that went after it. The lock is held.
func (f *Follower) telling(now time.Time) []teller {
	var out []teller
	for _, l := range f.links {
		if l.inTouch(now) && l.hosts != nil {
			out = append(out, teller{l, l.rosters})
		}
	}
	slices.SortFunc(out, func(a, b teller) int { return strings.Compare(a.link.address, b.link.address) })
	return out
}
