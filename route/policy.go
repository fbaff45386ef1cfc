// This file defines the policies that choose an engine: PrefixBounded, which
// gateways use, and the baselines that it is compared with.

package route

import "time"

// Policy selects how Choose picks an engine. Only the types of this package
// implement it; the zero value of each is ready for use.
type Policy interface{ policy() }

// Random picks any eligible engine.
type Random struct{}

// FewestInFlight picks the eligible engine with the fewest requests in flight
// from this host.
type FewestInFlight struct{}

// TwoChoices draws two eligible engines at random and picks the less utilised
// one.
type TwoChoices struct{}

// PrefixBounded compares the engines that have the prompt's prefix cached with
// a few engines drawn at random, and picks the one with the lowest expected
// time to the first token: the wait for a slot plus the prefill of the blocks
// that are not cached. A cache holder whose utilisation exceeds a bound is
// skipped, so that a single hot prefix can't overload one engine.
type PrefixBounded struct{}

func (Random) policy()         {}
func (FewestInFlight) policy() {}
func (TwoChoices) policy()     {}
func (PrefixBounded) policy()  {}

// Choose picks an engine for a request, or returns NoChoice if none is
// eligible. random is 64 uniformly distributed bits; equal arguments yield
// equal choices. Choose doesn't allocate.
func Choose(p Policy, v *View, req *Request, random uint64) Choice {
	switch p.(type) {
	case Random:
		return chooseRandom(v, req, random)
	case FewestInFlight:
		return chooseFewestInFlight(v, req, random)
	case TwoChoices:
		return chooseTwoChoices(v, req, random)
	default:
		return choosePrefixBounded(v, req, random)
	}
}

// firstEligible returns the index of the first eligible engine, scanning from a
// random position, or -1. It skips the index exclude if that isn't negative.
func firstEligible(v *View, req *Request, random uint64, exclude int) int {
	n := len(v.Engines)
	if n == 0 {
		return -1
	}
	start := int(random % uint64(n))
	for k := range n {
		i := (start + k) % n
		if i != exclude && exclusion(v, req, i) == NotExcluded {
			return i
		}
	}
	return -1
}

func chooseRandom(v *View, req *Request, random uint64) Choice {
	i := firstEligible(v, req, random, -1)
	if i < 0 {
		return NoChoice
	}
	return Choice{Index: i, Reason: "random"}
}

func chooseFewestInFlight(v *View, req *Request, random uint64) Choice {
	best := NoChoice
	n := len(v.Engines)
	if n == 0 {
		return best
	}
	// The remainder is computed before k is added: if random+k overflowed, the
	// scan would skip engines.
	start := int(random % uint64(n))
	for k := range n {
		i := (start + k) % n
		if exclusion(v, req, i) != NotExcluded {
			continue
		}
		if best.Index < 0 || v.Engines[i].InFlight < v.Engines[best.Index].InFlight {
			best = Choice{Index: i, Reason: "fewest in flight"}
		}
	}
	return best
}

func chooseTwoChoices(v *View, req *Request, random uint64) Choice {
	first := firstEligible(v, req, random, -1)
	if first < 0 {
		return NoChoice
	}
	second := firstEligible(v, req, splitmix64(random), first)
	if second >= 0 && v.Engines[second].utilisation() < v.Engines[first].utilisation() {
		first = second
	}
	return Choice{Index: first, Reason: "two choices"}
}

// sampleSize is the number of engines that PrefixBounded draws at random.
// Sampling keeps the cost of a decision constant and prevents hosts from all
// choosing the same engine.
const sampleSize = 16

// A cache holder is considered while its utilisation is at most
// holderBoundFactor times the mean utilisation of the sampled engines, or
// minHolderBound if that is greater.
const (
	holderBoundFactor = 1.25
	minHolderBound    = 0.8
)

