// This file defines the counts of answers by which versions are compared.

package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// bucketsPerOctave is the resolution of the histograms: a quarter octave, about 19 %.
	bucketsPerOctave = 4
	// maxBucket is the last bucket, for times of more than a minute.
	maxBucket = 64
)

// Bucket is the number of answers whose time falls into one bucket of a histogram.
type Bucket struct {
	Index int // quarter octaves above a millisecond
	Count int
}

// Histogram counts times. It holds the nonempty buckets in ascending order of Index.
type Histogram []Bucket

// BucketOf returns the bucket of a time.
func BucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Round(bucketsPerOctave*math.Log2(ms))), maxBucket)
}

// add adds n times to a bucket.
func (h *Histogram) add(index, n int) {
	at, found := slices.BinarySearchFunc(*h, index, func(b Bucket, i int) int { return b.Index - i })
	if !found {
		*h = slices.Insert(*h, at, Bucket{Index: index})
	}
	(*h)[at].Count += n
}

// Total returns the number of times.
func (h Histogram) Total() int {
	n := 0
	for _, b := range h {
		n += b.Count
	}
	return n
}

// above returns the number of times in buckets above an index.
func (h Histogram) above(index int) int {
	n := 0
	for _, b := range h {
		if b.Index > index {
			n += b.Count
		}
	}
	return n
}

// Counts are the answers of the engines of one version to the requests of one route.
type Counts struct {
	Answers  int
	Failures int
	First    Histogram // times to the first byte of successful answers
	Whole    Histogram // times to the end of successful answers
}

// Add adds the counts of another gateway.
func (c *Counts) Add(o Counts) {
	c.Answers += o.Answers
	c.Failures += o.Failures
	for _, b := range o.First {
		c.First.add(b.Index, b.Count)
	}
	for _, b := range o.Whole {
		c.Whole.add(b.Index, b.Count)
	}
}

// minus returns the counts since an earlier state of the same counts.
func (c Counts) minus(earlier Counts) Counts {
	return Counts{c.Answers - earlier.Answers, c.Failures - earlier.Failures, c.First.minus(earlier.First), c.Whole.minus(earlier.Whole)}
}

func (h Histogram) minus(earlier Histogram) Histogram {
	out := slices.Clone(h)
	for _, b := range earlier {
		out.add(b.Index, -b.Count)
	}
	return slices.DeleteFunc(out, func(b Bucket) bool { return b.Count <= 0 })
}

// RecordFirst counts the time to the first byte of a successful answer.
func (c *Counts) RecordFirst(d time.Duration) { c.First.add(BucketOf(d), 1) }

// RecordEnd counts the end of an answer. took is used for successful ones.
func (c *Counts) RecordEnd(failed bool, took time.Duration) {
	c.Answers++
	if failed {
		c.Failures++
		return
	}
	c.Whole.add(BucketOf(took), 1)
}

// RouteCounts are the counts of both versions for one route.
type RouteCounts struct {
	Route    string
	Old, New Counts
}

// Clone returns a copy that shares nothing with r.
func (r RouteCounts) Clone() RouteCounts {
	for _, counts := range []*Counts{&r.Old, &r.New} {
		counts.First, counts.Whole = slices.Clone(counts.First), slices.Clone(counts.Whole)
	}
	return r
}

// Report is what one gateway has counted since it first knew of a rollout.
type Report struct {
	Rollout     uint64 // its ID
	Stage       Stage  // that the gateway has applied
	OldInFlight int    // requests of this gateway that run on engines of other versions
	Routes      []RouteCounts
}

// Sum adds up the routes of several gateways' reports, sorted by route.
func Sum(reports []Report) []RouteCounts {
	byRoute := make(map[string]*RouteCounts)
	var names []string
	for _, r := range reports {
		for _, route := range r.Routes {
			total, ok := byRoute[route.Route]
			if !ok {
				total = &RouteCounts{Route: route.Route}
				byRoute[route.Route] = total
				names = append(names, route.Route)
			}
			total.Old.Add(route.Old)
			total.New.Add(route.New)
		}
	}
	slices.Sort(names)
	out := make([]RouteCounts, len(names))
	for i, name := range names {
		out[i] = *byRoute[name]
	}
	return out
}

// History keeps the sums of the last seconds, so that a version that turns bad is judged by
// its latest answers. The zero value is empty.
type History struct{ points []historyPoint }

type historyPoint struct {
	at   time.Time
	sums []RouteCounts
}

const (
	// recentWindow is the age of the counts that are subtracted to get the latest answers.
	recentWindow = 2 * time.Second
	// historyInterval is the time between two points.
	historyInterval = 500 * time.Millisecond
)

// Add records the sums at a time.
func (h *History) Add(at time.Time, sums []RouteCounts) {
	if n := len(h.points); n > 0 && at.Sub(h.points[n-1].at) < historyInterval {
		return
	}
	h.points = append(h.points, historyPoint{at, sums})
	for len(h.points) > 1 && at.Sub(h.points[1].at) >= recentWindow {
		h.points = h.points[1:]
	}
}

// Recent returns sums with those answers of the new version only that came since the
// oldest point. The answers of the old version remain: while all requests go to the new
// one, there are no recent ones.
func (h *History) Recent(sums []RouteCounts) []RouteCounts {
	if len(h.points) == 0 {
		return sums
	}
	out := slices.Clone(sums)
	for _, earlier := range h.points[0].sums {
		for i := range out {
			if out[i].Route == earlier.Route {
				out[i].New = out[i].New.minus(earlier.New)
			}
		}
	}
	return out
}

// NewAnswers returns how many answers of the new version the sums contain.
func NewAnswers(sums []RouteCounts) int {
	n := 0
	for _, r := range sums {
		n += r.New.Answers
	}
	return n
}
