package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/rollup"
)

// TestPromisedReturnGoesBeforeNewcomers rejects a request at one gateway. It returns on time at
// the other, which admits it behind a queue that is too long for newcomers; returning early
// gains nothing, and neither does returning where the promise isn't known.
func TestPromisedReturnGoesBeforeNewcomers(t *testing.T) {
	for _, reported := range []bool{true, false} {
		t.Run(fmt.Sprint("reported ", reported), func(t *testing.T) {
			env := newTestEnv(2, 1)
			env.propagateReports()
			const target = 4 * time.Second
			first, second := env.gateways[0], env.gateways[1]
			fill := func() {
				fillQueue(first, 0, target)
				env.propagateReports()
			}
			fill()
			req := rankedRequest("again", 0, target)
			req.Fingerprint = quarantine.Fingerprint(77)
			_, err := first.Acquire(req)
			after, promised := first.ReturnAfter(req, requireNotRun(t, err), 10*time.Second, 0)
			must.True(t, promised)
			for waited := time.Duration(0); waited+rollup.ReportInterval <= after; waited += rollup.ReportInterval {
				env.advance(rollup.ReportInterval)
				if reported || waited > 600*time.Millisecond { // the load is reported again, the promise isn't
					env.exchangeReports()
				}
				if reported && waited < after/2 {
					_, err := second.Acquire(req)
					requireNotRun(t, err)
				}
			}
			env.advance(after % rollup.ReportInterval)
			_, err = second.Acquire(rankedRequest("newcomer", 0, target))
			requireNotRun(t, err)
			_, err = second.Acquire(req)
			must.Eq(t, reported, err == nil, must.Sprint(err))
		})
	}
}

// TestOverloadWithoutAdmissionsPromisesNothing checks that a gateway that hasn't admitted
// anything, such as one that has just started, promises no room.
func TestOverloadWithoutAdmissionsPromisesNothing(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	req := rankedRequest("r", 0, time.Second)
	req.Fingerprint = quarantine.Fingerprint(77)
	for i := range 100 {
		if _, err := g.Acquire(rankedRequest(fmt.Sprint(i), 0, time.Minute)); err != nil {
			break
		}
	}
	env.advance(10 * time.Second)
	_, err := g.Acquire(req)
	_, promised := g.ReturnAfter(req, requireNotRun(t, err), 10*time.Second, 0)
	must.False(t, promised)
}
