package returns_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/returns"
)

var start = time.Unix(1000, 0)

const (
	urgentKind = iota + 1
	otherKind
)

// admit records admissions at a steady rate until now.
func admit(b *returns.Book, kind uint32, perSecond int, until time.Time) {
	for i := range 3 * perSecond {
		b.Admitted(0, kind, until.Add(-time.Duration(3*perSecond-i)*time.Second/time.Duration(perSecond)))
	}
}

func rejection(request uint32) returns.Rejection {
	return returns.Rejection{Request: request, Kind: otherKind, Ranks: 1, Remaining: 10 * time.Second, Promisable: true, Random: uint64(request) * 0x9e3779b97f4a7c15}
}

// TestReturnsDontComeInAWave rejects many callers at one moment. Their returns must be spread,
// and the promised ones follow each other at a rate that leaves room for newcomers.
func TestReturnsDontComeInAWave(t *testing.T) {
	b := returns.New()
	admit(b, otherKind, 100, start)
	const callers = 400
	perSlot := make(map[time.Duration]int)
	promised := 0
	for i := range uint32(callers) {
		after, ok := b.Reject(rejection(i+1), start)
		must.Between(t, 2*time.Second, after, 3300*time.Millisecond)
		perSlot[after/(100*time.Millisecond)]++
		if ok {
			promised++
		}
	}
	for _, n := range perSlot {
		must.Less(t, callers/5, n)
	}
	must.Between(t, 100*1.3*0.2, float64(promised), 100*1.3*0.5)
}

// TestMoreUrgentKindsReturnFirst rejects requests of both kinds at once.
func TestMoreUrgentKindsReturnFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := returns.New()
		rate := rapid.IntRange(0, 200).Draw(t, "rate")
		if rate > 0 {
			admit(b, urgentKind, rate, start)
			admit(b, otherKind, rate, start)
		}
		urgent, other := rejection(1), rejection(2)
		urgent.Kind, urgent.Ranks, other.Ranks, other.Rank = urgentKind, 2, 2, 1
		urgent.Random, other.Random = rapid.Uint64().Draw(t, "random"), rapid.Uint64().Draw(t, "random")
		first, _ := b.Reject(urgent, start)
		second, _ := b.Reject(other, start)
		must.LessEq(t, second, first)
	})
}

// TestPromiseCountsOnlyOnTime checks that a request gains nothing before its time, that a
// promise is kept once, and that a new one replaces it.
func TestPromiseCountsOnlyOnTime(t *testing.T) {
	b := returns.New()
	admit(b, otherKind, 100, start)
	after, promised := b.Reject(rejection(1), start)
	must.True(t, promised)
	due := start.Add(after)
	must.False(t, b.Returns(1, start.Add(after/2)))
	must.False(t, b.Returns(2, due))
	must.True(t, b.Returns(1, due))
	must.True(t, b.Returns(1, due.Add(500*time.Millisecond)))
	must.False(t, b.Returns(1, due.Add(600*time.Millisecond)))

	early := start.Add(after / 2)
	admit(b, otherKind, 100, early)
	again, promised := b.Reject(rejection(1), early)
	must.True(t, promised)
	must.False(t, b.Returns(1, due), must.Sprint("one that returned too early starts anew"))
	b.Admitted(1, otherKind, early.Add(again))
	must.False(t, b.Returns(1, early.Add(again)))
	must.Eq(t, returns.Counts{Made: 2, Kept: 1}, b.Counts())
}

// TestPromisesLapse gives promises that nobody keeps, of this gateway and of one that has died.
func TestPromisesLapse(t *testing.T) {
	b := returns.New()
	admit(b, otherKind, 100, start)
	after, _ := b.Reject(rejection(1), start)
	b.Receive(returns.Promise{Request: 2, Kind: otherKind, Due: start.Add(time.Second)}, start)
	must.True(t, b.Returns(2, start.Add(time.Second)), must.Sprint("kept for a gateway that isn't there any more"))
	b.Expire(start.Add(after + time.Second))
	must.Eq(t, returns.Counts{Made: 1, Lapsed: 2}, b.Counts())
	must.False(t, b.Returns(1, start.Add(after)))
}

// TestRestartedBookKnowsNothing checks that a gateway that has just started promises nothing
// before it has admitted requests, learns others' promises, and spreads all returns.
func TestRestartedBookKnowsNothing(t *testing.T) {
	b := returns.New()
	must.False(t, b.Returns(1, start))
	after, promised := b.Reject(rejection(1), start)
	must.False(t, promised)
	must.Between(t, 2*time.Second, after, 3300*time.Millisecond)
	other := returns.New()
	admit(other, otherKind, 100, start)
	_, promised = other.Reject(rejection(2), start)
	must.True(t, promised)
	must.Len(t, 1, other.Outgoing(start))
	for _, p := range other.Outgoing(start) {
		b.Receive(p, start)
		must.True(t, b.Returns(2, p.Due))
	}
	must.SliceEmpty(t, other.Outgoing(start.Add(time.Second)), must.Sprint("each promise is told a few times"))
}

// TestBookIsBounded reports far more promises than a Book holds.
func TestBookIsBounded(t *testing.T) {
	b := returns.New()
	admit(b, otherKind, 100, start)
	for i := range uint32(10_000) {
		b.Receive(returns.Promise{Request: i + 1, Kind: otherKind, Due: start.Add(time.Second)}, start)
	}
	must.False(t, b.Returns(10_000, start.Add(time.Second)))
	_, promised := b.Reject(rejection(20_000), start)
	must.False(t, promised)
	b.Expire(start.Add(time.Minute))
	must.Eq(t, 4096, b.Counts().Lapsed)
}
