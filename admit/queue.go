// Package admit provides the queue of requests that wait for an engine slot.
//
// The queue is bounded and applies three rules:
//
//   - A more urgent class goes first, but a less urgent one is served at regular
//     intervals, so that long batch work is slowed down and never starved.
//   - Within a class, accounts share by start-time fair queueing (Goyal, Vin and
//     Cheng, 1996): a burst from one account delays only that account.
//   - A request that can't finish by its deadline is rejected on arrival, which
//     costs the caller only the message. Rejecting it at the deadline would hide
//     the overload.
//
// A Queue has no locks or goroutines: its owner serialises calls and wakes the
// waiters.
package admit

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/linenscale/linenscale/request"
)

// numClasses is the number of priority classes.
const numClasses = 3

// yieldEvery sets how often a less urgent class is served: on every yieldEvery-th
// turn on which a more urgent class has waiters too.
const yieldEvery = 8

// Waiter is a request in the queue.
type Waiter[T any] struct {
	Payload  T // data of the queue's owner, such as whom to wake
	Account  string
	Priority int     // 0 is the most urgent
	Cost     float64 // cost in fair queueing
	Deadline time.Time
	// Time that the request takes once it has a slot. A request with less time
	// before its deadline isn't started.
	ServiceTime time.Duration
	// MaxWait is the longest time that the caller accepts to wait for a slot; 0
	// means that only the deadline applies. Push turns it into a deadline.
	MaxWait time.Duration

	startTag  float64 // virtual time at which service starts
	seq       uint64  // push order
	heapIndex int     // index in its heap; -1 once removed
	arrived   time.Time
}

// Arrived returns the time at which the waiter was first pushed.
func (w *Waiter[T]) Arrived() time.Time { return w.arrived }

// Queue is a bounded priority queue with fair queueing per class. The zero value
// isn't ready for use.
type Queue[T any] struct {
	limit       int
	size        int
	lastSeq     uint64
	skips       [numClasses]int // turns in which a more urgent class was served
	heaps       [numClasses]waiterHeap[T]
	virtualTime [numClasses]float64            // start tag of the last waiter served
	finishTags  [numClasses]map[string]float64 // by account, of the last waiter pushed
}

// NewQueue returns a queue of at most limit waiters.
func NewQueue[T any](limit int) *Queue[T] {
	q := &Queue[T]{limit: limit}
	for i := range q.finishTags {
		q.finishTags[i] = make(map[string]float64)
	}
	return q
}

// Len returns the number of waiters.
func (q *Queue[T]) Len() int { return q.size }

// CountAhead returns the number of waiters of this or a more urgent priority.
func (q *Queue[T]) CountAhead(priority int) int {
	n := 0
	for p := 0; p <= priority && p < numClasses; p++ {
		n += q.heaps[p].Len()
	}
	return n
}

