package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/quarantine"
)

// testRequest is the fingerprint of the request in most tests.
const testRequest quarantine.Fingerprint = 7

// rejection returns the error of Check; nil if the request may run.
func rejection(t *testing.T, table *quarantine.Table, f quarantine.Fingerprint, now time.Time) *quarantine.RejectedError {
	t.Helper()
	err := table.Check(f, now)
	if err == nil {
		return nil
	}
	rejected, ok := err.(*quarantine.RejectedError)
	must.True(t, ok)
	return rejected
}

func Example() {
	table := quarantine.New()
	now := time.Unix(1000, 0)
	for _, engine := range []string{"a", "b", "c", "d"} {
		if err := table.Check(testRequest, now); err != nil {
			fmt.Println(err)
			break
		}
		table.Begin(testRequest)
		table.End(testRequest, false, now)
		table.RecordCrash(testRequest, engine, now)
		fmt.Println("engine", engine, "crashed")
	}
	// Output:
	// engine a crashed
	// engine b crashed
	// engine c crashed
	// every engine that ran it has crashed
}

// TestCheck applies crashes and answers in various orders, and calls Check 5 s later.
func TestCheck(t *testing.T) {
	crash := func(engine string) func(*quarantine.Table) {
		return func(table *quarantine.Table) { table.RecordCrash(testRequest, engine, start) }
	}
	begin := func(table *quarantine.Table) { table.Begin(testRequest) }
	answered := func(table *quarantine.Table) { table.End(testRequest, true, start.Add(time.Millisecond)) }
	for name, test := range map[string]struct {
		steps             []func(*quarantine.Table)
		rejected, running bool
	}{
		"no crash":                         {nil, false, false},
		"two engines crashed":              {[]func(*quarantine.Table){crash("1"), crash("2")}, false, false},
		"three engines crashed":            {[]func(*quarantine.Table){crash("1"), crash("2"), crash("3")}, true, false},
		"one engine, reported three times": {[]func(*quarantine.Table){crash("1"), crash("1"), crash("1")}, false, false},
		"running":                          {[]func(*quarantine.Table){begin}, false, false},
		"running, and an engine crashed":   {[]func(*quarantine.Table){begin, crash("1")}, true, true},
		"answered after two crashes":       {[]func(*quarantine.Table){begin, crash("1"), crash("2"), answered, crash("3")}, false, false},
		"answered just before the crashes": {[]func(*quarantine.Table){begin, answered, crash("1"), crash("2"), crash("3")}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := quarantine.New()
			for _, step := range test.steps {
				step(table)
			}
			r := rejection(t, table, testRequest, start.Add(5*time.Second))
			must.Eq(t, test.rejected, r != nil)
			if r != nil {
				must.Eq(t, test.running, r.Running)
				must.Positive(t, r.RetryAfter)
			}
			must.Nil(t, rejection(t, table, testRequest+1, start), must.Sprint("other requests aren't affected"))
		})
	}
}

// TestEnginesLostPerHour sends a request that crashes every engine, once a second. It
// must cost five engines in the first hour, and one every 80 minutes after that.
func TestEnginesLostPerHour(t *testing.T) {
	table := quarantine.New()
	var crashes []time.Duration
	for at := time.Duration(0); at < 24*time.Hour; at += time.Second {
		now := start.Add(at)
		table.Expire(now)
		if table.Check(testRequest, now) == nil {
			table.RecordCrash(testRequest, fmt.Sprint(len(crashes)), now)
			crashes = append(crashes, at)
		}
	}
	inFirstHour := 0
	for _, at := range crashes {
		if at < time.Hour {
			inFirstHour++
		}
	}
	must.Eq(t, 5, inFirstHour)
	must.Between(t, 20, len(crashes), 24, must.Sprint(crashes))
}

