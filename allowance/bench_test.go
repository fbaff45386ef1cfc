package allowance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/catalog"
)

// BenchmarkHear hears of the other gateways of the region, with 14,000 accounts of which one
// in ten does anything: ten times a second. It takes 90 ms; with 16 accounts 33 us.
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
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		m.HearNear(uses, 1, now)
		m.HearFar("abuja", uses, now, now)
		m.HearFar("kano", uses, now, now)
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
