package fairshare_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/fairshare"
)

var start = time.Unix(1000, 0)

func ExampleTable() {
	t := fairshare.New()
	for i := range 100 {
		t.Record(1, 10, i%2 == 0, start) // asks for 1000, gets half
		t.Record(2, 1, true, start)      // asks for 100
	}
	t.Update(nil, start)
	fmt.Println(t.Level(), t.StandingOf(1) == fairshare.AtShare, t.StandingOf(2) == fairshare.Below)
	// Output: 500 true true
}

// TestNobodyIsOverWithoutAShortage admits everything, of accounts that differ much.
func TestNobodyIsOverWithoutAShortage(t *testing.T) {
	shares := fairshare.New()
	for range 1000 {
		shares.Record(1, 100, true, start)
	}
	shares.Record(2, 1, true, start)
	shares.Update(map[uint32]fairshare.Use{3: {Asked: 50, Admitted: 50}}, start)
	must.Eq(t, math.Inf(1), shares.Level())
	must.Eq(t, fairshare.Below, shares.StandingOf(1))
}

// TestSharesAreMaxMinFair checks any use: the shares add up to what was admitted, and an
// account that asks for less than the level is never over.
func TestSharesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		uses := make(map[uint32]fairshare.Use)
		var asked, admitted float64
		for i := range uint32(rapid.IntRange(2, 12).Draw(t, "accounts")) {
			a := rapid.Float64Range(1, 1000).Draw(t, "asked")
			uses[i] = fairshare.Use{Asked: a, Admitted: a * rapid.Float64Range(0, 0.9).Draw(t, "admitted")}
			asked, admitted = asked+uses[i].Asked, admitted+uses[i].Admitted
		}
		shares := fairshare.New()
		shares.Update(uses, start)
		sum := 0.0
		for i, u := range uses {
			sum += min(u.Asked, shares.Level())
			must.Eq(t, u.Admitted > shares.Level(), shares.StandingOf(i) == fairshare.Beyond)
			if u.Admitted < 0.8*shares.Level() {
				must.Eq(t, fairshare.Below, shares.StandingOf(i))
			}
		}
		must.InDelta(t, admitted, sum, 0.01*asked)
	})
}

// TestSharesEndWithTheirReports checks that other gateways' use counts only as long as it is
// reported, and that accounts that ask for nothing any more are forgotten.
func TestSharesEndWithTheirReports(t *testing.T) {
	shares := fairshare.New()
	for range 100 {
		shares.Record(1, 10, false, start)
		shares.Record(1, 10, true, start)
	}
	shares.Update(map[uint32]fairshare.Use{2: {Asked: 300, Admitted: 300}}, start)
	must.NotEq(t, fairshare.Below, shares.StandingOf(1))
	shares.Update(nil, start)
	must.Eq(t, fairshare.Below, shares.StandingOf(1), must.Sprint("alone it may have all"))
	must.False(t, shares.IsIdle())
	later := start.Add(time.Minute)
	shares.Update(nil, later)
	must.True(t, shares.IsIdle())
	must.MapEmpty(t, shares.Own(later))
}
