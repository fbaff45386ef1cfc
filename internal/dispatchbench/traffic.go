package dispatchbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// block is one part of a prompt.
type block struct {
	id     string
	tokens int
}

// RequestKind is one kind of request of a model's service.
type RequestKind struct {
	Name                      string
	Share                     float64 // of the arrivals
	Target                    time.Duration
	MaxPause                  time.Duration // between events
	Deadline                  time.Duration
	Value                     float64
	LateValue                 float64 // worth of an answer after the target
	Priority                  int
	Homes                     []string // regions where it may run; none: any
	Resumable                 bool     // a broken stream may go on at another engine
	InputTokens, OutputTokens lognormal
	// Shared parts, each drawn from so many; the own part follows.
	SharedBlocks []sharedBlock
}

type sharedBlock struct {
	variants int
	tokens   lognormal
}

// lognormal is a distribution of tokens by its mean.
type lognormal struct {
	mean, sigma, limit float64
}

func (l lognormal) draw(r *rand.Rand) int {
	mu := math.Log(l.mean) - l.sigma*l.sigma/2
	return max(1, int(min(l.limit, math.Exp(mu+l.sigma*r.NormFloat64()))))
}

// popularitySkew makes some shared parts more frequent than others: rank to this power.
const popularitySkew = 0.3

// arrival is one request of a caller, with what became of it.
type arrival struct {
	kind        *RequestKind
	region      string // of the caller
	at          time.Duration
	id          string
	blocks      []block
	tokensIn    int
	tokensOut   int
	valueFactor float64 // worth beside that of the kind

	firstEvent, end time.Duration
	pausedTooLong   bool // longer than the kind's bound
	answered        bool
	rejections      int
	servedIn        string // region
	rereadTokens    int    // tokens of shared parts that were read again
}

// trafficGenerator draws arrivals; one seed gives the same for every way.
type trafficGenerator struct {
	random      *rand.Rand
	kinds       []*RequestKind
	blockTokens map[string]int // tokens of a shared part by its ID
	lastID      int
}

func (t *trafficGenerator) draw(region string, at time.Duration) *arrival {
	remaining := t.random.Float64()
	kind := t.kinds[len(t.kinds)-1]
	for _, k := range t.kinds {
		if remaining -= k.Share; remaining < 0 {
			kind = k
			break
		}
	}
	t.lastID++
	a := &arrival{kind: kind, region: region, at: at, id: fmt.Sprintf("r%06d", t.lastID)}
	for i, shared := range kind.SharedBlocks {
		id := fmt.Sprintf("%s/%d/%d", kind.Name, i, t.drawVariant(shared.variants))
		n, ok := t.blockTokens[id]
		if !ok {
			n = shared.tokens.draw(t.random)
			t.blockTokens[id] = n
		}
		a.blocks = append(a.blocks, block{id, n})
		a.tokensIn += n
	}
	ownTokens := kind.InputTokens.draw(t.random)
	a.blocks = append(a.blocks, block{a.id, ownTokens})
	a.tokensIn += ownTokens
	a.tokensOut = kind.OutputTokens.draw(t.random)
	mean := kind.InputTokens.mean + 10*kind.OutputTokens.mean
	for _, shared := range kind.SharedBlocks {
		mean += shared.tokens.mean
	}
	a.valueFactor = min(4, 0.3+0.7*float64(a.tokensIn+10*a.tokensOut)/mean)
	return a
}

// drawVariant draws one of n by a power of its rank.
func (t *trafficGenerator) drawVariant(n int) int {
	return int(float64(n) * math.Pow(t.random.Float64(), 1/(1-popularitySkew)))
}
