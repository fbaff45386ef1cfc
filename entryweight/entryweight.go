// Package entryweight decides how often the directory names each gateway to callers.
//
// The gateways that a caller may use differ: one may have a third of another's processor
// and link, and any may be slow for a while. Callers open each new connection to an address
// that they pick by chance from their last answer, and keep an answer for up to three
// times its time to live. So the only way to lead them is how often a gateway is named.
// Draw names all of the largest capacity in each answer, because callers no longer use their
// connections to a gateway that a new answer lacks, and draws the others so that callers'
// new connections are in proportion to the capacity of each gateway. Where all gateways are
// alike, all are named.
//
// The package is pure: the state of the gateways and the random number are passed in.
package entryweight

import (
	"math"
	"slices"
	"time"
)

const (
	// minWeight is the smallest weight of a gateway that serves, as a fraction of the
	// largest. With none, nobody would learn that a loaded gateway has recovered.
	minWeight = 1.0 / 20
	// maxSizeRatio bounds sizes, relative to the median and its inverse. A host that
	// announces nonsense must neither attract nor repel all callers.
	maxSizeRatio = 8
	// minNamed is how many gateways an answer has at least, where there are so many:
	// a caller whose connection fails needs another address.
	minNamed = 2
	// maxAge is how old a report may be. Callers keep answers for as long, so an older one
	// says nothing about the callers that a gateway has by now.
	maxAge = 3 * time.Second
	// roundingError is more than sums of weights are wrong by.
	roundingError = 1e-9
)

// Size is what a host has of the resources that are used up by each request. What is used
// for as long as a request lasts, memory, shows in the Load: where it is plenty, it says nothing
// about a host's capacity. A field that isn't positive is unknown.
type Size struct {
	Millicores int32 // of a core of the usual speed
	LinkKbps   int32
}

// Gateway is the state of one gateway.
type Gateway struct {
	Size Size
	Load Load
	Age  time.Duration // of the report with the size and the load
}

// Draw draws the gateways to name in one answer and returns their indices in ascending
// order: up to limit, or all of them if their capacities are equal. random is uniform over [0, 1).
func Draw(gateways []Gateway, limit int, random float64) []int {
	weights := Weights(gateways)
	largest, sum := 0.0, 0.0
	for _, w := range weights {
		largest, sum = max(largest, w), sum+w
	}
	serving, heavy := 0, 0
	for _, w := range weights {
		if w > 0 {
			serving++
		}
		if w == largest {
			heavy++
		}
	}
	if heavy == len(weights) {
		return all(len(gateways))
	}
	if named := heavy + int(math.Ceil(sum/largest-float64(heavy)-roundingError)); heavy >= minNamed && named <= limit {
		return drawLighter(weights, largest, random)
	}
	// With more than this, a list would have to name the largest gateway more than once.
	named := int(sum/largest + roundingError)
	named = min(max(named, minNamed), limit, serving)
	return sample(inclusion(weights, named), random)
}

// drawLighter names all gateways of the largest weight, and draws the others so that a caller
// who picks one of an answer gets each as often as its weight says. Answers have one of two
// lengths. A gateway in the longer one is picked less often, so that one is drawn more often
// than a mean length of the sum of the weights would ask for.
func drawLighter(weights []float64, largest, random float64) []int {
	lighter := slices.Clone(weights)
	heavy, sum := 0.0, 0.0
	for i, w := range weights {
		if w == largest {
			lighter[i] = 0
			heavy++
		} else {
			sum += w / largest
		}
	}
	fewer := math.Floor(sum + roundingError)
	fraction := max(0, sum-fewer)
	longer := fraction * (heavy + fewer + 1)
	longer /= longer + (1-fraction)*(heavy+fewer)
	drawn := int(fewer)
	if random < longer {
		drawn++
		random /= longer
	} else {
		random = (random - longer) / (1 - longer)
	}
	chosen := sample(inclusion(lighter, drawn), random)
	for i, w := range weights {
		if w == largest {
			chosen = append(chosen, i)
		}
	}
	slices.Sort(chosen)
	return chosen
}

// Pick picks one of the gateways, in proportion to its capacity. random is uniform over all
// values.
func Pick(gateways []Gateway, random uint64) int {
	weights := Weights(gateways)
	sum, alike := 0.0, true
	for _, w := range weights {
		sum += w
		alike = alike && w == weights[0]
	}
	if alike {
		return int(random % uint64(len(gateways)))
	}
	position := float64(random>>11) / (1 << 53) * sum
	last := 0
	for i, w := range weights {
		if w == 0 {
			continue
		}
		last = i
		if position -= w; position < 0 {
			break
		}
	}
	return last
}

func all(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Weights returns the capacity of each gateway that is left, relative to the others. It is zero for one
// that can't serve while others can.
func Weights(gateways []Gateway) []float64 {
	out := sizes(gateways)
	anyServes := slices.ContainsFunc(gateways, func(g Gateway) bool { return g.load() != CannotServe })
	largest := 0.0
	for i, g := range gateways {
		if anyServes {
			out[i] *= g.load().factor()
		}
		largest = max(largest, out[i])
	}
	for i := range out {
		if out[i] > 0 {
			out[i] = max(out[i], minWeight*largest)
		}
	}
	return out
}

// load returns the load that a gateway is assumed to have.
func (g Gateway) load() Load {
	if g.Age > maxAge {
		return Normal
	}
	return g.Load
}

// sizes returns the sizes of the gateways relative to the median: that of the resource of which
// a gateway has least, since which one runs out first depends on the requests. One whose
// size isn't known counts as the median.
func sizes(gateways []Gateway) []float64 {
	out := make([]float64, len(gateways))
	for i := range out {
		out[i] = math.Inf(1)
	}
	for _, amountOf := range []func(Size) int32{
		func(s Size) int32 { return s.Millicores },
		func(s Size) int32 { return s.LinkKbps },
	} {
		isKnown := func(g Gateway) bool { return amountOf(g.Size) > 0 && g.Age <= maxAge }
		var known []int32
		for _, g := range gateways {
			if isKnown(g) {
				known = append(known, amountOf(g.Size))
			}
		}
		slices.Sort(known)
		for i, g := range gateways {
			if isKnown(g) {
				ratio := float64(amountOf(g.Size)) / float64(known[len(known)/2])
				out[i] = min(out[i], max(1.0/maxSizeRatio, min(maxSizeRatio, ratio)))
			}
		}
	}
	for i := range out {
		if math.IsInf(out[i], 1) {
			out[i] = 1
		}
	}
	return out
}

// inclusion returns the probability with which each gateway is named: in proportion to its
// weight, but at most one, with the given sum.
func inclusion(weights []float64, sum int) []float64 {
	out := make([]float64, len(weights))
	certain := make([]bool, len(weights))
	for {
		remaining, rest := float64(sum), 0.0
		for i, w := range weights {
			if certain[i] {
				remaining--
			} else {
				rest += w
			}
		}
		exceeds := false
		for i, w := range weights {
			switch {
			case certain[i]:
				out[i] = 1
			case rest > 0:
				out[i] = max(0, remaining) * w / rest
			}
			if !certain[i] && out[i] >= 1 {
				certain[i], exceeds = true, true
			}
		}
		if !exceeds {
			return out
		}
	}
}

// sample draws a systematic sample (Madow, 1949): each index with its probability, and as
// many as their sum.
func sample(probabilities []float64, random float64) []int {
	var out []int
	position, sum := random, 0.0
	for i, p := range probabilities {
		if sum += p; position < sum-roundingError {
			out = append(out, i)
			position++
		}
	}
	return out
}
