package ingress_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/platform/platformtest"
)

// TestDeadlineIncludesTimeSuspended guards against granting an engine more time than the
// caller has left. A gateway is suspended after the first send of a request, while the clock
// of contexts stops. The second engine gets the time that the caller then has left,
// and none is tried if there is none. By the clock of contexts it would get a whole second
// again.
func TestDeadlineIncludesTimeSuspended(t *testing.T) {
	for name, test := range map[string]struct {
		suspended time.Duration
		status    int
		arrivals  int
	}{
		"for a part of its time": {600 * time.Millisecond, http.StatusOK, 2},
		"for all of it":          {5 * time.Second, http.StatusBadGateway, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g, engines := setUp(t)
			var resumed atomic.Bool
			clock := func() time.Time {
				now := time.Now()
				if !resumed.Load() {
					for _, e := range engines {
						resumed.Store(resumed.Load() || len(e.Arrivals()) > 0)
					}
				}
				if resumed.Load() {
					now = now.Add(test.suspended)
				}
				return now
			}
			g.server.Clock, g.server.Dispatcher.Clock = clock, clock
			injectFault(engines, platformtest.FaultReset, 1)
			result := do(t, g, platformtest.Request{Path: "/safe/1", Deadline: 5 * time.Second})
			must.Eq(t, test.status, result.Status)
			_, arrived := countRuns(engines, result.ID)
			must.Eq(t, test.arrivals, arrived)
			shortest := 1000
			for _, e := range engines {
				for _, a := range e.Arrivals() {
					ms, err := strconv.Atoi(a.Header.Get("X-Linenscale-Deadline-Ms"))
					must.NoError(t, err)
					shortest = min(shortest, ms)
				}
			}
			if test.arrivals > 1 {
				must.LessEq(t, 400, shortest, must.Sprint("at most 400 ms of the second are left"))
			}
		})
	}
}
