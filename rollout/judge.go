// This file compares the answers of two versions.

package rollout

import (
	"fmt"
	"math"
)

// Verdict is the result of a comparison.
type Verdict struct {
	Bad    bool
	Reason string // of a bad verdict, with the counts that decided; "" otherwise
}

const (
	// evidenceNats is the evidence, in nats, from which a version counts as bad. By
	// Chernoff's bound a version as good as the old one reaches it in one comparison with a
	// probability below exp(-12), one in 160,000. A rollout compares some hundred times, for
	// some routes and some tens of times each, but mostly the same answers.
	evidenceNats = 12
	// minBadAnswers is the smallest number of bad answers that count as evidence.
	minBadAnswers = 5
	// minOldAnswers is how many answers of the old version a comparison needs.
	minOldAnswers = 30
	// tolerance is, in buckets, how much slower the new version may be: twice as slow. Its
	// engines begin with empty caches, and read prompts that the old ones have cached.
	tolerance = 4
	// upperDeviations is by how many standard deviations the old version's share of bad
	// answers is raised before the comparison, since it is an estimate as well.
	upperDeviations = 2
)

// Judge compares the new version with the old one over the same time, route by route and
// over all routes. It finds a higher share of failures, and times that are more than
// twice as long for any part of the answers: for each bound c on a histogram, it compares
// the share of the new version above c with the share of the old one above c/2.
//
// The comparison is repeated while counts grow. It uses Chernoff's bound on a binomial
// tail, P(X >= k) <= exp(-n D(k/n || p)), where D is the relative entropy (Hoeffding,
// "Probability inequalities for sums of bounded random variables", 1963).
func Judge(routes []RouteCounts) Verdict {
	all := RouteCounts{Route: "all"}
	for _, r := range routes {
		all.Old.Add(r.Old)
		all.New.Add(r.New)
	}
	for _, r := range routes {
		if reason := r.judge(); reason != "" {
			return Verdict{true, reason}
		}
	}
	// Routes differ in their times, and the versions may have had a different mix of them.
	if compare(all.Old.Answers, all.Old.Failures, all.New.Answers, all.New.Failures).isSignificant() {
		return Verdict{true, failureReason(all)}
	}
	return Verdict{}
}

// judge returns why the new version is bad for the route; "" if there is no evidence.
func (r RouteCounts) judge() string {
	if compare(r.Old.Answers, r.Old.Failures, r.New.Answers, r.New.Failures).isSignificant() {
		return failureReason(r)
	}
	for _, times := range []struct {
		name     string
		old, new Histogram
	}{{"first byte", r.Old.First, r.New.First}, {"whole answer", r.Old.Whole, r.New.Whole}} {
		if bound, slow := slowBound(times.old, times.new); slow {
			return fmt.Sprintf("route %s: %s slower: %d of %d above %.0f ms, before %d of %d above %.0f ms", r.Route, times.name,
				times.new.above(bound), times.new.Total(), bucketMillis(bound), times.old.above(bound-tolerance), times.old.Total(), bucketMillis(bound-tolerance))
		}
	}
	return ""
}

func failureReason(r RouteCounts) string {
	return fmt.Sprintf("route %s: %d of %d answers failed, before %d of %d", r.Route, r.New.Failures, r.New.Answers, r.Old.Failures, r.Old.Answers)
}

// slowBound returns a bucket above which the new version has significantly more times than
// the old one above the bucket that is lower by the tolerance.
func slowBound(before, after Histogram) (bound int, slow bool) {
	for _, b := range after {
		c := b.Index - 1
		if compare(before.Total(), before.above(c-tolerance), after.Total(), after.above(c)).isSignificant() {
			return c, true
		}
	}
	return 0, false
}

// bucketMillis returns the time in the middle of a bucket, in milliseconds.
func bucketMillis(index int) float64 {
	return math.Exp2(float64(index) / bucketsPerOctave)
}

// comparison holds the bad answers among those of both versions.
type comparison struct{ oldAnswers, oldBad, newAnswers, newBad int }

func compare(oldAnswers, oldBad, newAnswers, newBad int) comparison {
	return comparison{oldAnswers, oldBad, newAnswers, newBad}
}

// isSignificant reports whether the new version has a higher share of bad answers beyond
// chance.
func (c comparison) isSignificant() bool {
	if c.oldAnswers < minOldAnswers || c.newBad < minBadAnswers {
		return false
	}
	n := float64(c.oldAnswers)
	p := (float64(c.oldBad) + 1) / (n + 2)
	p = min(p+upperDeviations*math.Sqrt(p*(1-p)/n), 1)
	observed := float64(c.newBad) / float64(c.newAnswers)
	return observed > p && float64(c.newAnswers)*relativeEntropy(observed, p) >= evidenceNats
}

// relativeEntropy returns the relative entropy, in nats, of a coin with probability q
// against one with probability p.
func relativeEntropy(q, p float64) float64 {
	term := func(a, b float64) float64 {
		switch {
		case a <= 0:
			return 0
		case b <= 0:
			return math.Inf(1)
		default:
			return a * math.Log(a/b)
		}
	}
	return term(q, p) + term(1-q, 1-p)
}
