package streamtime_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/streamtime"
)

// An answer of 500 tokens, of which 11 s are left, on an idle fast engine and on a full slow one.
func Example() {
	for _, tokenTime := range []time.Duration{5 * time.Millisecond, 22 * time.Millisecond, 200 * time.Millisecond} {
		s := streamtime.Stream{Remaining: 11 * time.Second, Tokens: 500, TokenTime: tokenTime}
		fmt.Printf("%.2f %t\n", s.EndsLate(), s.CanEnd())
	}
	// Output:
	// 0.00 true
	// 0.50 true
	// 1.00 false
}

var millis = rapid.Custom(func(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond
})

// TestEndsLateGrows draws two answers of which one is longer, slower or later: it must not be
// estimated to end in time more often, nor be rejected less.
func TestEndsLateGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := streamtime.Stream{Remaining: millis.Draw(t, "remaining"), Wait: millis.Draw(t, "wait"), Tokens: rapid.IntRange(1, 5000).Draw(t, "tokens"), TokenTime: millis.Draw(t, "token") / 100}
		b := a
		b.Wait += millis.Draw(t, "later")
		b.Tokens += rapid.IntRange(0, 100).Draw(t, "longer")
		b.TokenTime += millis.Draw(t, "slower") / 100
		must.LessEq(t, b.EndsLate(), a.EndsLate())
		must.True(t, a.CanEnd() || !b.CanEnd())
		must.Between(t, 0, a.EndsLate(), 1)
	})
}

// TestWithoutDeadlineAnswersEnd guards against rejecting requests that may take any time, or
// whose callers don't say how long the answer will be.
func TestWithoutDeadlineAnswersEnd(t *testing.T) {
	for _, s := range []streamtime.Stream{
		{Wait: time.Hour, Tokens: 1e6, TokenTime: time.Second},
		{Remaining: time.Second, TokenTime: time.Second},
	} {
		must.Eq(t, 0, s.EndsLate())
		must.True(t, s.CanEnd())
	}
}

// TestShortReadingsInterruptNothing draws readings: one that takes no longer than a pause may
// last interrupts no stream, and more tokens never interrupt fewer.
func TestShortReadingsInterruptNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := streamtime.Reading{
			Tokens: rapid.IntRange(0, 100_000).Draw(t, "tokens"), ReadPerToken: millis.Draw(t, "read") / 10_000, TokenTime: millis.Draw(t, "token") / 100,
			EventTokens: rapid.IntRange(0, 16).Draw(t, "event"), MaxPause: millis.Draw(t, "pause"),
		}
		must.Between(t, 0, r.Interrupts(), 1)
		if time.Duration(r.Tokens)*r.ReadPerToken <= r.MaxPause {
			must.Eq(t, 0, r.Interrupts())
		}
		longer := r
		longer.Tokens += 1000
		must.GreaterEq(t, r.Interrupts(), longer.Interrupts())
	})
}
