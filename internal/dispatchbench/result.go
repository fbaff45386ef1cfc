package dispatchbench

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Result is what one run showed.
type Result struct {
	Requests        int
	Rejected        int     // for good
	Failed          int     // broken off, or not answered by the deadline
	Late            int     // began after the target, or paused for too long
	EarnedShare     float64 // share of what all requests in time are worth
	Earned          float64 // what was earned, in the worth of the kinds
	WorstWindows    float64 // of the two worst spans of two seconds
	WorstRegion     float64 // of the worst-served region's callers
	WorstKind       float64 // of the worst-served kind
	RereadShare     float64 // share of the shared tokens that were read again
	RemoteShare     float64 // share that ran in another region
	P50, P99        time.Duration
	SendsPerRequest float64 // engines tried for each request
	Score           float64 // the weighed sum of the above, less the prices
	// Limited are the engines that named limits, by how many requests the worst window of
	// each was beyond what it may get (negative for less), and what it got of what it takes.
	LimitedEngines []LimitedEngine
}

// LimitedEngine is what came of an engine's limit.
type LimitedEngine struct{ Excess, UsedShare float64 }

// Weights and prices of the users' sheets.
const (
	weightTotal, weightWindow, weightKind, weightRegion = 0.4, 0.2, 0.1, 0.3
	priceReread                                         = 0.12 / 1000 // of a shared token read again
	priceRemote                                         = 0.06        // of a request that crosses regions: some 7 KB
	windowLength                                        = 2 * time.Second
)

// valueSum adds up what was earned of what was owed.
type valueSum struct{ earned, possible float64 }

func (t valueSum) share() float64 {
	if t.possible == 0 {
		return 1
	}
	return t.earned / t.possible
}

func (s *Simulation) result() Result {
	r := Result{Requests: len(s.arrivals), LimitedEngines: s.limitResults()}
	var total valueSum
	regions, kinds, windows := map[string]*valueSum{}, map[string]*valueSum{}, map[int]*valueSum{}
	shared, reread, remote := 0, 0, 0
	var firstEvents []time.Duration
	for _, a := range s.arrivals {
		value := a.kind.Value * a.valueFactor
		earned := 0.0
		switch {
		case !a.answered && a.rejections > callerRetries:
			r.Rejected++
		case !a.answered:
			r.Failed++
		case a.firstEvent-a.at > a.kind.Target || a.pausedTooLong:
			r.Late++
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
		add(getOrCreate(regions, a.region), earned, value)
		add(getOrCreate(kinds, a.kind.Name), earned, value)
		add(getOrCreate(windows, int(a.at/windowLength)), earned, value)
	}
	r.Earned = total.earned
	r.EarnedShare, r.WorstRegion, r.WorstKind = total.share(), sortedShares(regions)[0], sortedShares(kinds)[0]
	windowShares := sortedShares(windows)
	r.WorstWindows = (windowShares[0] + windowShares[min(1, len(windowShares)-1)]) / 2
	r.RereadShare, r.RemoteShare = float64(reread)/float64(max(1, shared)), float64(remote)/float64(max(1, r.Requests))
	r.SendsPerRequest = float64(s.sends) / float64(max(1, r.Requests))
	slices.Sort(firstEvents)
	if n := len(firstEvents); n > 0 {
		r.P50, r.P99 = firstEvents[n/2], firstEvents[n*99/100]
	}
	r.Score = weightTotal*r.EarnedShare + weightWindow*r.WorstWindows + weightKind*r.WorstKind + weightRegion*r.WorstRegion - (float64(reread)*priceReread+float64(remote)*priceRemote)/total.possible
	return r
}

func add(t *valueSum, earned, possible float64) {
	t.earned += earned
	t.possible += possible
}

func getOrCreate[K comparable](sums map[K]*valueSum, key K) *valueSum {
	t, ok := sums[key]
	if !ok {
		t = &valueSum{}
		sums[key] = t
	}
	return t
}

// sortedShares gives the shares in rising order.
func sortedShares[K comparable](sums map[K]*valueSum) []float64 {
	out := []float64{}
	for _, t := range sums {
		out = append(out, t.share())
	}
	slices.Sort(out)
	return out
}

// Row is one way in one scenario.
type Row struct {
	Strategy string
	Result   Result
}

// Table is one scenario with all ways on the same arrivals.
type Table struct {
	Name string
	Rows []Row
}

// Write writes a table as text.
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
