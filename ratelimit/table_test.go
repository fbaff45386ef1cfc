package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/ratelimit"
)

// minUsedShare is the fraction of its limit that an engine must receive if callers
// request as much; the rest of its capacity would be wasted.
const minUsedShare = 0.8

// TestEngineReceivesItsLimitAndNoMore guards against gateways that together exceed a
// limit or use too little of it, when their callers request more.
func TestEngineReceivesItsLimitAndNoMore(t *testing.T) {
	for _, gateways := range []int{1, 3, 9, 58} {
		for _, limit := range []float64{0, 0.3, 1, 1.2, 2.9, 5, 20, 100} {
			t.Run(fmt.Sprintf("%d gateways, %g a second", gateways, limit), func(t *testing.T) {
				perGateway := max(4, 2*limit/float64(gateways))
				out := scenario{gateways: gateways, perSecond: perGateway, limit: constant(limit), length: 20 * time.Second, seed: 1, newLimiter: newTableLimiter}.run()
				must.LessEq(t, 0, out.excess, must.Sprint("requests beyond the allowed number"))
				if limit >= 1 {
					must.GreaterEq(t, minUsedShare, out.usedShare, must.Sprint("fraction of the limit that is used"))
				}
			})
		}
	}
}

// TestSharingStrategies logs how the shares compare with two other strategies: sums of
// the gateways' reports, which are 0.25 s old, so that meanwhile each gateway may use the
// whole limit; and equal shares, where the single request that each gateway must be able
// to send adds up.
func TestSharingStrategies(t *testing.T) {
	for _, gateways := range []int{3, 9, 58} {
		for _, limit := range []float64{1, 20} {
			run := func(newLimiter func(string) limiter) string {
				out := scenario{gateways: gateways, perSecond: 12, limit: constant(limit), length: 40 * time.Second, seed: 1, newLimiter: newLimiter}.run()
				return fmt.Sprintf("%.0f requests beyond the allowed number, %.2f of the limit used", out.excess, out.usedShare)
			}
			equal := func(string) limiter { return &equalLimiter{share: 1 / float64(gateways)} }
			t.Logf("%d gateways, %g a second: sums: %s; equal shares: %s; table: %s", gateways, limit, run(newSums), run(equal), run(newTableLimiter))
		}
	}
}

// TestChangingLimits guards against gateways that exceed or underuse a limit after it
// fell or rose.
func TestChangingLimits(t *testing.T) {
	for name, limit := range map[string]func(at time.Duration) float64{
		"falls": func(at time.Duration) float64 { return map[bool]float64{true: 20, false: 1}[at < 15*time.Second] },
		"rises": func(at time.Duration) float64 { return map[bool]float64{true: 1, false: 20}[at < 15*time.Second] },
		"zero, then rises": func(at time.Duration) float64 {
			return map[bool]float64{true: 0, false: 5}[at < 20*time.Second]
		},
		"falls gradually": func(at time.Duration) float64 { return max(1, 20-at.Seconds()) },
	} {
		for _, gateways := range []int{3, 58} {
			t.Run(fmt.Sprintf("%s, %d gateways", name, gateways), func(t *testing.T) {
				out := scenario{gateways: gateways, perSecond: 8, limit: limit, length: 40 * time.Second, seed: 2, newLimiter: newTableLimiter}.run()
				must.LessEq(t, 0, out.excess)
				must.GreaterEq(t, minUsedShare, out.usedShare)
			})
		}
	}
}

// TestLiftedLimitIsForgotten guards against an engine that receives too few requests for
// more than five seconds after its limit was lifted.
func TestLiftedLimitIsForgotten(t *testing.T) {
	for _, gateways := range []int{3, 58} {
		limit := func(at time.Duration) float64 {
			if at < 15*time.Second {
				return 1
			}
			return -1
		}
		out := scenario{gateways: gateways, perSecond: 8, limit: limit, length: 20 * time.Second, seed: 3, newLimiter: newTableLimiter}.run()
		requested := 8 * gateways * 5
		must.Greater(t, requested*7/10, out.received, must.Sprintf("of %d requests in the last five seconds", requested))
	}
}

