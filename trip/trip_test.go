package trip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/trip"
)

const slack = 100 * time.Millisecond

// TestRegionsWithin150MillisecondsConnect opens connections to places with a one-way
// latency of 1 to 150 ms and a slow processor. None may time out.
func TestRegionsWithin150MillisecondsConnect(t *testing.T) {
	for _, oneWay := range []time.Duration{1, 5, 55, 100, 132, 140, 150} {
		roundTrip := 2 * oneWay * time.Millisecond
		t.Run(roundTrip.String(), func(t *testing.T) {
			table := trip.New()
			for n := range 50 {
				rtt := roundTrip + time.Duration(n%5)*15*time.Millisecond
				must.Less(t, table.ConnectTimeout("r", slack), rtt, must.Sprintf("connection %d", n))
				table.Observe("r", rtt)
			}
			estimated, ok := table.RoundTrip("r")
			must.True(t, ok)
			must.Between(t, roundTrip, estimated, roundTrip+60*time.Millisecond)
			must.Less(t, roundTrip+250*time.Millisecond, table.ConnectTimeout("r", slack), must.Sprint("the timeout must stay short for a partitioned place"))
		})
	}
}

// TestTimeoutAdaptsAfterTheRoundTripTriples guards against timeouts that never reach
// a place again after its RTT has grown.
func TestTimeoutAdaptsAfterTheRoundTripTriples(t *testing.T) {
	table := trip.New()
	table.Observe("r", 100*time.Millisecond)
	table.Observe("r", 100*time.Millisecond)
	longer := 300 * time.Millisecond
	timeouts := 0
	for table.RetryConnectTimeout("r", slack) < longer {
		table.RecordTimeout("r")
		timeouts++
	}
	must.Less(t, 3, timeouts)
	must.Less(t, longer, table.ConnectTimeout("r", slack), must.Sprint("the timeout without retries must not grow"))
	for range 30 {
		table.Observe("r", longer)
	}
	must.Less(t, table.ConnectTimeout("r", slack), longer)
}

// TestTimeoutsStayShortDuringAPartition lets many attempts time out. Every third
// timeout must be as short as the first, so that the end of the partition is
// detected soon.
func TestTimeoutsStayShortDuringAPartition(t *testing.T) {
	table := trip.New()
	for range 20 {
		table.Observe("r", 110*time.Millisecond)
	}
	first := table.RetryConnectTimeout("r", slack)
	for n := 1; n < 30; n++ {
		table.RecordTimeout("r")
		must.LessEq(t, trip.MaxTimeout, table.RetryConnectTimeout("r", slack))
		if n%3 == 0 {
			must.Eq(t, first, table.RetryConnectTimeout("r", slack))
		}
	}
}

func ExampleTable() {
	table := trip.New()
	_, ok := table.RoundTrip("kano")
	fmt.Println(ok, table.ConnectTimeout("kano", 100*time.Millisecond))
	for range 10 {
		table.Observe("kano", 160*time.Millisecond)
	}
	rtt, _ := table.RoundTrip("kano")
	fmt.Println(rtt, table.ConnectTimeout("kano", 100*time.Millisecond))
	// Output:
	// false 400ms
	// 160ms 260ms
}
