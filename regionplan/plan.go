package regionplan

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

const (
	// Comfortable is the share of its capacity up to which a region keeps the work of its own
	// callers. At half of it, streams take twice as long as on idle engines; beyond that each
	// further percent delays them more and more, and a round trip costs callers less.
	Comfortable = 0.5
	// endFactor is the share of Comfortable at which a plan ends. Requests would change their
	// regions to and fro if it began and ended at the same load.
	endFactor = 0.8
	// quanta is how many steps of equal size the largest flow is moved in. Shares are exact to
	// one of them.
	quanta = 64
	// cachedMoveRatio is how many times as much as another region one must be used for cached
	// flows to move. A third more work is about what reading prompts again costs.
	cachedMoveRatio = 1.33
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

// Flow is the work that the callers of one region ask for in one class of requests, which may
// run in the same regions.
type Flow struct {
	Source    string // region of the callers
	Class     uint32
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

type flowKey struct {
	source string
	class  uint32
}

// New returns the plan for the regions and flows. Flows that may run in none of the regions
// are left out.
func New(regions []Region, flows []Flow) Plan { return Plan{}.Next(regions, flows) }

// Next returns the plan that follows on p. A plan that was needed stays so until all regions
// are clearly below what is comfortable, so that requests don't change their regions to and
// fro at that load.
func (p Plan) Next(regions []Region, flows []Flow) Plan {
	limit := Comfortable
	if p.needed {
		limit *= endFactor
	}
	atHome := newPlacement(regions, flows)
	atHome.placeAtHome(false)
	if !atHome.isUsed(limit) {
		return Plan{utilization: atHome.utilizations()}
	}
	leveled := newPlacement(regions, flows)
	leveled.placeAtHome(true)
	leveled.level()
	return leveled.plan()
}

// Shares returns where the flow of a class from the callers of a region runs, by region; nil if
// nothing is planned for it.
func (p Plan) Shares(source string, class uint32) []Share { return p.shares[flowKey{source, class}] }

// Utilization returns the share of a region's capacity that the plan uses.
func (p Plan) Utilization(region string) float64 { return p.utilization[region] }

// IsNeeded reports whether some region's own callers ask for more than is comfortable there.
// If none do, each request can run where that is cheapest for itself.
func (p Plan) IsNeeded() bool { return p.needed }

// String formats the plan for logs, like "a=0.52 b=0.48; from a: 00a1b2c3 a=0.60 b=0.40".
func (p Plan) String() string {
	var out strings.Builder
	for i, region := range slices.Sorted(maps.Keys(p.utilization)) {
		if i > 0 {
			out.WriteByte(' ')
		}
		fmt.Fprintf(&out, "%s=%.2f", region, p.utilization[region])
	}
	keys := slices.SortedFunc(maps.Keys(p.shares), func(a, b flowKey) int {
		return cmp.Or(cmp.Compare(a.source, b.source), cmp.Compare(a.class, b.class))
	})
	for _, key := range keys {
		fmt.Fprintf(&out, "; from %s: %08x", key.source, key.class)
		for _, share := range p.shares[key] {
			fmt.Fprintf(&out, " %s=%.2f", share.Region, share.Weight)
		}
	}
	return out.String()
}

// Pick returns the region for a request, of the shares that are usable; "" if none is. rank
// returns a uniformly distributed hash of what the request shares with others and a region.
// Equal ranks give equal regions, and a change of the shares moves as few requests as possible
// (weighted rendezvous hashing).
func Pick(shares []Share, rank func(region string) uint64, usable func(region string) bool) string {
	picked, best := "", math.Inf(-1)
	for _, s := range shares {
		if s.Weight <= 0 || !usable(s.Region) {
			continue
		}
		uniform := (float64(rank(s.Region)>>11) + 0.5) / (1 << 53)
		if score := -s.Weight / math.Log(uniform); score > best {
			picked, best = s.Region, score
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
	p := &placement{}
	for _, r := range regions {
		if r.Capacity > 0 {
			p.regions = append(p.regions, r)
		}
	}
	slices.SortFunc(p.regions, func(a, b Region) int { return cmp.Compare(a.Name, b.Name) })
	largest := 0.0
	for _, f := range flows {
		if f.Work > 0 && slices.ContainsFunc(p.regions, func(r Region) bool { return f.Permitted(r.Name) }) {
			p.flows = append(p.flows, f)
			largest = max(largest, f.Work)
		}
	}
	slices.SortFunc(p.flows, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Class, b.Class))
	})
	p.quantum = largest / quanta
	p.used = make([]float64, len(p.regions))
	p.placed = make([][]float64, len(p.flows))
	for i := range p.placed {
		p.placed[i] = make([]float64, len(p.regions))
	}
	return p
}

func (p *placement) utilization(region int) float64 {
	return p.used[region] / p.regions[region].Capacity
}

// move moves work of a flow between two regions; from is negative for work that isn't placed.
func (p *placement) move(flow, from, to int, work float64) {
	if from >= 0 {
		p.placed[flow][from] -= work
		p.used[from] -= work
	}
	p.placed[flow][to] += work
	p.used[to] += work
}

// placeAtHome places each flow in the region of its callers. Flows that may not run there, or
// whose region has no engines, follow in small steps, each to the least used region. With
// spreadCached, cached flows are spread over all their regions by capacity instead, whoever
// their callers are, so that their prompts have the same regions while the peaks move.
func (p *placement) placeAtHome(spreadCached bool) {
	var elsewhere []int
	for i, f := range p.flows {
		if spreadCached && f.Cached {
			p.spread(i)
			continue
		}
		at := slices.IndexFunc(p.regions, func(r Region) bool { return r.Name == f.Source })
		if at < 0 || !f.Permitted(f.Source) {
			elsewhere = append(elsewhere, i)
			continue
		}
		p.move(i, -1, at, f.Work)
	}
	for _, i := range elsewhere {
		for left := p.flows[i].Work; left > 0; left -= p.quantum {
			work := min(left, p.quantum)
			p.move(i, -1, p.leastUsedWith(i, -1, work), work)
		}
	}
}

// spread places a flow in all its regions by their capacity.
func (p *placement) spread(flow int) {
	f, total := p.flows[flow], 0.0
	for _, r := range p.regions {
		if f.Permitted(r.Name) {
			total += r.Capacity
		}
	}
	for j, r := range p.regions {
		if f.Permitted(r.Name) {
			p.move(flow, -1, j, f.Work*r.Capacity/total)
		}
	}
}

// isUsed reports whether some region is used beyond a share of its capacity.
func (p *placement) isUsed(share float64) bool {
	for j := range p.regions {
		if p.utilization(j) > share {
			return true
		}
	}
	return false
}

// leastUsedWith returns the region, other than the given one, that would be used least if it
// got so much more work of a flow; -1 if the flow may run in no other.
func (p *placement) leastUsedWith(flow, except int, work float64) int {
	best := -1
	for j, r := range p.regions {
		if j != except && p.flows[flow].Permitted(r.Name) && (best < 0 || p.utilizationWith(j, work) < p.utilizationWith(best, work)) {
			best = j
		}
	}
	return best
}

// utilizationWith returns a region's utilization if it got so much more work.
func (p *placement) utilizationWith(region int, work float64) float64 {
	return (p.used[region] + work) / p.regions[region].Capacity
}

// level moves work out of the regions that are used beyond what is comfortable, the most used
// first, until no move evens out two regions.
func (p *placement) level() {
	for range maxMoves {
		if !p.moveOnce() {
			return
		}
	}
}

// moveOnce makes the best single move, and reports whether there was one. Cached flows move
// only where that evens out much, since their prompts are then read again.
func (p *placement) moveOnce() bool {
	for _, cached := range []bool{false, true} {
		for _, from := range p.byUtilization() {
			if p.utilization(from) <= Comfortable {
				break
			}
			if flow, to := p.bestMove(from, cached); flow >= 0 {
				p.move(flow, from, to, min(p.placed[flow][from], p.quantum))
				return true
			}
		}
	}
	return false
}

func (p *placement) byUtilization() []int {
	order := make([]int, len(p.regions))
	for j := range order {
		order[j] = j
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.utilization(b), p.utilization(a)) })
	return order
}

