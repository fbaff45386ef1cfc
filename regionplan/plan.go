package regionplan

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/linenscale/linenscale/internal/rendezvous"
)

const (
	// Comfortable is the share of its capacity up to which a region keeps the work of its own
	// callers. At half of it, streams take twice as long as on idle engines; beyond that each
	// further percent delays them more and more, and a round trip costs callers less.
	Comfortable = 0.5
	// stillNeeded is the share of Comfortable at which a plan ends. The demand of two successive
	// seconds differs by less than a fifth where nothing has changed.
	stillNeeded = 0.8
	// quanta is how many steps of equal size the largest flow is moved in. Shares are exact to
	// one of them.
	quanta = 64
	// muchMore is how many times as much as another region one must be used for cached flows to
	// move. A third more work is about what reading prompts again costs.
	muchMore = 1.33
	// maxMoves bounds the computation. Each move evens out two regions, and with twenty regions
	// of ten flows a few hundred are needed.
	maxMoves = 4096
)

// Region is one region's engines of a service.
type Region struct {
	Name string
	// Capacity is the work per second that its engines can do, in the unit of Flow.Work.
	Capacity float64
}

// Flow is the work that the callers of one region ask for on one route.
type Flow struct {
	Source    string // region of the callers
	Route     string
	Work      float64 // per second
	Permitted func(region string) bool
	// Cached states that much of the work is avoided if requests with the same prompts go to
	// the same region.
	Cached bool
}

// Share is the share of a flow that runs in a region.
type Share struct {
	Region string
	Weight float64 // positive; the weights of a flow add up to 1
}

// Plan is the placement of all flows. It is immutable; the zero value plans nothing.
type Plan struct {
	shares map[flowKey][]Share
	// utilization is the share of each region's capacity that the plan uses.
	utilization map[string]float64
	needed      bool
}

type flowKey struct{ source, route string }

// New returns the plan for the regions and flows. Flows that may run in none of the regions
// are left out.
func New(regions []Region, flows []Flow) Plan { return Plan{}.Next(regions, flows) }

// Next returns the plan that follows on p. A plan that was needed stays so until all regions
// are clearly below what is comfortable, so that requests don't change their regions to and
// fro at that load.
func (p Plan) Next(regions []Region, flows []Flow) Plan {
	s := newPlacement(regions, flows)
	limit := Comfortable
	if p.needed {
		limit *= stillNeeded
	}
	needed := s.homeIsUsed(limit)
	s.place()
	s.level()
	next := s.plan()
	next.needed = needed
	return next
}

// Shares returns where the flow of a route's requests from the callers of a region runs, by
// region; nil if nothing is planned for it.
func (p Plan) Shares(source, route string) []Share { return p.shares[flowKey{source, route}] }

// Utilization returns the share of a region's capacity that the plan uses.
func (p Plan) Utilization(region string) float64 { return p.utilization[region] }

// IsNeeded reports whether some region's own callers ask for more than is comfortable there.
// If none do, each request can run where that is cheapest for itself.
func (p Plan) IsNeeded() bool { return p.needed }

// String formats the plan for logs, like "a=0.52 b=0.48; from a: long a=0.60 b=0.40".
func (p Plan) String() string {
	var out strings.Builder
	for i, region := range slices.Sorted(maps.Keys(p.utilization)) {
		if i > 0 {
			out.WriteByte(' ')
		}
		fmt.Fprintf(&out, "%s=%.2f", region, p.utilization[region])
	}
	keys := slices.SortedFunc(maps.Keys(p.shares), func(a, b flowKey) int {
		return cmp.Or(cmp.Compare(a.source, b.source), cmp.Compare(a.route, b.route))
	})
	for _, key := range keys {
		fmt.Fprintf(&out, "; from %s: %s", key.source, key.route)
		for _, share := range p.shares[key] {
			fmt.Fprintf(&out, " %s=%.2f", share.Region, share.Weight)
		}
	}
	return out.String()
}

// Pick returns the region for a key, of the shares that are usable; "" if none is. Equal keys
// get equal regions, and a change of the shares moves as few keys as possible (weighted
// rendezvous hashing).
func Pick(shares []Share, key uint64, usable func(region string) bool) string {
	picked, best := "", math.Inf(-1)
	for _, s := range shares {
		if s.Weight <= 0 || !usable(s.Region) {
			continue
		}
		uniform := (float64(rendezvous.Rank(key, xxhash.Sum64String(s.Region))>>11) + 0.5) / (1 << 53)
		if rank := -s.Weight / math.Log(uniform); rank > best {
			picked, best = s.Region, rank
		}
	}
	return picked
}

// placement is a plan in the making.
type placement struct {
	regions []Region
	flows   []Flow
	placed  [][]float64 // work of each flow in each region
	used    []float64   // work in each region
	quantum float64
}

func newPlacement(regions []Region, flows []Flow) *placement {
	s := &placement{}
	for _, r := range regions {
		if r.Capacity > 0 {
			s.regions = append(s.regions, r)
		}
	}
	slices.SortFunc(s.regions, func(a, b Region) int { return cmp.Compare(a.Name, b.Name) })
	largest := 0.0
	for _, f := range flows {
		if f.Work > 0 && slices.ContainsFunc(s.regions, func(r Region) bool { return f.Permitted(r.Name) }) {
			s.flows = append(s.flows, f)
			largest = max(largest, f.Work)
		}
	}
	slices.SortFunc(s.flows, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Route, b.Route))
	})
	s.quantum = largest / quanta
	s.used = make([]float64, len(s.regions))
	s.placed = make([][]float64, len(s.flows))
	for i := range s.placed {
		s.placed[i] = make([]float64, len(s.regions))
	}
	return s
}

