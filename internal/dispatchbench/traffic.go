package dispatchbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// block is one block of a prompt.
type block struct {
	id     string
	tokens int
}

// RequestKind describes one kind of request of a model's service.
type RequestKind struct {
	Name                      string
	Share                     float64 // of the arrivals
	Target                    time.Duration
	MaxPause                  time.Duration // longest acceptable time between two events
	Deadline                  time.Duration
	Value                     float64 // of an answer in time
	LateValue                 float64 // of an answer that started late or paused for too long
	Priority                  int
	Homes                     []string // regions where it may run; empty for all
	Resumable                 bool     // a broken stream may be resumed at another engine
	InputTokens, OutputTokens lognormal
	// HintError is the standard deviation of the logarithm of the caller's estimate of
	// OutputTokens, which is right in the median.
	HintError float64
	// SharedBlocks precede the block that is the request's own.
	SharedBlocks []sharedBlock
}

// sharedBlock describes a prompt block that requests share: each request has one of its
// variants.
type sharedBlock struct {
	variants int
	tokens   lognormal
}

// lognormal is a lognormal distribution of token counts. sigma is the standard deviation
// of the logarithm, and limit the largest count.
type lognormal struct {
	mean, sigma, limit float64
}

func (l lognormal) draw(r *rand.Rand) int {
	mu := math.Log(l.mean) - l.sigma*l.sigma/2
	return max(1, int(min(l.limit, math.Exp(mu+l.sigma*r.NormFloat64()))))
}

// popularitySkew makes some variants of a shared block more frequent than others: the
// frequency falls with the rank to this power.
const popularitySkew = 0.3

// arrival is one request of a caller, and its outcome.
type arrival struct {
	kind        *RequestKind
	region      string        // of the caller
	at          time.Duration // since the start of the simulation
	id          string
	blocks      []block
	tokensIn    int
	tokensOut   int
	outputHint  int     // the caller's estimate of tokensOut
	valueFactor float64 // value relative to the kind's: longer requests are worth more

	firstEvent, end time.Duration // when the caller received the first event and the end
	pausedTooLong   bool          // for longer than the kind's MaxPause
	answered        bool
	rejections      int
	returnedAt      time.Duration // when the caller returned after a rejection
	servedIn        string        // region that answered
	rereadTokens    int           // tokens of shared blocks that were read again
}

// trafficGenerator draws the arrivals. A seed gives the same arrivals for every strategy.
type trafficGenerator struct {
	random      *rand.Rand
	kinds       []*RequestKind
	blockTokens map[string]int // tokens of each shared block by ID
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
	a.outputHint = a.tokensOut
	if kind.HintError > 0 {
		a.outputHint = max(1, int(float64(a.tokensOut)*math.Exp(kind.HintError*t.random.NormFloat64())))
	}
	mean := kind.InputTokens.mean + 10*kind.OutputTokens.mean
	for _, shared := range kind.SharedBlocks {
		mean += shared.tokens.mean
	}
	a.valueFactor = min(4, 0.3+0.7*float64(a.tokensIn+10*a.tokensOut)/mean)
	return a
}

// drawVariant draws one of n variants, by popularitySkew.
func (t *trafficGenerator) drawVariant(n int) int {
	return int(float64(n) * math.Pow(t.random.Float64(), 1/(1-popularitySkew)))
}