// bestMove returns the flow to move out of a region and where to; the flow is -1 if no move
// helps. Work that runs far from its callers anyway is moved first: it loses nothing by that.
// Otherwise the flow goes that can go to the least used region, the largest first.
func (p *placement) bestMove(from int, cached bool) (flow, to int) {
	flow, to = -1, -1
	better := func(i, j int) bool {
		if flow < 0 {
			return true
		}
		away, bestAway := p.flows[i].Source != p.regions[from].Name, p.flows[flow].Source != p.regions[from].Name
		if away != bestAway {
			return away
		}
		if a, b := p.utilization(j), p.utilization(to); a != b {
			return a < b
		}
		return p.placed[i][from] > p.placed[flow][from]
	}
	for i := range p.flows {
		work := min(p.placed[i][from], p.quantum)
		if work <= 0 || p.flows[i].Cached != cached {
			continue
		}
		j := p.leastUsedWith(i, from, work)
		if j < 0 || (cached && p.utilization(from) < cachedMoveRatio*p.utilization(j)) || p.utilizationWith(j, work) >= p.utilizationWith(from, -work) {
			continue
		}
		if better(i, j) {
			flow, to = i, j
		}
	}
	return flow, to
}

func (p *placement) utilizations() map[string]float64 {
	out := make(map[string]float64, len(p.regions))
	for j, r := range p.regions {
		out[r.Name] = p.utilization(j)
	}
	return out
}

func (p *placement) plan() Plan {
	out := Plan{needed: true, shares: make(map[flowKey][]Share, len(p.flows)), utilization: p.utilizations()}
	for i, f := range p.flows {
		var shares []Share
		for j, r := range p.regions {
			if w := p.placed[i][j] / f.Work; w > 1e-9 {
				shares = append(shares, Share{r.Name, w})
			}
		}
		out.shares[flowKey{f.Source, f.Class}] = shares
	}
	return out
}