// Push adds a waiter. It returns a *request.NotRun error if the queue is full, or
// if the request would finish after its deadline according to startRate, the
// number of requests started per second. RetryAfter of the error is the expected
// time to empty the queue. A waiter may be pushed again after Pop; it keeps its
// arrival time.
func (q *Queue[T]) Push(w *Waiter[T], now time.Time, startRate float64) error {
	wait := boundedSeconds(float64(q.CountAhead(w.Priority)+1) / max(startRate, minRate))
	drainTime := boundedSeconds(float64(q.size+1) / max(startRate, minRate))
	if q.size >= q.limit {
		return &request.NotRun{Reason: request.ReasonOverload, Message: fmt.Sprintf("%d requests wait already", q.size), RetryAfter: drainTime}
	}
	if w.MaxWait > 0 {
		w.Deadline = earlier(w.Deadline, now.Add(w.MaxWait+w.ServiceTime))
		w.MaxWait = 0
	}
	if end := now.Add(wait + w.ServiceTime); end.After(w.Deadline) {
		message := fmt.Sprintf("a slot is expected after %v, with %v left and %v needed", wait.Round(time.Millisecond), w.Deadline.Sub(now).Round(time.Millisecond), w.ServiceTime)
		return &request.NotRun{Reason: request.ReasonOverload, Message: message, RetryAfter: drainTime}
	}
	q.lastSeq++
	w.seq = q.lastSeq
	if w.arrived.IsZero() {
		w.arrived = now // a waiter that is pushed again keeps its first arrival time
	}
	w.startTag = max(q.virtualTime[w.Priority], q.finishTags[w.Priority][w.Account])
	q.finishTags[w.Priority][w.Account] = w.startTag + max(w.Cost, 1)
	heap.Push(&q.heaps[w.Priority], w)
	q.size++
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// minRate is the lowest start rate assumed, in requests per second; it applies
// while no request has been started.
const minRate = 0.5

// maxEstimate bounds the time computed from a rate.
const maxEstimate = time.Minute

func boundedSeconds(s float64) time.Duration {
	return min(time.Duration(s*float64(time.Second)), maxEstimate)
}

// Pop removes and returns the next waiter, or nil if there is none. It passes
// waiters that can't meet their deadline any more to expired and skips them.
func (q *Queue[T]) Pop(now time.Time, expired func(*Waiter[T])) *Waiter[T] {
	for q.size > 0 {
		w := q.popPriority(q.nextPriority())
		if now.Add(w.ServiceTime).After(w.Deadline) {
			expired(w)
			continue
		}
		return w
	}
	return nil
}

// Expire removes every waiter that can't meet its deadline any more and passes it
// to expired, so that the request is rejected as early as possible.
func (q *Queue[T]) Expire(now time.Time, expired func(*Waiter[T])) {
	for p := range q.heaps {
		var overdue []*Waiter[T]
		for _, w := range q.heaps[p].all {
			if now.Add(w.ServiceTime).After(w.Deadline) {
				overdue = append(overdue, w)
			}
		}
		for _, w := range overdue {
			q.Remove(w)
			expired(w)
		}
	}
}

// Remove removes a waiter. It returns false if the waiter isn't in the queue any
// more.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	if w.heapIndex < 0 {
		return false
	}
	heap.Remove(&q.heaps[w.Priority], w.heapIndex)
	q.removed(w)
	return true
}

// nextPriority returns the priority to serve next, or -1 if the queue is empty:
// the most urgent one that has waiters, or a less urgent one that was skipped
// yieldEvery times.
func (q *Queue[T]) nextPriority() int {
	first := -1
	for p := range numClasses {
		if q.heaps[p].Len() == 0 {
			continue
		}
		if first < 0 {
			first = p
			continue
		}
		q.skips[p]++
		if q.skips[p] >= yieldEvery {
			q.skips[p] = 0
			return p
		}
	}
	return first
}

func (q *Queue[T]) popPriority(priority int) *Waiter[T] {
	w := heap.Pop(&q.heaps[priority]).(*Waiter[T])
	q.virtualTime[priority] = w.startTag
	q.removed(w)
	return w
}

// removed updates the queue after a waiter was removed from its heap. The
// fair-queueing state of a class is cleared when the class becomes empty, which
// bounds memory.
func (q *Queue[T]) removed(w *Waiter[T]) {
	w.heapIndex = -1
	q.size--
	if q.heaps[w.Priority].Len() == 0 {
		clear(q.finishTags[w.Priority])
		q.virtualTime[w.Priority] = 0
	}
}

// waiterHeap implements heap.Interface. It orders waiters by start tag, then by
// sequence number.
type waiterHeap[T any] struct{ all []*Waiter[T] }

func (h *waiterHeap[T]) Len() int { return len(h.all) }

func (h *waiterHeap[T]) Less(i, j int) bool {
	a, b := h.all[i], h.all[j]
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.seq < b.seq
}

func (h *waiterHeap[T]) Swap(i, j int) {
	h.all[i], h.all[j] = h.all[j], h.all[i]
	h.all[i].heapIndex, h.all[j].heapIndex = i, j
}

func (h *waiterHeap[T]) Push(x any) {
	w := x.(*Waiter[T])
	w.heapIndex = len(h.all)
	h.all = append(h.all, w)
}

func (h *waiterHeap[T]) Pop() any {
	last := len(h.all) - 1
	w := h.all[last]
	h.all[last] = nil
	h.all = h.all[:last]
	return w
}
