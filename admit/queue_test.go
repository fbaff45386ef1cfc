package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/admit"
	"github.com/linenscale/linenscale/request"
)

var now = time.Unix(1_700_000_000, 0)

const unlimitedRate = 1e6 // requests started per second

func newWaiter(tag, account string, priority int) *admit.Waiter[string] {
	return &admit.Waiter[string]{Payload: tag, Account: account, Priority: priority, Cost: 1, Deadline: now.Add(time.Minute)}
}

func popAll(q *admit.Queue[string]) []string {
	var out []string
	for {
		w := q.Pop(now, func(*admit.Waiter[string]) {})
		if w == nil {
			return out
		}
		out = append(out, w.Payload)
	}
}

func TestBurstOfOneAccountDelaysOnlyThatAccount(t *testing.T) {
	q := admit.NewQueue[string](100)
	for i := range 20 {
		must.NoError(t, q.Push(newWaiter(fmt.Sprint("flood-", i), "flood", 1), now, unlimitedRate))
	}
	must.NoError(t, q.Push(newWaiter("other", "other", 1), now, unlimitedRate))
	must.SliceContains(t, popAll(q)[:2], "other")
}

func TestUrgentClassGoesFirstWithoutStarvingOthers(t *testing.T) {
	q := admit.NewQueue[string](200)
	must.NoError(t, q.Push(newWaiter("review", "a", 2), now, unlimitedRate))
	for i := range 50 {
		must.NoError(t, q.Push(newWaiter(fmt.Sprint("question-", i), "b", 0), now, unlimitedRate))
	}
	order := popAll(q)
	must.NotEq(t, "review", order[0])
	must.SliceContains(t, order[:10], "review")
}

func TestRequestThatWouldMissItsDeadlineIsRejectedOnArrival(t *testing.T) {
	q := admit.NewQueue[string](100)
	for i := range 10 {
		must.NoError(t, q.Push(newWaiter(fmt.Sprint(i), "a", 1), now, 10))
	}
	hurried := newWaiter("hurried", "a", 1)
	hurried.Deadline = now.Add(500 * time.Millisecond)
	err := q.Push(hurried, now, 10) // 10 waiters ahead at 10 requests per second
	var rejection *request.NotRun
	must.True(t, errors.As(err, &rejection))
	must.Eq(t, request.ReasonOverload, rejection.Reason)
	must.Eq(t, 1100*time.Millisecond, rejection.RetryAfter)
	patient := newWaiter("patient", "a", 1)
	patient.MaxWait = 300 * time.Millisecond
	must.Error(t, q.Push(patient, now, 10))
	must.NoError(t, q.Push(newWaiter("urgent", "a", 0), now, 10))
}

func TestQueueIsBounded(t *testing.T) {
	q := admit.NewQueue[string](2)
	must.NoError(t, q.Push(newWaiter("1", "a", 0), now, unlimitedRate))
	must.NoError(t, q.Push(newWaiter("2", "a", 0), now, unlimitedRate))
	must.Error(t, q.Push(newWaiter("3", "a", 0), now, unlimitedRate))
}

func TestWaiterExpiresOnceItCannotMeetItsDeadline(t *testing.T) {
	q := admit.NewQueue[string](10)
	w := newWaiter("1", "a", 0)
	w.Deadline, w.ServiceTime = now.Add(time.Second), 100*time.Millisecond
	must.NoError(t, q.Push(w, now, unlimitedRate))
	expired := 0
	q.Expire(now.Add(850*time.Millisecond), func(*admit.Waiter[string]) { expired++ })
	must.Eq(t, 0, expired)
	q.Expire(now.Add(901*time.Millisecond), func(*admit.Waiter[string]) { expired++ })
	must.Eq(t, 1, expired)
	must.Eq(t, 0, q.Len())
	must.False(t, q.Remove(w))
}

// TestEveryWaiterIsRemovedOnce pushes, pops and removes at random. Every pushed
// waiter must leave the queue exactly once.
func TestEveryWaiterIsRemovedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admit.NewQueue[string](50)
		removals := map[string]int{}
		countRemoval := func(w *admit.Waiter[string]) { removals[w.Payload]++ }
		var pushed []*admit.Waiter[string]
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				w := newWaiter(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), rapid.IntRange(0, 2).Draw(t, "priority"))
				if q.Push(w, now, unlimitedRate) == nil {
					pushed = append(pushed, w)
				}
			case 2:
				if w := q.Pop(now, countRemoval); w != nil {
					countRemoval(w)
				}
			case 3:
				if len(pushed) > 0 {
					if w := pushed[rapid.IntRange(0, len(pushed)-1).Draw(t, "which")]; q.Remove(w) {
						countRemoval(w)
					}
				}
			}
		}
		for w := q.Pop(now, countRemoval); w != nil; w = q.Pop(now, countRemoval) {
			countRemoval(w)
		}
		for _, w := range pushed {
			if removals[w.Payload] != 1 {
				t.Fatalf("%s was removed %d times", w.Payload, removals[w.Payload])
			}
		}
	})
}
