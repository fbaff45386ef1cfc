package dispatchbench

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Result is the result of one simulation.
type Result struct {
	Requests        int
	Rejected        int           // and not admitted when retried
	Failed          int           // broken, or not answered by the deadline
	Late            int           // started after the target, or paused for too long
	EarnedShare     float64       // earned value as a share of the value of all requests
	Earned          float64       // sum of the earned values
	WorstWindows    float64       // mean earned share of the two worst windows of windowLength
	WorstRegion     float64       // earned share of the worst region, by the callers' region
	WorstKind       float64       // earned share of the worst kind of request
	RereadShare     float64       // share of the shared tokens that were read again within rereadWindow
	RemoteShare     float64       // share of the requests that ran in another region
	P50, P99        time.Duration // time to the first event
	SendsPerRequest float64       // engines that a request was sent to, on average
	EngineTime      time.Duration // that the engines up at the end were busy, added up
	// Accounts is the work asked for and answered of each client account, in tokens.
	Accounts []AccountResult
	// Returns is the number of rejected callers that returned, and LargestReturn that within
	// the tenth of a second with the most.
	Returns, LargestReturn int
	Score                  float64      // weighted sum of the shares, less the prices
	Kinds                  []KindResult // in the order of Options.Kinds
	// LimitedEngines are the results of the engines that announced rate limits.
	LimitedEngines []LimitedEngine
	// Engines are the results of the engines that ran at the end.
	Engines []EngineResult
}

// EngineResult is the work of one engine.
type EngineResult struct {
	Region     string
	Speed      float64 // relative to Options.Engine
	TokensRead int     // of prompts
}

// KindResult is the result of the requests of one kind.
type KindResult struct {
	Name                                                     string
	Requests, Rejected, Failed, Late, PausedTooLong, Expired int // Expired is how many of the failed ones had begun, and passed their deadline
	EarnedShare                                              float64
	// ServedLargest is the share of the answered ones among the tenth with the longest prompts.
	ServedLargest float64
}

// AccountResult is the result of the requests of one client account, in tokens of prompts and
// answers. What is neither answered nor rejected has failed.
type AccountResult struct{ Asked, Answered, Rejected int }

// Served returns the share of the requests that were answered, late ones included.
func (k KindResult) Served() float64 {
	return 1 - float64(k.Rejected+k.Failed)/float64(max(1, k.Requests))
}

// LimitedEngine is the result of one engine's rate limit. Excess is by how many requests
// the worst window exceeded the bound; it is negative if none did. UsedShare is the share
// of the requests allowed by the limit that the engine got.
type LimitedEngine struct{ Excess, UsedShare float64 }

// Weights and prices of the score, as the users define them.
const (
	weightTotal, weightWindow, weightKind, weightRegion = 0.4, 0.2, 0.1, 0.3
	priceReread                                         = 0.12 / 1000 // per shared token that is read again
	priceRemote                                         = 0.06        // per request that crosses regions: about 7 KB
	windowLength                                        = 2 * time.Second
)

// valueSum adds up the value that requests earned, and the value of all requests.
type valueSum struct{ earned, possible float64 }

// share returns the earned share; 1 if there were no requests.
func (v valueSum) share() float64 {
	if v.possible == 0 {
		return 1
	}
	return v.earned / v.possible
}

// result computes the result after the simulation has ended.
func (s *Simulation) result() Result {
	r := Result{Requests: len(s.arrivals), LimitedEngines: s.limitResults()}
	for _, region := range s.Regions {
		for _, e := range s.enginesByRegion[region.Name] {
			r.Engines = append(r.Engines, EngineResult{region.Name, e.speed, e.tokensRead})
		}
	}
	var total valueSum
	regions, kinds, windows := map[string]*valueSum{}, map[string]*valueSum{}, map[int]*valueSum{}
	shared, reread, remote := 0, 0, 0
	var firstEvents []time.Duration
	byKind := map[string]*KindResult{}
	for _, k := range s.Kinds {
		byKind[k.Name] = &KindResult{Name: k.Name}
	}
	for _, a := range s.arrivals {
		value := a.kind.Value * a.valueFactor
		earned := 0.0
		kind := byKind[a.kind.Name]
		kind.Requests++
		switch {
		case !a.answered && a.rejections > callerRetries:
			r.Rejected++
			kind.Rejected++
		case !a.answered:
			r.Failed++
			kind.Failed++
			if a.firstEvent > 0 {
				kind.Expired++
			}
		case a.firstEvent-a.at > a.kind.Target || a.pausedTooLong:
			r.Late++
			kind.Late++
			if a.pausedTooLong {
				kind.PausedTooLong++
			}
			earned = value * a.kind.LateValue / a.kind.Value
		default:
			earned = value
		}
		if a.answered {
			firstEvents = append(firstEvents, a.firstEvent-a.at)
		}
		if a.answered && a.servedIn != a.region {
			remote++
		}
		reread += a.rereadTokens
		for _, b := range a.blocks[:len(a.blocks)-1] {
			shared += b.tokens
		}
		add(&total, earned, value)
		add(valueSumOf(regions, a.region), earned, value)
		add(valueSumOf(kinds, a.kind.Name), earned, value)
		add(valueSumOf(windows, int(a.at/windowLength)), earned, value)
	}
	for _, k := range s.Kinds {
		kind := *byKind[k.Name]
		kind.EarnedShare = valueSumOf(kinds, k.Name).share()
		kind.ServedLargest = s.servedLargest(k)
		r.Kinds = append(r.Kinds, kind)
	}
	r.Earned = total.earned
	r.EarnedShare, r.WorstRegion, r.WorstKind = total.share(), sortedShares(regions)[0], sortedShares(kinds)[0]
	windowShares := sortedShares(windows)
	r.WorstWindows = (windowShares[0] + windowShares[min(1, len(windowShares)-1)]) / 2
	r.RereadShare, r.RemoteShare = float64(reread)/float64(max(1, shared)), float64(remote)/float64(max(1, r.Requests))
	r.SendsPerRequest = float64(s.sends) / float64(max(1, r.Requests))
	for _, e := range s.engines {
		r.EngineTime += e.busy
	}
	r.Returns, r.LargestReturn = s.countReturns()
	r.Accounts = s.accountResults()
	slices.Sort(firstEvents)
	if n := len(firstEvents); n > 0 {
		r.P50, r.P99 = firstEvents[n/2], firstEvents[n*99/100]
	}
	r.Score = weightTotal*r.EarnedShare + weightWindow*r.WorstWindows + weightKind*r.WorstKind + weightRegion*r.WorstRegion - (float64(reread)*priceReread+float64(remote)*priceRemote)/total.possible
	return r
}