func (s *placement) utilization(region int) float64 {
	return s.used[region] / s.regions[region].Capacity
}

// move moves work of a flow between two regions; from is negative for work that isn't placed.
func (s *placement) move(flow, from, to int, work float64) {
	if from >= 0 {
		s.placed[flow][from] -= work
		s.used[from] -= work
	}
	s.placed[flow][to] += work
	s.used[to] += work
}

// place places the flows before any is moved. A cached flow is spread over all its regions by
// their capacity, whoever its callers are, so that its prompts have the same regions while the
// peaks move. Others run in the region of their callers. Those that may not follow, in small
// steps, each to the least used region.
func (s *placement) place() {
	var elsewhere []int
	for i, f := range s.flows {
		if f.Cached {
			s.spread(i)
			continue
		}
		at := slices.IndexFunc(s.regions, func(r Region) bool { return r.Name == f.Source })
		if at < 0 || !f.Permitted(f.Source) {
			elsewhere = append(elsewhere, i)
			continue
		}
		s.move(i, -1, at, f.Work)
	}
	for _, i := range elsewhere {
		for left := s.flows[i].Work; left > 0; left -= s.quantum {
			s.move(i, -1, s.leastUsed(i, -1), min(left, s.quantum))
		}
	}
}

// spread places a flow in all its regions by their capacity.
func (s *placement) spread(flow int) {
	f, total := s.flows[flow], 0.0
	for _, r := range s.regions {
		if f.Permitted(r.Name) {
			total += r.Capacity
		}
	}
	for j, r := range s.regions {
		if f.Permitted(r.Name) {
			s.move(flow, -1, j, f.Work*r.Capacity/total)
		}
	}
}

// homeIsUsed reports whether the callers of some region ask for more than a share of its
// capacity.
func (s *placement) homeIsUsed(share float64) bool {
	asked := make(map[string]float64)
	for _, f := range s.flows {
		asked[f.Source] += f.Work
	}
	for _, r := range s.regions {
		if asked[r.Name] > share*r.Capacity {
			return true
		}
	}
	return false
}

// leastUsed returns the least used region where a flow may run, other than the given one; -1
// if there is none.
func (s *placement) leastUsed(flow, except int) int {
	best := -1
	for j, r := range s.regions {
		if j != except && s.flows[flow].Permitted(r.Name) && (best < 0 || s.utilization(j) < s.utilization(best)) {
			best = j
		}
	}
	return best
}

// level moves work out of the regions that are used beyond what is comfortable, the most used
// first, until no move evens out two regions.
func (s *placement) level() {
	for range maxMoves {
		if !s.moveOnce() {
			return
		}
	}
}

// moveOnce makes the best single move, and reports whether there was one. Cached flows move
// only where that evens out much, since their prompts are then read again.
func (s *placement) moveOnce() bool {
	for _, cached := range []bool{false, true} {
		for _, from := range s.byUtilization() {
			if s.utilization(from) <= Comfortable {
				break
			}
			if flow, to := s.bestMove(from, cached); flow >= 0 {
				s.move(flow, from, to, min(s.placed[flow][from], s.quantum))
				return true
			}
		}
	}
	return false
}

func (s *placement) byUtilization() []int {
	order := make([]int, len(s.regions))
	for j := range order {
		order[j] = j
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.utilization(b), s.utilization(a)) })
	return order
}

// bestMove returns the flow to move out of a region and where to; the flow is -1 if no move
// helps. Work that runs far from its callers anyway is moved first: it loses nothing by that.
// Otherwise the flow goes that can go to the least used region, the largest first.
func (s *placement) bestMove(from int, cached bool) (flow, to int) {
	flow, to = -1, -1
	better := func(i, j int) bool {
		if flow < 0 {
			return true
		}
		away, bestAway := s.flows[i].Source != s.regions[from].Name, s.flows[flow].Source != s.regions[from].Name
		if away != bestAway {
			return away
		}
		if a, b := s.utilization(j), s.utilization(to); a != b {
			return a < b
		}
		return s.placed[i][from] > s.placed[flow][from]
	}
	for i := range s.flows {
		work := min(s.placed[i][from], s.quantum)
		if work <= 0 || s.flows[i].Cached != cached {
			continue
		}
		j := s.leastUsed(i, from)
		if j < 0 || (cached && s.utilization(from) < muchMore*s.utilization(j)) || s.utilization(j)+work/s.regions[j].Capacity >= s.utilization(from)-work/s.regions[from].Capacity {
			continue
		}
		if better(i, j) {
			flow, to = i, j
		}
	}
	return flow, to
}

func (s *placement) plan() Plan {
	p := Plan{shares: make(map[flowKey][]Share, len(s.flows)), utilization: make(map[string]float64, len(s.regions))}
	for j, r := range s.regions {
		p.utilization[r.Name] = s.utilization(j)
	}
	for i, f := range s.flows {
		var shares []Share
		for j, r := range s.regions {
			if w := s.placed[i][j] / f.Work; w > 1e-9 {
				shares = append(shares, Share{r.Name, w})
			}
		}
		p.shares[flowKey{f.Source, f.Route}] = shares
	}
	return p
}
