// This file defines which gateways tell each other what: a pure function of the list
// of gateways.

package rollup

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/linenscale/linenscale/roster"
)

const (
	// fewOthers is up to how many other gateways of the region each tells all of
	// them: with more, leaders cost less.
	fewOthers = 8
	// mostMembers is how many gateways form a group at most, but for the unevenness
	// of hashes. With 100 gateways of a region it makes eight groups of twelve, near
	// the square root, where a leader has the least to tell.
	mostMembers = 16
	// candidates is how many gateways of a group may lead it, one after the other.
	candidates = 3
	// farLeaders is how many leaders of another region are told of this one; they tell
	// the rest there.
	farLeaders = 3
)

// Group is the gateways of a data centre whose hashed names lie in a range, both ends
// included.
type Group struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	Low, High  uint32
}

// contains tells whether all of another group belong to this one.
func (g Group) contains(o Group) bool {
	return g.DataCentre == o.DataCentre && g.Low <= o.Low && o.High <= g.High
}

func (g Group) overlaps(o Group) bool {
	return g.DataCentre == o.DataCentre && g.Low <= o.High && o.Low <= g.High
}

// Alone tells whether the group can have one member only.
func (g Group) Alone() bool { return g.Low == g.High }

func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// loneGroup is the group of one gateway alone.
func loneGroup(h roster.Host) Group {
	hash := hashOf(h.Name)
	return Group{DataCentre: h.DataCentre, Low: hash, High: hash}
}

// groupOf gives a gateway's group where so many stand in its data centre. The number of
// groups is a power of two, so that the ranges of different numbers lie within each
// other.
func groupOf(h roster.Host, gateways int) Group {
	halvings := bits.Len(uint(max(0, gateways-1) / mostMembers))
	width := 32 - halvings
	low := uint32(uint64(hashOf(h.Name)) >> width << width)
	return Group{DataCentre: h.DataCentre, Low: low, High: low + uint32(1<<width-1)}
}

// rank orders the gateways of a group; the highest leads.
func (g Group) rank(name string) uint64 {
	x := uint64(hashOf(name))<<32 | uint64(g.Low)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	return x * 0x94d049bb133111eb
}

// party is a group and its gateways, the first in rank first.
type party struct {
	group Group
	hosts []roster.Host
}

// view is a region's gateways as one of them sees them.
type view struct {
	few    bool          // each tells all others
	own    Group         // of the one who sees
	ranked []roster.Host // of the own group
	others []party       // the region's other groups, in the order of their ranges
}

// size counts the region's gateways, the one who sees among them.
func (v view) size() int {
	n := len(v.ranked)
	for _, p := range v.others {
		n += len(p.hosts)
	}
	return n
}

// newView makes the view of self on the gateways of a region, self among them or not.
func newView(self roster.Host, hosts []roster.Host, region string) view {
	near := []roster.Host{}
	inCentre := map[string]int{}
	for _, h := range hosts {
		if h.Region == region && h.Role == roster.RoleGateway && h.Name != self.Name {
			near = append(near, h)
			inCentre[h.DataCentre]++
		}
	}
	if self.Region == region {
		near = append(near, self)
		inCentre[self.DataCentre]++
	}
	v := view{few: len(near)-1 <= fewOthers}
	group := func(h roster.Host) Group {
		if v.few {
			return loneGroup(h)
		}
		return groupOf(h, inCentre[h.DataCentre])
	}
	v.own = group(self)
	parties := make(map[Group][]roster.Host)
	for _, h := range near {
		g := group(h)
		parties[g] = append(parties[g], h)
	}
	for g, all := range parties {
		slices.SortFunc(all, func(a, b roster.Host) int { return cmp.Compare(g.rank(b.Name), g.rank(a.Name)) })
		if g == v.own && self.Region == region {
			v.ranked = all
			continue
		}
		v.others = append(v.others, party{g, all})
	}
	slices.SortFunc(v.others, func(a, b party) int {
		return cmp.Or(cmp.Compare(a.group.DataCentre, b.group.DataCentre), cmp.Compare(a.group.Low, b.group.Low))
	})
	return v
}

// FarLeaders gives the addresses of those gateways of another region that tell the
// others there. They are spread over its groups, and so over its data centres.
func FarLeaders(hosts []roster.Host, region string) []string {
	v := newView(roster.Host{}, hosts, region)
	most := min(len(v.others), farLeaders)
	if v.few {
		most = len(v.others)
	}
	var out []string
	for i := range most {
		out = append(out, v.others[i*len(v.others)/most].hosts[0].Peer)
	}
	return out
}
