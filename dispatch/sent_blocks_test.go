package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestKnownBlocksArentReportedAgain guards against reports that grow with the requests: a
// gateway that knows that an engine was sent a block reports it again only after a while.
func TestKnownBlocksArentReportedAgain(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	reported := func() int {
		n := 0
		for _, out := range g.Outgoing() {
			n = max(n, len(out.Message.Report.SentBlocks))
		}
		return n
	}
	send := func(requests int) {
		for i := range requests {
			acquire(t, g, longRequest(fmt.Sprint(i), "block"))
		}
	}
	send(8)
	must.Eq(t, 1, reported())
	env.advance(time.Second)
	send(8)
	must.Eq(t, 0, reported())
	total := 0
	for range 15 { // it is sent all the time, and reported now and then
		env.advance(time.Second)
		send(1)
		total += reported()
	}
	must.Eq(t, 1, total)
}
