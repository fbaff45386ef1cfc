package pushback_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/pushback"
)

const server = 7 // the server of most tests

// at gives a time so many milliseconds after the start.
func at(ms int) time.Time { return noon.Add(time.Duration(ms) * time.Millisecond) }

func rest(ms int) pushback.Word { return pushback.Rest{For: time.Duration(ms) * time.Millisecond} }

func reason(t *pushback.Table, ms int) pushback.Reason {
	bar, _ := t.Bar(server, at(ms))
	return bar.Reason
}

// TestTheLongestRestHolds lets words follow and pass each other.
func TestTheLongestRestHolds(t *testing.T) {
	table := pushback.New()
	must.True(t, table.Hear(server, rest(3000), at(0)))
	must.False(t, table.Hear(server, rest(200), at(100)), must.Sprint("a shorter one doesn't end it"))
	must.False(t, table.Hear(server, pushback.Nothing{}, at(150)), must.Sprint("nor does a refusal that asks for nothing"))
	must.False(t, table.Hear(server, pushback.Unclear{Text: "x"}, at(160)))
	table.Taken(server, at(-10)) // a success to what was sent before
	must.Eq(t, pushback.Resting, reason(table, 2999))
	must.True(t, table.Hear(server, rest(2000), at(2000)), must.Sprint("a later end"))
	must.Eq(t, pushback.Resting, reason(table, 3999))
	bar, barred := table.Bar(server, at(3000))
	must.True(t, barred)
	must.Eq(t, pushback.Bar{Reason: pushback.Resting, Since: at(2000), Until: at(4000)}, bar)
	must.Eq(t, 0, reason(table, 4000))
	_, barred = table.Bar(server+1, at(100))
	must.False(t, barred, must.Sprint("another life has asked for nothing"))
}

// TestOneRequestFirstAfterARest lets the first be taken, be refused, say nothing for long, and
// end without having shown anything.
func TestOneRequestFirstAfterARest(t *testing.T) {
	begin := func() *pushback.Table {
		table := pushback.New()
		table.Hear(server, rest(1000), at(0))
		must.True(t, table.Begin(server, at(1100)))
		must.Eq(t, pushback.Trying, reason(table, 1101))
		return table
	}
	taken := begin()
	taken.Taken(server, at(1100))
	must.Eq(t, 0, reason(taken, 1102))
	must.False(t, taken.Begin(server, at(1102)))

	refused := begin()
	refused.Hear(server, rest(1000), at(1105))
	must.Eq(t, pushback.Resting, reason(refused, 2104))

	silent := begin()
	must.Eq(t, 0, reason(silent, 1300), must.Sprint("what isn't refused by then is being worked on"))

	ended := begin()
	ended.End(server)
	must.Eq(t, 0, reason(ended, 1102))
	must.True(t, ended.Begin(server, at(1102)), must.Sprint("nothing is known yet: again one"))
	must.Eq(t, pushback.Counts{Asked: 1}, ended.Counts(server))
}

// TestLeavingIsForGood lets a server leave that also rests.
func TestLeavingIsForGood(t *testing.T) {
	table := pushback.New()
	must.True(t, table.HearLeaving(server, at(0)))
	must.False(t, table.HearLeaving(server, at(5)))
	table.Hear(server, rest(10), at(6))
	table.Taken(server, at(7))
	bar, barred := table.Bar(server, at(3_600_000))
	must.True(t, barred)
	must.Eq(t, pushback.Bar{Reason: pushback.Leaving, Since: at(0)}, bar)
	table.Begin(server, at(8))
	table.KeptAway(server)
	must.Eq(t, pushback.Counts{Asked: 1, Sent: 1, KeptAway: 1}, table.Counts(server))
}

// TestForget drops what nobody needs, and nothing that holds.
func TestForget(t *testing.T) {
	known := func(uint64) bool { return true }
	gone := func(uint64) bool { return false }
	table := pushback.New()
	table.HearLeaving(server, at(0))
	table.Hear(server+1, rest(120_000), at(0))
	table.Forget(known, at(100_000))
	must.Eq(t, pushback.Leaving, reason(table, 100_000))
	_, resting := table.Bar(server+1, at(100_000))
	must.True(t, resting)
	table.Forget(gone, at(100_000))
	must.Eq(t, 0, reason(table, 100_000))
	_, resting = table.Bar(server+1, at(100_000))
	must.True(t, resting)
}

// TestNothingIsSentWithinARest draws answers and sends in any order: whoever asks Bar before each
// send sends nothing within any rest that was asked for, and sends again after the last.
func TestNothingIsSentWithinARest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := pushback.New()
		now, until := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(0, 400).Draw(t, "passes")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				ms := rapid.IntRange(1, 2000).Draw(t, "rest")
				table.Hear(server, rest(ms), at(now))
				until = max(until, now+ms)
			case 1:
				table.Taken(server, at(rapid.IntRange(0, now).Draw(t, "sent")))
			case 2:
				table.End(server)
			case 3:
				if _, barred := table.Bar(server, at(now)); barred {
					continue
				}
				if now < until {
					t.Fatalf("sent at %d, in a rest until %d", now, until)
				}
				table.Begin(server, at(now))
			}
		}
		if _, barred := table.Bar(server, at(max(now, until)+300)); barred {
			t.Fatal("it gets nothing any more")
		}
		must.Eq(t, 0, table.Counts(server).Sent)
	})
}
