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
	Requests int
	Refused  int     // for good
	Failed   int     // broken off, or not answered by the deadline
	Late     int     // began after the target, or paused for too long
	Worth    float64 // share of what all requests in time are worth
	Earned   float64 // what was earned, in the worth of the kinds
	Window   float64 // of the two worst spans of two seconds
	Zone     float64 // of the worst-served region's callers
	Kind     float64 // of the worst-served kind
	Again    float64 // share of the shared tokens that were read again
	Away     float64 // share that ran in another region
	P50, P99 time.Duration
	Sends    float64 // engines tried for each request
	Score    float64 // the weighed sum of the above, less the prices
	// Limited are the engines that named limits, by how many requests the worst window of
	// each was beyond what it may get (negative for less), and what it got of what it takes.
	Limited []LimitedEngine
}

// LimitedEngine is what came of an engine's limit.
type LimitedEngine struct{ Over, Used float64 }

// Weights and prices of the users' sheets.
const (
	weightDay, weightWindow, weightKind, weightZone = 0.4, 0.2, 0.1, 0.3
	priceAgain                                      = 0.12 / 1000 // of a shared token read again
	priceAway                                       = 0.06        // of a request that crosses regions: some 7 KB
	windowLength                                    = 2 * time.Second
)

// tally adds up what was earned of what was owed.
type tally struct{ earned, owed float64 }

func (t tally) share() float64 {
	if t.owed == 0 {
		return 1
	}
	return t.earned / t.owed
}

func (w *World) result() Result {
	r := Result{Requests: len(w.arrivals), Limited: w.limitedEngines()}
	var all tally
	zones, kinds, windows := map[string]*tally{}, map[string]*tally{}, map[int]*tally{}
	shared, again, away := 0, 0, 0
	var firsts []time.Duration
	for _, a := range w.arrivals {
		worth := a.kind.Worth * a.size
		earned := 0.0
		switch {
		case !a.answered && a.refusals > callerRetries:
			r.Refused++
		case !a.answered:
			r.Failed++
		case a.first-a.at > a.kind.Target || a.paused:
			r.Late++
			earned = worth * a.kind.Late / a.kind.Worth
		default:
			earned = worth
		}
		if a.answered {
			firsts = append(firsts, a.first-a.at)
		}
		if a.answered && a.served != a.region {
			away++
		}
		again += a.again
		for _, p := range a.parts[:len(a.parts)-1] {
			shared += p.tokens
		}
		add(&all, earned, worth)
		add(of(zones, a.region), earned, worth)
		add(of(kinds, a.kind.Name), earned, worth)
		add(of(windows, int(a.at/windowLength)), earned, worth)
	}
	r.Earned = all.earned
	r.Worth, r.Zone, r.Kind = all.share(), worst(zones)[0], worst(kinds)[0]
	spans := worst(windows)
	r.Window = (spans[0] + spans[min(1, len(spans)-1)]) / 2
	r.Again, r.Away = float64(again)/float64(max(1, shared)), float64(away)/float64(max(1, r.Requests))
	r.Sends = float64(w.sends) / float64(max(1, r.Requests))
	slices.Sort(firsts)
	if n := len(firsts); n > 0 {
		r.P50, r.P99 = firsts[n/2], firsts[n*99/100]
	}
	r.Score = weightDay*r.Worth + weightWindow*r.Window + weightKind*r.Kind + weightZone*r.Zone - (float64(again)*priceAgain+float64(away)*priceAway)/all.owed
	return r
}

func add(t *tally, earned, owed float64) {
	t.earned += earned
	t.owed += owed
}

func of[K comparable](all map[K]*tally, key K) *tally {
	t, ok := all[key]
	if !ok {
		t = &tally{}
		all[key] = t
	}
	return t
}

// worst gives the shares in rising order.
func worst[K comparable](all map[K]*tally) []float64 {
	out := []float64{}
	for _, t := range all {
		out = append(out, t.share())
	}
	slices.Sort(out)
	return out
}

// Row is one way in one scenario.
type Row struct {
	Way    string
	Result Result
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
		if _, err := fmt.Fprintf(out, "%-22s %8d %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6dms %6dms %6.3f\n", row.Way,
			r.Requests, r.Score, r.Worth, r.Window, r.Zone, r.Kind, share(r.Late), share(r.Refused), share(r.Failed), r.Again,
			r.P50.Milliseconds(), r.P99.Milliseconds(), r.Sends); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
