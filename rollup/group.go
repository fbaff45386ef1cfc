// This file computes the groups and their leaders: a pure function of the list of
// gateways.

package rollup

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/linenscale/linenscale/roster"
)

const (
	// maxFullMeshPeers is the number of peer gateways up to which each gateway sends its
	// reports to all of them directly. With more, leaders cost less.
	maxFullMeshPeers = 8
	// minGroupSize and maxGroupSize bound the mean size of a data centre's groups; as hashes
	// are uneven, a group may be larger. A leader sends the fewest messages where the size is
	// near the square root of the region's gateways. With larger groups the link of a leader is
	// full while those of the other gateways aren't, and what it should pass on is lost.
	minGroupSize = 4
	maxGroupSize = 16
	// leaderCandidates is how many gateways of a group may lead it, in order of rank.
	leaderCandidates = 3
	// maxRemoteLeaders is how many leaders of another region are sent this region's
	// report; they forward it to the others there.
	maxRemoteLeaders = 3
)

// Group is the set of gateways of a data centre whose hashed names lie in a range. Both
// bounds are inclusive.
type Group struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	Low, High  uint32
}

// contains reports whether every gateway of the other group belongs to this one.
func (g Group) contains(other Group) bool {
	return g.DataCentre == other.DataCentre && g.Low <= other.Low && other.High <= g.High
}

func (g Group) overlaps(other Group) bool {
	return g.DataCentre == other.DataCentre && g.Low <= other.High && other.Low <= g.High
}

// IsSingleton reports whether the group can have one member only.
func (g Group) IsSingleton() bool { return g.Low == g.High }

func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// singletonGroup returns the group that holds one gateway only.
func singletonGroup(h roster.Host) Group {
	hash := hashOf(h.Name)
	return Group{DataCentre: h.DataCentre, Low: hash, High: hash}
}

// groupSize returns the mean size of groups in a region with that number of gateways: the
// smallest power of two from its square root on, within the bounds.
func groupSize(gateways int) int {
	size := minGroupSize
	for size < maxGroupSize && size*size < gateways {
		size *= 2
	}
	return size
}

// groupOf returns a gateway's group in a data centre with that number of gateways, for groups
// of a mean size. The number of groups is a power of two, so that the ranges nest when it
// changes.
func groupOf(h roster.Host, gateways, size int) Group {
	halvings := bits.Len(uint(max(0, gateways-1) / size))
	width := 32 - halvings
	low := uint32(uint64(hashOf(h.Name)) >> width << width)
	return Group{DataCentre: h.DataCentre, Low: low, High: low + uint32(1<<width-1)}
}

// rank orders the gateways of a group; the one with the highest rank leads. It mixes the
// bits of the name's hash and the group's range as splitmix64 does.
func (g Group) rank(name string) uint64 {
	x := uint64(hashOf(name))<<32 | uint64(g.Low)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	return x * 0x94d049bb133111eb
}

// rankedGroup is a group with its gateways, the highest rank first.
type rankedGroup struct {
	group Group
	hosts []roster.Host
}

// topology is the grouping of a region's gateways as one gateway computes it.
type topology struct {
	fullMesh    bool          // each gateway sends its reports to all others directly
	ownGroup    Group         // of the computing gateway
	ranked      []roster.Host // members of ownGroup, the highest rank first
	otherGroups []rankedGroup // the region's other groups, by data centre and range
}

// size counts the region's gateways, including the computing one.
func (t topology) size() int {
	n := len(t.ranked)
	for _, g := range t.otherGroups {
		n += len(g.hosts)
	}
	return n
}

// newTopology computes the groups of a region's gateways. If self belongs to the region it
// is included even where hosts doesn't list it.
func newTopology(self roster.Host, hosts []roster.Host, region string) topology {
	local := []roster.Host{}
	perDataCentre := map[string]int{}
	for _, h := range hosts {
		if h.Region == region && h.Role == roster.RoleGateway && h.Name != self.Name {
			local = append(local, h)
			perDataCentre[h.DataCentre]++
		}
	}
	if self.Region == region {
		local = append(local, self)
		perDataCentre[self.DataCentre]++
	}
	t := topology{fullMesh: len(local)-1 <= maxFullMeshPeers}
	groupFor := func(h roster.Host) Group {
		if t.fullMesh {
			return singletonGroup(h)
		}
		return groupOf(h, perDataCentre[h.DataCentre], groupSize(len(local)))
	}
	t.ownGroup = groupFor(self)
	byGroup := make(map[Group][]roster.Host)
	for _, h := range local {
		g := groupFor(h)
		byGroup[g] = append(byGroup[g], h)
	}
	for g, members := range byGroup {
		slices.SortFunc(members, func(a, b roster.Host) int { return cmp.Compare(g.rank(b.Name), g.rank(a.Name)) })
		if g == t.ownGroup && self.Region == region {
			t.ranked = members
			continue
		}
		t.otherGroups = append(t.otherGroups, rankedGroup{g, members})
	}
	slices.SortFunc(t.otherGroups, func(a, b rankedGroup) int {
		return cmp.Or(cmp.Compare(a.group.DataCentre, b.group.DataCentre), cmp.Compare(a.group.Low, b.group.Low))
	})
	return t
}

// RemoteLeaders returns the peer addresses of those gateways of another region that forward
// reports to the others there. They are spread over the region's groups, and so over its
// data centres.
func RemoteLeaders(hosts []roster.Host, region string) []string {
	t := newTopology(roster.Host{}, hosts, region)
	count := min(len(t.otherGroups), maxRemoteLeaders)
	if t.fullMesh {
		count = len(t.otherGroups)
	}
	var out []string
	for i := range count {
		out = append(out, t.otherGroups[i*len(t.otherGroups)/count].hosts[0].Peer)
	}
	return out
}
