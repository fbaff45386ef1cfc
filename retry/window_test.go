package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/retry"
)

// TestRetriesOfAllHostsStayWithinThePolicy lets hosts send and retry at random.
// In every window, the retries of all hosts together must stay within the policy.
func TestRetriesOfAllHostsStayWithinThePolicy(t *testing.T) {
	policy := retry.Policy{Share: 0.2, Extra: 50, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		windows := make([]*retry.WindowBudget, hosts)
		for i := range windows {
			windows[i] = retry.NewWindowBudget(policy)
		}
		now := time.Unix(1000, 0)
		var firstSends, retries []time.Time
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			w := windows[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			w.CountFirstSend(now)
			firstSends = append(firstSends, now)
			for range rapid.IntRange(0, 5).Draw(t, "retries") {
				if w.TryRetry(now, hosts) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			firstInWindow, retriesInWindow := countWithin(firstSends, end, policy.Window), countWithin(retries, end, policy.Window)
			if float64(retriesInWindow) > policy.Share*float64(firstInWindow)+policy.Extra {
				t.Fatalf("%d retries of %d requests in one window", retriesInWindow, firstInWindow)
			}
		}
	})
}

// countWithin returns the number of times in the window that ends at end.
func countWithin(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) <= window {
			n++
		}
	}
	return n
}
