package urgency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/urgency"
)

var start = time.Unix(1000, 0)

func kind(priority int, target time.Duration) urgency.Kind {
	return urgency.Kind{Priority: priority, Short: 3 * target / 10, Long: 6 * target / 10}
}

func ExampleDemand_LimitFor() {
	var d urgency.Demand
	d.Record(urgency.Kind{Priority: 0, Short: 250 * time.Millisecond, Long: 500 * time.Millisecond}, start)
	l := d.LimitFor(1, start)
	fmt.Println(l.For(700*time.Millisecond, false), l.For(700*time.Millisecond, true))
	// Output: 200ms 500ms
}

// TestRoomIsKeptOnlyForWhatIsAskedFor checks that a priority counts for a moment after its last
// request, and only for less urgent ones.
func TestRoomIsKeptOnlyForWhatIsAskedFor(t *testing.T) {
	var d urgency.Demand
	must.Eq(t, urgency.Limit{}, d.LimitFor(1, start))
	d.Record(kind(1, time.Second), start)
	must.Eq(t, urgency.Limit{}, d.LimitFor(0, start))
	must.Eq(t, urgency.Limit{}, d.LimitFor(1, start))
	must.Positive(t, d.LimitFor(2, start).Queue)
	must.Positive(t, d.LimitFor(2, start.Add(time.Second)).Queue)
	must.Eq(t, urgency.Limit{}, d.LimitFor(2, start.Add(time.Second+1)))
	d.Record(kind(1, time.Second), start.Add(2*time.Second))
	d.Record(kind(1, time.Second), start) // reported late
	must.Positive(t, d.LimitFor(2, start.Add(3*time.Second)).Queue)
}

// TestLimitsFollowTheOrderOfPriorities records any kinds in any order. A less urgent request
// must never be admitted behind a longer queue than a more urgent one of the same target, and
// always behind a short one.
func TestLimitsFollowTheOrderOfPriorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d urgency.Demand
		for range rapid.IntRange(0, 60).Draw(t, "kinds") {
			d.Record(kind(rapid.IntRange(0, 6).Draw(t, "priority"), rapid.SampledFrom([]time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 5 * time.Second}).Draw(t, "target")), start)
		}
		accepted := time.Duration(rapid.IntRange(100, 5000).Draw(t, "accepted")) * time.Millisecond
		for _, yields := range []bool{false, true} {
			last := accepted
			for priority := range 8 {
				queue := d.LimitFor(priority, start).For(accepted, yields)
				must.LessEq(t, last, queue)
				must.GreaterEq(t, 60*time.Millisecond, queue)
				last = queue
			}
		}
		for priority := range 8 {
			l := d.LimitFor(priority, start)
			must.LessEq(t, l.For(accepted, true), l.For(accepted, false))
		}
	})
}

// TestDemandIsBounded records far more kinds than any catalog has.
func TestDemandIsBounded(t *testing.T) {
	var d urgency.Demand
	for i := range 10_000 {
		d.Record(kind(i%100, time.Duration(1000+i)*time.Millisecond), start)
	}
	must.Positive(t, d.LimitFor(100, start).Queue)
	later := start.Add(time.Minute)
	d.Record(kind(0, time.Second), later)
	must.Positive(t, d.LimitFor(1, later).Queue, must.Sprint("old kinds make room for new ones"))
}