// TestPowerLossQuarantinesNothing guards against quarantining requests that only ran on
// hosts that lost power. Each of 2,800 requests runs on one of 28 engines, and moves to a
// live engine when its own crashes. Twelve engines lose power at once, and two seconds
// later twelve others: no request may be quarantined. A third power loss two seconds
// later may quarantine requests that were hit every time, but fewer than an eighth of
// them.
func TestPowerLossQuarantinesNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	table := quarantine.New()
	const engines, lost, requests, slots = 28, 12, 2800, 100
	engineOf := make([]int, requests+1)
	for f := range engineOf {
		engineOf[f] = f % engines
	}
	generation := 0
	for outage := range 3 {
		now := start.Add(time.Duration(outage) * 2 * time.Second)
		down := make(map[int]bool)
		for _, e := range random.Perm(engines)[:lost] {
			down[e] = true
		}
		generation++
		for f := 1; f <= requests; f++ {
			if !down[engineOf[f]] {
				continue
			}
			table.RecordCrash(quarantine.Fingerprint(f), fmt.Sprint(generation, engineOf[f]), now)
			for down[engineOf[f]] {
				engineOf[f] = random.IntN(engines)
			}
		}
		if outage < 2 {
			must.Eq(t, 0, table.QuarantinedCount(now), must.Sprint("after power loss ", outage+1))
			continue
		}
		t.Log(table.QuarantinedCount(now), "of", requests, "would be quarantined if all of them were still running at the third power loss")
		must.Less(t, requests/8, table.QuarantinedCount(now))
	}
}

// TestTableSizeIsBounded records crashes of more requests than the table holds. A
// quarantined request must not be evicted.
func TestTableSizeIsBounded(t *testing.T) {
	table := quarantine.New()
	for _, engine := range []string{"a", "b", "c"} {
		table.RecordCrash(testRequest, engine, start)
	}
	for f := range quarantine.Fingerprint(10_000) {
		table.RecordCrash(1000+f, "z", start.Add(time.Second))
	}
	must.NotNil(t, rejection(t, table, testRequest, start.Add(2*time.Second)))
	must.LessEq(t, 100, len(table.OutgoingLocal(start)), must.Sprint("the message is bounded too"))
}

// pair is two tables that exchange their reports as gateways of one region.
type pair struct{ a, b *quarantine.Table }

func (p pair) exchange(now time.Time) {
	p.b.ReceiveLocal(p.a.OutgoingLocal(now), now)
	p.a.ReceiveLocal(p.b.OutgoingLocal(now), now)
}

// TestCrashesAddUpAcrossGateways guards against losing or double-counting crashes that
// different gateways see: both must count every crash once, however often it is reported.
func TestCrashesAddUpAcrossGateways(t *testing.T) {
	p := pair{quarantine.New(), quarantine.New()}
	p.a.RecordCrash(testRequest, "1", start)
	p.b.RecordCrash(testRequest, "1", start) // engine 1 was running the request for both gateways
	p.b.RecordCrash(testRequest, "2", start)
	for i := range 20 {
		p.exchange(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	now := start.Add(3 * time.Second)
	must.Nil(t, rejection(t, p.a, testRequest, now))
	p.b.RecordCrash(testRequest, "3", now)
	p.exchange(now)
	must.Eq(t, 3, rejection(t, p.a, testRequest, now).Crashes)
	must.Between(t, 599*time.Second, rejection(t, p.a, testRequest, now).RetryAfter, 600*time.Second)
}

// TestAnswerIsReported reports two crashes to one gateway, and then the answer that
// another gateway received. The crashes must no longer count at the first.
func TestAnswerIsReported(t *testing.T) {
	p := pair{quarantine.New(), quarantine.New()}
	p.a.RecordCrash(testRequest, "1", start)
	p.a.RecordCrash(testRequest, "2", start)
	p.exchange(start)
	p.b.Begin(testRequest)
	p.b.End(testRequest, true, start.Add(time.Second))
	p.exchange(start.Add(time.Second))
	p.exchange(start.Add(time.Second))
	p.a.RecordCrash(testRequest, "3", start.Add(2*time.Second))
	must.Nil(t, rejection(t, p.a, testRequest, start.Add(3*time.Second)))
}

// TestLateGatewayReceivesQuarantine guards against gateways that miss the reports of
// crashes because they start later or were partitioned: 100 quarantined requests must
// reach them within 3 s.
func TestLateGatewayReceivesQuarantine(t *testing.T) {
	sender := quarantine.New()
	for f := range quarantine.Fingerprint(100) {
		for _, engine := range []string{"a", "b", "c"} {
			sender.RecordCrash(1+f, engine, start)
		}
	}
	now := start.Add(time.Minute)
	for range 100 { // all changes have been sent
		sender.OutgoingLocal(now)
		sender.OutgoingRemote(now)
	}
	local, remote := quarantine.New(), quarantine.New()
	for range 30 {
		local.ReceiveLocal(sender.OutgoingLocal(now), now)
	}
	for range 30 {
		remote.ReceiveRemote(sender.OutgoingRemote(now), now)
	}
	must.Eq(t, 100, local.QuarantinedCount(now))
	must.Eq(t, 100, remote.QuarantinedCount(now))
}
