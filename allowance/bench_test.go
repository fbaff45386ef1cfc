package allowance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/catalog"
)

// BenchmarkHear hears of the other gateways of the region and of two others, with 14,000
// accounts of which one in ten does anything. With all brought up to date it took 71 ms;
// with those in use 9 ms.
func BenchmarkHear(b *testing.B) {
	now := time.Unix(1000, 0)
	m := newMeter("lagos", "abuja", "kano")
	var accounts []catalog.Account
	uses := make(map[string]allowance.Use)
	for i := range 14_000 {
		name := fmt.Sprint("account-", i)
		accounts = append(accounts, catalog.Account{Name: name, Allowance: tokens(29_000)})
		if i%10 == 0 {
			uses[name] = allowance.Use{Admitted: 100, Asked: 100}
		}
	}
	m.Take(accounts, now)
	hear := func() {
		now = now.Add(100 * time.Millisecond)
		m.HearNear(uses, 1, now)
		m.HearFar("abuja", uses, now, now)
		m.HearFar("kano", uses, now, now)
	}
	for range 100 { // until what is believed at the start has left the window
		hear()
	}
	for b.Loop() {
		hear()
	}
}

// BenchmarkAsk counts one request of one account, beside 14,000 others.
func BenchmarkAsk(b *testing.B) {
	now := time.Unix(1000, 0)
	m := newMeter("lagos", "abuja", "kano")
	m.Take([]catalog.Account{{Name: "club", Allowance: tokens(1e9)}}, now)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		_, _ = m.Ask("club", 9000, now)
	}
}
