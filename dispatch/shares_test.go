package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/dispatch"
)

// TestBurstOfOneAccountDelaysThatAccount has one account ask for more than there is room for
// at one gateway, and another one for little at a second gateway two seconds later. While reports arrive, the
// second one is admitted where the first isn't.
func TestBurstOfOneAccountDelaysThatAccount(t *testing.T) {
	env := newTestEnv(2, 1)
	env.propagateReports()
	greedy, modest := env.gateways[0], env.gateways[1]
	ask := func(g *dispatch.Dispatcher, account, id string) (*dispatch.Ticket, error) {
		req := rankedRequest(id, 0, 4*time.Second)
		req.Account = account
		return g.Acquire(req)
	}
	served := map[string]int{}
	asked := map[string]int{}
	var running []*dispatch.Ticket
	// The queue that the burst filled alone is served first.
	const counted = 40
	for round := range 100 {
		for i := range 8 {
			if ticket, err := ask(greedy, "greedy", fmt.Sprint(round, "-", i)); err == nil {
				running = append(running, ticket)
				served["greedy"]++
			}
			asked["greedy"]++
		}
		if round >= 20 && round%2 == 0 {
			if ticket, err := ask(modest, "modest", fmt.Sprint(round)); err == nil {
				running = append(running, ticket)
				if round >= counted {
					served["modest"]++
				}
			}
			if round >= counted {
				asked["modest"]++
			}
		}
		if len(running) > 0 { // the engine answers one request in each round
			running[0].RecordFirstByte(true)
			running[0].Done(dispatch.Answered)
			running = running[1:]
		}
		env.exchangeReports()
		env.advance(100 * time.Millisecond)
	}
	t.Logf("served %v of %v", served, asked)
	must.Less(t, asked["greedy"], 4*served["greedy"], must.Sprint("there must be a shortage"))
	must.GreaterEq(t, 0.9*float64(asked["modest"]), float64(served["modest"]))
	must.GreaterEq(t, 60, served["greedy"], must.Sprint("the rest of the room isn't kept free"))
}
