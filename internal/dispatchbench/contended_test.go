package dispatchbench_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/dispatchbench"
)

// TestUrgentRequestsAreServedFirst asks for 1.5 times the room with two kinds of requests, in
// both orders of urgency. The urgent kind must be served at least as often as the other, none
// below a quarter of the mean, and the engines must be as busy as without any order.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	for _, gateways := range []int{3, 40} {
		unranked := dispatchbench.Run(dispatchbench.Contended(dispatchbench.ContendedOptions{Load: 1.5, Gateways: gateways, Unranked: true}))
		for _, longFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d gateways, long first %t", gateways, longFirst), func(t *testing.T) {
				r := dispatchbench.Run(dispatchbench.Contended(dispatchbench.ContendedOptions{Load: 1.5, Gateways: gateways, LongFirst: longFirst}))
				urgent, other := r.Kinds[1], r.Kinds[0]
				if longFirst {
					urgent, other = other, urgent
				}
				t.Logf("served: urgent %.3f, other %.3f; %d returned, at most %d at once; engine time %v of %v", urgent.Served(), other.Served(), r.Returns, r.LargestReturn, r.EngineTime, unranked.EngineTime)
				must.GreaterEq(t, other.Served(), urgent.Served())
				mean := 1 - float64(r.Rejected+r.Failed)/float64(r.Requests)
				must.GreaterEq(t, mean/4, other.Served())
				// Evenly spread, each tenth of a second would have about 1 in 160.
				must.Less(t, r.Returns/20, r.LargestReturn)
				must.GreaterEq(t, 0.97*unranked.EngineTime.Seconds(), r.EngineTime.Seconds())
			})
		}
	}
}

// TestWithoutAShortageNoKindIsPutBack asks for two thirds of the room.
func TestWithoutAShortageNoKindIsPutBack(t *testing.T) {
	for _, longFirst := range []bool{false, true} {
		r := dispatchbench.Run(dispatchbench.Contended(dispatchbench.ContendedOptions{Load: 0.67, Gateways: 12, LongFirst: longFirst}))
		for _, k := range r.Kinds {
			must.GreaterEq(t, 0.98, k.Served(), must.Sprint(k.Name))
		}
	}
}

// TestAccountsGetTheirShares asks for 1.5 times the room, one account for several times as much
// as the others. Each must be admitted with at least nine tenths of its max-min fair share.
func TestAccountsGetTheirShares(t *testing.T) {
	for _, gateways := range []int{3, 40} {
		for _, demand := range [][]float64{{1, 1, 4}, {1, 3}, {1, 1, 1}} {
			t.Run(fmt.Sprint(gateways, " gateways, demand ", demand), func(t *testing.T) {
				r := dispatchbench.Run(dispatchbench.Contended(dispatchbench.ContendedOptions{Load: 1.5, Gateways: gateways, Unranked: true, Accounts: demand}))
				var asked []float64
				left := 0.0
				for _, a := range r.Accounts {
					asked = append(asked, float64(a.Asked))
					left += float64(a.Asked - a.Rejected)
				}
				slices.Sort(asked)
				level := 0.0
				for i, a := range asked {
					level = left / float64(len(asked)-i)
					left -= min(a, level)
				}
				for i, a := range r.Accounts {
					share := min(float64(a.Asked), level)
					t.Logf("account %d: %.3f of its share", i, float64(a.Asked-a.Rejected)/share)
					must.GreaterEq(t, 0.9*share, float64(a.Asked-a.Rejected))
				}
			})
		}
	}
}