func choosePrefixBounded(v *View, req *Request, random uint64) Choice {
	best := NoChoice
	sum, n := 0.0, 0
	for range min(sampleSize, len(v.Engines)) {
		i := firstEligible(v, req, random, best.Index)
		random = splitmix64(random)
		if i >= 0 {
			sum += v.Engines[i].utilisation()
			n++
			best = lowerScore(v, req, best, Choice{Index: i, CachedBlocks: v.cachedBlocks(req, i), Reason: "expected time"})
		}
	}
	if best.Index < 0 || v.Prefixes == nil {
		return best
	}
	bound := max(minHolderBound, holderBoundFactor*sum/float64(n))
	for blocks := len(req.PrefixChain); blocks > 0; blocks-- {
		holders := v.Prefixes.Holders(req.PrefixChain[blocks-1])
		for _, holder := range holders {
			i := int(holder) - 1
			if i < 0 || i >= len(v.Engines) || exclusion(v, req, i) != NotExcluded {
				continue
			}
			if v.Engines[i].utilisation() > bound {
				continue
			}
			best = lowerScore(v, req, best, Choice{Index: i, CachedBlocks: blocks, Reason: "prefix"})
		}
		if best.CachedBlocks >= blocks {
			break
		}
	}
	return best
}

// lowerScore computes the candidate's score and returns the choice with the
// lower score. Any candidate replaces NoChoice.
func lowerScore(v *View, req *Request, old, candidate Choice) Choice {
	candidate.ExpectedTime = v.score(req, candidate)
	if old.Index < 0 || candidate.ExpectedTime < old.ExpectedTime {
		return candidate
	}
	return old
}

// score returns the expected time to the first token, including a penalty for
// utilisation.
func (v *View) score(req *Request, c Choice) time.Duration {
	e := &v.Engines[c.Index]
	prefill := req.PrefillTime
	if n := len(req.PrefixChain); n > 0 {
		prefill = req.PrefillTime * time.Duration(n-c.CachedBlocks) / time.Duration(n)
	}
	// An engine slows down before all its slots are in use, and a busier engine
	// has less headroom for the next burst. The penalty is quadratic.
	utilisation := e.utilisation()
	penalty := time.Duration(utilisation * utilisation * float64(fullBatchPenalty))
	return e.expectedWait() + prefill + penalty
}

// fullBatchPenalty is the assumed cost of adding a request to a full batch.
const fullBatchPenalty = 200 * time.Millisecond

// cachedBlocks returns how many leading blocks of the prompt the engine has
// cached, according to the prefix index.
func (v *View) cachedBlocks(req *Request, engine int) int {
	if v.Prefixes == nil {
		return 0
	}
	for blocks := len(req.PrefixChain); blocks > 0; blocks-- {
		for _, holder := range v.Prefixes.Holders(req.PrefixChain[blocks-1]) {
			if int(holder)-1 == engine {
				return blocks
			}
		}
	}
	return 0
}

// splitmix64 returns the next value of a pseudo-random sequence with full
// period (https://prng.di.unimi.it/splitmix64.c).
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// EngineScore reports how one engine was rated for a request.
type EngineScore struct {
	Engine       string        `json:"engine"`
	Exclusion    string        `json:"refused"` // "considered", or the reason for the exclusion
	Score        time.Duration `json:"score"`   // expected time to the first token
	CachedBlocks int           `json:"hit"`     // cached prefix blocks
	Load         float64       `json:"load"`
	Slots        int           `json:"slots"`
	Health       string        `json:"health"`
}

// Explain returns the score of every engine, and for each engine that is not
// eligible the reason.
func Explain(v *View, req *Request) []EngineScore {
	out := make([]EngineScore, len(v.Engines))
	for i := range v.Engines {
		e := &v.Engines[i]
		cached := v.cachedBlocks(req, i)
		out[i] = EngineScore{
			Engine:       e.Name,
			Exclusion:    exclusion(v, req, i).String(),
			Score:        v.score(req, Choice{Index: i, CachedBlocks: cached}),
			CachedBlocks: cached,
			Load:         e.Load(),
			Slots:        e.Slots,
			Health:       e.Health.String(),
		}
	}
	return out
}
