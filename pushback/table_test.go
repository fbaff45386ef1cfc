package pushback_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/pushback"
)

const server = 7 // the server of most tests

// at returns the time ms milliseconds after the start.
func at(ms int) time.Time { return noon.Add(time.Duration(ms) * time.Millisecond) }

func backoff(ms int) pushback.Signal {
	return pushback.Backoff{Duration: time.Duration(ms) * time.Millisecond}
}

func reason(t *pushback.Table, ms int) pushback.Reason {
	exclusion, _ := t.Exclusion(server, at(ms))
	return exclusion.Reason
}

// TestLongestBackoffApplies guards against a backoff that is cut short by a shorter one,
// by a response without one, or by a late success.
func TestLongestBackoffApplies(t *testing.T) {
	table := pushback.New()
	must.True(t, table.ApplySignal(server, backoff(3000), at(0)))
	must.False(t, table.ApplySignal(server, backoff(200), at(100)), must.Sprint("a shorter backoff doesn't end it"))
	must.False(t, table.ApplySignal(server, pushback.NoSignal{}, at(150)), must.Sprint("nor does a rejection without Retry-After"))
	must.False(t, table.ApplySignal(server, pushback.Malformed{Text: "x"}, at(160)))
	table.RecordAccepted(server, at(-10)) // a request sent before the backoff
	must.Eq(t, pushback.BackingOff, reason(table, 2999))
	must.True(t, table.ApplySignal(server, backoff(2000), at(2000)), must.Sprint("the backoff ends later"))
	must.Eq(t, pushback.BackingOff, reason(table, 3999))
	exclusion, excluded := table.Exclusion(server, at(3000))
	must.True(t, excluded)
	must.Eq(t, pushback.Exclusion{Reason: pushback.BackingOff, Since: at(2000), Until: at(4000)}, exclusion)
	must.Eq(t, 0, reason(table, 4000))
	_, excluded = table.Exclusion(server+1, at(100))
	must.False(t, excluded, must.Sprint("another incarnation isn't affected"))
}

// TestTrialRequestAfterBackoff guards against a thundering herd after a backoff. The
// trial request is accepted, rejected, left without a response, or ends without a result.
func TestTrialRequestAfterBackoff(t *testing.T) {
	begin := func() *pushback.Table {
		table := pushback.New()
		table.ApplySignal(server, backoff(1000), at(0))
		must.True(t, table.Begin(server, at(1100)))
		must.Eq(t, pushback.OnTrial, reason(table, 1101))
		return table
	}
	accepted := begin()
	accepted.RecordAccepted(server, at(1100))
	must.Eq(t, 0, reason(accepted, 1102))
	must.False(t, accepted.Begin(server, at(1102)))

	rejected := begin()
	rejected.ApplySignal(server, backoff(1000), at(1105))
	must.Eq(t, pushback.BackingOff, reason(rejected, 2104))

	unanswered := begin()
	must.Eq(t, 0, reason(unanswered, 1300), must.Sprint("not rejected in time, so accepted"))

	cancelled := begin()
	cancelled.End(server)
	must.Eq(t, 0, reason(cancelled, 1102))
	must.True(t, cancelled.Begin(server, at(1102)), must.Sprint("no result, so another trial request"))
	must.Eq(t, pushback.Counts{Backoffs: 1}, cancelled.Counts(server))
}

// TestDrainingIsPermanent guards against a draining server that gets requests again after
// a backoff or a success.
func TestDrainingIsPermanent(t *testing.T) {
	table := pushback.New()
	must.True(t, table.RecordDraining(server, at(0)))
	must.False(t, table.RecordDraining(server, at(5)))
	table.ApplySignal(server, backoff(10), at(6))
	table.RecordAccepted(server, at(7))
	exclusion, excluded := table.Exclusion(server, at(3_600_000))
	must.True(t, excluded)
	must.Eq(t, pushback.Exclusion{Reason: pushback.Draining, Since: at(0)}, exclusion)
	table.Begin(server, at(8))
	table.CountExcluded(server)
	must.Eq(t, pushback.Counts{Backoffs: 1, Overridden: 1, Excluded: 1}, table.Counts(server))
}

// TestExpire guards against dropping a server that is draining or backing off, and
// against keeping one that is unknown.
func TestExpire(t *testing.T) {
	known := func(uint64) bool { return true }
	gone := func(uint64) bool { return false }
	table := pushback.New()
	table.RecordDraining(server, at(0))
	table.ApplySignal(server+1, backoff(120_000), at(0))
	table.Expire(known, at(100_000))
	must.Eq(t, pushback.Draining, reason(table, 100_000))
	_, excluded := table.Exclusion(server+1, at(100_000))
	must.True(t, excluded)
	table.Expire(gone, at(100_000))
	must.Eq(t, 0, reason(table, 100_000))
	_, excluded = table.Exclusion(server+1, at(100_000))
	must.True(t, excluded)
}

// TestNothingIsSentDuringBackoff applies random signals and requests. A caller that
// checks for an exclusion before each request must send none during a backoff, and must
// be able to send again after the last one.
func TestNothingIsSentDuringBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := pushback.New()
		now, until := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(0, 400).Draw(t, "passes")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				ms := rapid.IntRange(1, 2000).Draw(t, "rest")
				table.ApplySignal(server, backoff(ms), at(now))
				until = max(until, now+ms)
			case 1:
				table.RecordAccepted(server, at(rapid.IntRange(0, now).Draw(t, "sent")))
			case 2:
				table.End(server)
			case 3:
				if _, excluded := table.Exclusion(server, at(now)); excluded {
					continue
				}
				if now < until {
					t.Fatalf("sent at %d, during a backoff until %d", now, until)
				}
				table.Begin(server, at(now))
			}
		}
		if _, excluded := table.Exclusion(server, at(max(now, until)+300)); excluded {
			t.Fatal("still excluded after the last backoff")
		}
		must.Eq(t, 0, table.Counts(server).Overridden)
	})
}
