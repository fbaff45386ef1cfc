package dispatchbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// part is one part of a prompt.
type part struct {
	id     string
	tokens int
}

// Kind is one kind of request of a model's service.
type Kind struct {
	Name     string
	Share    float64 // of the arrivals
	Target   time.Duration
	MaxPause time.Duration // between events
	Deadline time.Duration
	Worth    float64
	Late     float64 // worth of an answer after the target
	Priority int
	Homes    []string // regions where it may run; none: any
	Resumes  bool     // a broken stream may go on at another engine
	In, Out  lognormal
	// Shared parts, each drawn from so many; the own part follows.
	Shared []sharedPart
}

type sharedPart struct {
	things int
	tokens lognormal
}

// lognormal is a distribution of tokens by its mean.
type lognormal struct {
	mean, spread, most float64
}

func (l lognormal) draw(r *rand.Rand) int {
	mu := math.Log(l.mean) - l.spread*l.spread/2
	return max(1, int(min(l.most, math.Exp(mu+l.spread*r.NormFloat64()))))
}

// skew makes some shared parts more frequent than others: rank to this power.
const skew = 0.3

// arrival is one request of a caller, with what became of it.
type arrival struct {
	kind      *Kind
	region    string // of the caller
	at        time.Duration
	id        string
	parts     []part
	tokensIn  int
	tokensOut int
	size      float64 // worth beside that of the kind

	first, end time.Duration
	paused     bool // longer than the kind's bound
	answered   bool
	refusals   int
	served     string // region
	again      int    // tokens of shared parts that were read again
}

// traffic draws arrivals; one seed gives the same for every way.
type traffic struct {
	random *rand.Rand
	kinds  []*Kind
	sizes  map[string]int // tokens of a shared part by its ID
	serial int
}

func (t *traffic) draw(region string, at time.Duration) *arrival {
	pick := t.random.Float64()
	kind := t.kinds[len(t.kinds)-1]
	for _, k := range t.kinds {
		if pick -= k.Share; pick < 0 {
			kind = k
			break
		}
	}
	t.serial++
	a := &arrival{kind: kind, region: region, at: at, id: fmt.Sprintf("r%06d", t.serial)}
	for i, s := range kind.Shared {
		id := fmt.Sprintf("%s/%d/%d", kind.Name, i, t.thing(s.things))
		n, ok := t.sizes[id]
		if !ok {
			n = s.tokens.draw(t.random)
			t.sizes[id] = n
		}
		a.parts = append(a.parts, part{id, n})
		a.tokensIn += n
	}
	own := kind.In.draw(t.random)
	a.parts = append(a.parts, part{a.id, own})
	a.tokensIn += own
	a.tokensOut = kind.Out.draw(t.random)
	mean := kind.In.mean + 10*kind.Out.mean
	for _, s := range kind.Shared {
		mean += s.tokens.mean
	}
	a.size = min(4, 0.3+0.7*float64(a.tokensIn+10*a.tokensOut)/mean)
	return a
}

// thing draws one of n by a power of its rank.
func (t *traffic) thing(n int) int {
	return int(float64(n) * math.Pow(t.random.Float64(), 1/(1-skew)))
}
