package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/retry"
)

// TestHostsTogetherKeepThePolicy lets hosts send and retry at random, and counts
// over every window: what they retry together stays within the policy.
func TestHostsTogetherKeepThePolicy(t *testing.T) {
	policy := retry.Policy{Share: 0.2, Extra: 50, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		windows := make([]*retry.Window, hosts)
		for i := range windows {
			windows[i] = retry.NewWindow(policy)
		}
		now := time.Unix(1000, 0)
		var first, again []time.Time
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			w := windows[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			w.First(now)
			first = append(first, now)
			for range rapid.IntRange(0, 5).Draw(t, "retries") {
				if w.Take(now, hosts) {
					again = append(again, now)
				}
			}
		}
		for _, end := range again {
			f, a := within(first, end, policy.Window), within(again, end, policy.Window)
			if float64(a) > policy.Share*float64(f)+policy.Extra {
				t.Fatalf("%d retries of %d requests in one window", a, f)
			}
		}
	})
}

func within(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) <= window {
			n++
		}
	}
	return n
}