func (s *Simulation) accountResults() []AccountResult {
	out := make([]AccountResult, len(s.Accounts))
	for i := range out {
		for _, a := range s.arrivals {
			if s.accountOf(a) != accountName(i) {
				continue
			}
			out[i].Asked += a.tokensIn + a.tokensOut
			switch {
			case a.answered:
				out[i].Answered += a.tokensIn + a.tokensOut
			case a.rejections > callerRetries:
				out[i].Rejected += a.tokensIn + a.tokensOut
			}
		}
	}
	return out
}

func (s *Simulation) countReturns() (all, largest int) {
	const slot = 100 * time.Millisecond
	slots := make(map[time.Duration]int)
	for _, a := range s.arrivals {
		if a.returnedAt > 0 {
			all++
			slots[a.returnedAt/slot]++
		}
	}
	for _, n := range slots {
		largest = max(largest, n)
	}
	return all, largest
}

func add(sum *valueSum, earned, possible float64) {
	sum.earned += earned
	sum.possible += possible
}

func valueSumOf[K comparable](sums map[K]*valueSum, key K) *valueSum {
	sum, ok := sums[key]
	if !ok {
		sum = &valueSum{}
		sums[key] = sum
	}
	return sum
}

// sortedShares returns the earned shares in ascending order.
func sortedShares[K comparable](sums map[K]*valueSum) []float64 {
	out := []float64{}
	for _, sum := range sums {
		out = append(out, sum.share())
	}
	slices.Sort(out)
	return out
}

// servedLargest returns the share of the answered requests among the tenth of a kind with the
// longest prompts.
func (s *Simulation) servedLargest(k *RequestKind) float64 {
	arrivals := slices.DeleteFunc(slices.Clone(s.arrivals), func(a *arrival) bool { return a.kind != k })
	slices.SortStableFunc(arrivals, func(a, b *arrival) int { return b.tokensIn - a.tokensIn })
	largest, answered := arrivals[:(len(arrivals)+9)/10], 0
	for _, a := range largest {
		if a.answered {
			answered++
		}
	}
	return float64(answered) / float64(max(1, len(largest)))
}

// Row is the result of one strategy in one scenario.
type Row struct {
	Strategy string
	Result   Result
}

// Table holds the results of all strategies in one scenario, on the same arrivals.
type Table struct {
	Name string
	Rows []Row
}

// Write writes the table as text.
func (t Table) Write(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "\n%s\n%-22s %8s %6s %6s %6s %6s %6s %6s %6s %6s %6s %8s %8s %6s\n", t.Name,
		"way", "requests", "score", "worth", "window", "region", "kind", "late", "refus", "failed", "again", "p50", "p99", "sends"); err != nil {
		return errors.Trace(err)
	}
	for _, row := range t.Rows {
		r := row.Result
		share := func(n int) float64 { return float64(n) / float64(max(1, r.Requests)) }
		if _, err := fmt.Fprintf(out, "%-22s %8d %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6dms %6dms %6.3f\n", row.Strategy,
			r.Requests, r.Score, r.EarnedShare, r.WorstWindows, r.WorstRegion, r.WorstKind, share(r.Late), share(r.Rejected), share(r.Failed), r.RereadShare,
			r.P50.Milliseconds(), r.P99.Milliseconds(), r.SendsPerRequest); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