// TestChangingMembers guards against gateways that exceed a limit while their member
// lists differ, or while gateways stop and restart.
func TestChangingMembers(t *testing.T) {
	const gateways = 9
	var names []string
	for i := range gateways {
		names = append(names, fmt.Sprintf("gateway-%03d", i))
	}
	seconds := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	between := func(at time.Duration, from, until float64) bool { return at >= seconds(from) && at < seconds(until) }
	for name, change := range map[string]struct {
		membersSeenBy func(gateway int, at time.Duration) []string
		isDown        func(gateway int, at time.Duration) bool
	}{
		"one stops and restarts": {
			membersSeenBy: func(gateway int, at time.Duration) []string {
				late := float64(gateway) / gateways // each gateway gets the new list at another time
				if between(at, 12+late, 16+late) && gateway != 4 {
					return append(append([]string{}, names[:4]...), names[5:]...)
				}
				return names
			},
			isDown: func(gateway int, at time.Duration) bool { return gateway == 4 && between(at, 10, 15) },
		},
		"three are added": {
			membersSeenBy: func(gateway int, at time.Duration) []string {
				if at < seconds(12+float64(gateway)/gateways) {
					return names[:6]
				}
				return names
			},
			isDown: func(gateway int, at time.Duration) bool { return gateway >= 6 && at < seconds(12) },
		},
		"control hosts restart and list gateways one by one": {
			membersSeenBy: func(gateway int, at time.Duration) []string {
				if between(at, 12, 13.5) {
					listed := int((at - seconds(12)) / seconds(0.2))
					return append([]string{names[gateway]}, names[:min(listed, gateways)]...)
				}
				return names
			},
		},
		"halves do not list each other for a second": {
			membersSeenBy: func(gateway int, at time.Duration) []string {
				if between(at, 12, 13) {
					return names[gateway%2*4 : gateway%2*4+4]
				}
				return names
			},
		},
	} {
		for _, limit := range []float64{1, 5, 20} {
			t.Run(fmt.Sprintf("%s, %g a second", name, limit), func(t *testing.T) {
				out := scenario{gateways: gateways, perSecond: 8, limit: constant(limit), length: 40 * time.Second, seed: 4, newLimiter: newTableLimiter, membersSeenBy: change.membersSeenBy, isDown: change.isDown}.run()
				must.LessEq(t, 0, out.excess)
				must.GreaterEq(t, 0.7, out.usedShare, must.Sprint("one of the shares is unused for some seconds"))
			})
		}
	}
}

// TestReorderedResponses guards against a limit that is lifted or raised by a response to
// an older request, which arrives after the response that set it.
func TestReorderedResponses(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	one, five, none := ratelimit.Limited{PerSecond: 1}, ratelimit.Limited{PerSecond: 5}, ratelimit.Unlimited{}
	type response struct {
		signal         ratelimit.Signal
		sent, received int
	}
	for name, test := range map[string]struct {
		responses []response
		want      float64 // negative for no limit
	}{
		"a limit is set":                     {[]response{{one, 0, 10}}, 1},
		"an older response doesn't lift it":  {[]response{{one, 0, 10}, {none, 5, 20}}, 1},
		"a newer response lifts it":          {[]response{{one, 0, 10}, {none, 11, 20}}, -1},
		"an older response doesn't raise it": {[]response{{one, 0, 10}, {five, 5, 20}}, 1},
		"a newer response raises it":         {[]response{{one, 0, 10}, {five, 11, 20}}, 5},
		"any response may lower it":          {[]response{{five, 10, 20}, {one, 0, 30}}, 1},
		"a malformed limit changes nothing":  {[]response{{five, 0, 10}, {ratelimit.Malformed{Text: "x"}, 11, 20}}, 5},
		"a malformed limit sets none":        {[]response{{ratelimit.Malformed{Text: "x"}, 0, 10}}, -1},
		"a missing response changes nothing": {[]response{{one, 0, 10}, {nil, 20, 30}}, 1},
		"a limit is set again":               {[]response{{one, 0, 10}, {none, 11, 20}, {one, 5, 30}}, 1},
		"a limit is confirmed in between":    {[]response{{one, 0, 10}, {one, 11, 30}, {none, 20, 40}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			table := ratelimit.New("g")
			table.SetMembers([]string{"g"}, at(0))
			for _, r := range test.responses {
				table.ApplySignal(engineID, r.signal, at(r.sent), at(r.received))
			}
			status, limited := table.Status(engineID, at(100))
			if !limited {
				status.PerSecond = -1
			}
			must.Eq(t, test.want, status.PerSecond)
		})
	}
}

