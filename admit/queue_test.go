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

const plenty = 1e6 // requests started a second

func waiter(tag, account string, priority int) *admit.Waiter[string] {
	return &admit.Waiter[string]{Tag: tag, Account: account, Priority: priority, Cost: 1, Deadline: now.Add(time.Minute)}
}

func drain(q *admit.Queue[string]) []string {
	var out []string
	for {
		w := q.Pop(now, func(*admit.Waiter[string]) {})
		if w == nil {
			return out
		}
		out = append(out, w.Tag)
	}
}

func TestFloodingAccountDelaysItself(t *testing.T) {
	q := admit.New[string](100)
	for i := range 20 {
		must.NoError(t, q.Push(waiter(fmt.Sprint("flood-", i), "flood", 1), now, plenty))
	}
	must.NoError(t, q.Push(waiter("other", "other", 1), now, plenty))
	must.SliceContains(t, drain(q)[:2], "other")
}

func TestUrgentGoesFirstAndNobodyStarves(t *testing.T) {
	q := admit.New[string](200)
	must.NoError(t, q.Push(waiter("review", "a", 2), now, plenty))
	for i := range 50 {
		must.NoError(t, q.Push(waiter(fmt.Sprint("question-", i), "b", 0), now, plenty))
	}
	order := drain(q)
	must.NotEq(t, "review", order[0])
	must.SliceContains(t, order[:10], "review")
}

func TestEarlyRefusalIsTruthful(t *testing.T) {
	q := admit.New[string](100)
	for i := range 10 {
		must.NoError(t, q.Push(waiter(fmt.Sprint(i), "a", 1), now, 10))
	}
	hurried := waiter("hurried", "a", 1)
	hurried.Deadline = now.Add(500 * time.Millisecond)
	err := q.Push(hurried, now, 10) // 10 ahead at 10 a second
	var refusal *request.NotRun
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, request.ReasonOverload, refusal.Reason)
	must.Eq(t, 1100*time.Millisecond, refusal.RetryAfter)
	patient := waiter("patient", "a", 1)
	patient.MaxWait = 300 * time.Millisecond
	must.Error(t, q.Push(patient, now, 10))
	must.NoError(t, q.Push(waiter("urgent", "a", 0), now, 10))
}

func TestQueueIsBounded(t *testing.T) {
	q := admit.New[string](2)
	must.NoError(t, q.Push(waiter("1", "a", 0), now, plenty))
	must.NoError(t, q.Push(waiter("2", "a", 0), now, plenty))
	must.Error(t, q.Push(waiter("3", "a", 0), now, plenty))
}

func TestLateWaiterIsRefusedAsSoonAsItIsKnown(t *testing.T) {
	q := admit.New[string](10)
	w := waiter("1", "a", 0)
	w.Deadline, w.Need = now.Add(time.Second), 100*time.Millisecond
	must.NoError(t, q.Push(w, now, plenty))
	late := 0
	q.Expire(now.Add(850*time.Millisecond), func(*admit.Waiter[string]) { late++ })
	must.Eq(t, 0, late)
	q.Expire(now.Add(901*time.Millisecond), func(*admit.Waiter[string]) { late++ })
	must.Eq(t, 1, late)
	must.Eq(t, 0, q.Len())
	must.False(t, q.Remove(w))
}

// TestEveryWaiterLeavesOnce pushes, pops, removes and expires at random.
func TestEveryWaiterLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admit.New[string](50)
		left := map[string]int{}
		leave := func(w *admit.Waiter[string]) { left[w.Tag]++ }
		var in []*admit.Waiter[string]
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				w := waiter(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), rapid.IntRange(0, 2).Draw(t, "priority"))
				if q.Push(w, now, plenty) == nil {
					in = append(in, w)
				}
			case 2:
				if w := q.Pop(now, leave); w != nil {
					leave(w)
				}
			case 3:
				if len(in) > 0 {
					if w := in[rapid.IntRange(0, len(in)-1).Draw(t, "which")]; q.Remove(w) {
						leave(w)
					}
				}
			}
		}
		for w := q.Pop(now, leave); w != nil; w = q.Pop(now, leave) {
			leave(w)
		}
		for _, w := range in {
			if left[w.Tag] != 1 {
				t.Fatalf("%s left %d times", w.Tag, left[w.Tag])
			}
		}
	})
}
