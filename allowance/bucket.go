package allowance

import (
	"math"
	"time"
)

// bucket is what a gateway knows of one account.
type bucket struct {
	rate, burst, spare float64 // units a second, units, units
	level              float64 // of the whole system's bucket, as far as is known
	at                 time.Time
	admitted, asked    average
	refused            float64            // units so far
	shares             map[string]float64 // of the regions, when all were last heard
}

func newBucket(shares map[string]float64, now time.Time) *bucket {
	return &bucket{at: now, admitted: average{over: admittedOver}, asked: average{over: askedOver}, shares: shares}
}

// fill adds what flowed in since the last time. A debt is no more than what a second
// and the burst bring, so that a wrong word is forgotten.
func (b *bucket) fill(perSecond, burst float64, now time.Time) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level += perSecond * passed
		b.at = now
	}
	b.level = max(min(b.level, burst), -burst-b.rate)
}

// own gives what this gateway's callers do.
func (b *bucket) own(now time.Time) Use {
	return Use{Admitted: b.admitted.perSecond(now), Asked: b.asked.perSecond(now)}
}

// average is of the last moments, whose weights fall with time.
type average struct {
	over   time.Duration
	weight float64
	at     time.Time
}

func (a *average) add(n float64, now time.Time) { a.weight, a.at = a.decayed(now)+n, now }

func (a *average) decayed(now time.Time) float64 {
	return a.weight * math.Exp(-float64(now.Sub(a.at))/float64(a.over))
}

func (a *average) perSecond(now time.Time) float64 {
	return max(0, a.decayed(now)/a.over.Seconds())
}