// TestLimitReports guards against reports that undo a later one, and against a limit that
// never ages because two gateways keep sending it to each other.
func TestLimitReports(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	pair := func() (sender, receiver *ratelimit.Table) {
		sender, receiver = ratelimit.New("a"), ratelimit.New("b")
		for _, table := range []*ratelimit.Table{sender, receiver} {
			table.SetMembers([]string{"a", "b"}, at(0))
		}
		sender.ApplySignal(engineID, ratelimit.Limited{PerSecond: 1}, at(0), at(10))
		return sender, receiver
	}

	sender, receiver := pair()
	must.Eq(t, []uint64{engineID}, receiver.Receive(sender.Outgoing(at(20)), at(30)))
	must.True(t, receiver.HasLimit(engineID))
	must.SliceEmpty(t, receiver.Receive(sender.Outgoing(at(120)), at(130)), must.Sprint("the report repeats the effective limit"))

	sender.ApplySignal(engineID, ratelimit.Unlimited{}, at(200), at(250))
	must.Eq(t, []uint64{engineID}, receiver.Receive(sender.Outgoing(at(300)), at(310)))
	must.False(t, receiver.HasLimit(engineID))

	// A delayed report doesn't undo a later one.
	sender, receiver = pair()
	staleReports := sender.Outgoing(at(20))
	sender.ApplySignal(engineID, ratelimit.Unlimited{}, at(200), at(250))
	receiver.Receive(sender.Outgoing(at(300)), at(310))
	must.SliceEmpty(t, receiver.Receive(ratelimit.AddAge(staleReports, 300*time.Millisecond), at(320)))
	must.False(t, receiver.HasLimit(engineID))

	// A limit that two gateways keep sending to each other still ages, so that a later
	// response replaces it.
	sender, receiver = pair()
	for ms := 20; ms < 5000; ms += 100 {
		receiver.Receive(sender.Outgoing(at(ms)), at(ms+90))
		sender.Receive(receiver.Outgoing(at(ms+90)), at(ms+180))
	}
	receiver.ApplySignal(engineID, ratelimit.Unlimited{}, at(300), at(5000))
	must.False(t, receiver.HasLimit(engineID))

	sender.Forget(func(uint64) bool { return true }, at(120_000))
	must.True(t, sender.HasLimit(engineID), must.Sprint("no response lifted the limit"))
	sender.Forget(func(uint64) bool { return false }, at(120_000))
	must.False(t, sender.HasLimit(engineID), must.Sprint("the engine no longer exists"))
}

// Example shares an engine's limit between two gateways.
func Example() {
	start := time.Unix(1000, 0)
	tables := []*ratelimit.Table{ratelimit.New("a"), ratelimit.New("b")}
	for _, table := range tables {
		table.SetMembers([]string{"a", "b"}, start)
	}
	tables[0].ApplySignal(engineID, ratelimit.Limited{PerSecond: 4}, start, start)
	tables[1].Receive(tables[0].Outgoing(start), start)
	sent := 0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, table := range tables {
			if table.Allows(engineID, now) {
				table.TakeToken(engineID, now)
				sent++
			}
		}
	}
	fmt.Println(sent, "in ten seconds")
	// Output: 38 in ten seconds
}
