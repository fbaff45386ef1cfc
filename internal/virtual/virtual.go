// Package virtual runs events in virtual time, for benches and tests that must
// give the same result each time.
package virtual

import (
	"container/heap"
	"time"
)

// Time runs events in the order of their times; of events at one time, the one
// that was added first comes first. New makes one. It is not safe for concurrent
// use.
type Time struct {
	now    time.Time
	queue  events
	serial int
}

// New makes a virtual time that stands at start.
func New(start time.Time) *Time { return &Time{now: start} }

// Now gives the time of the event that is running.
func (t *Time) Now() time.Time { return t.now }

// After runs do after a delay; a negative one counts as none.
func (t *Time) After(delay time.Duration, do func()) {
	t.serial++
	heap.Push(&t.queue, event{t.now.Add(max(0, delay)), t.serial, do})
}

// Every runs do now and again at an interval, as long as it gives true.
func (t *Time) Every(interval time.Duration, do func() bool) {
	var again func()
	again = func() {
		if do() {
			t.After(interval, again)
		}
	}
	t.After(0, again)
}

// Run runs events until none is left.
func (t *Time) Run() {
	for len(t.queue) > 0 {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.do()
	}
}

type event struct {
	at     time.Time
	serial int
	do     func()
}

// events implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].serial < e[j].serial
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
