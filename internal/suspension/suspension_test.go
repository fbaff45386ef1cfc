package suspension_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/suspension"
)

func Example() {
	now := time.Unix(1000, 0)
	d := suspension.New(func() time.Time { return now }, func(length time.Duration) { fmt.Println("suspended for", length) })
	before := now
	now = now.Add(3 * time.Second) // no note for so long
	resumed := now
	fmt.Println(d.SuspendedSince(before), d.SuspendedSince(resumed))
	// Output:
	// suspended for 3s
	// true false
}

// TestSuspensionIsDetected guards against measurements that include a suspension, and
// against discarding those that don't.
func TestSuspensionIsDetected(t *testing.T) {
	for name, test := range map[string]struct {
		gaps      []time.Duration // between two notes
		startedAt int             // number of notes before the measurement starts
		suspended bool
	}{
		"runs":                         {[]time.Duration{100, 100, 300, 100}, 1, false},
		"suspended during it":          {[]time.Duration{50, 50, 900, 50}, 1, true},
		"suspended before it":          {[]time.Duration{50, 900, 50, 50}, 2, false},
		"suspended after it started":   {[]time.Duration{50, 900, 50, 50}, 1, true},
		"suspension has just ended":    {[]time.Duration{50, 50, 50, 900}, 3, true},
		"started before notes and ran": {[]time.Duration{50}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := suspension.New(func() time.Time { return now }, func(time.Duration) {})
			started := now
			for i, gap := range test.gaps {
				now = now.Add(gap * time.Millisecond)
				if i < len(test.gaps)-1 {
					d.Note()
				}
				if i+1 == test.startedAt {
					started = now
				}
			}
			must.Eq(t, test.suspended, d.SuspendedSince(started))
		})
	}
}

// TestDelayAveragesLateNotes checks that the delay follows how late notes are, and isn't
// lowered by questions between them.
func TestDelayAveragesLateNotes(t *testing.T) {
	now := time.Unix(1000, 0)
	d := suspension.New(func() time.Time { return now }, func(time.Duration) {})
	run := func(notes int, gap time.Duration) {
		for range notes {
			now = now.Add(gap / 2)
			d.SuspendedSince(now)
			now = now.Add(gap / 2)
			d.Note()
		}
	}
	run(30, 100*time.Millisecond)
	must.Eq(t, 0, d.Delay())
	run(30, 300*time.Millisecond)
	must.Between(t, 190*time.Millisecond, d.Delay(), 200*time.Millisecond)
	run(60, 100*time.Millisecond)
	must.Less(t, time.Millisecond, d.Delay())
}
