// Package virtual is a discrete event scheduler in virtual time, for benchmarks and tests
// that must be deterministic.
package virtual

import (
	"container/heap"
	"time"
)

// Scheduler runs events in the order of their times. Events at the same time run in the order
// in which they were scheduled. Create one with New. It is not safe for concurrent use.
type Scheduler struct {
	now      time.Time
	queue    events
	sequence int
}

// New returns a scheduler whose clock is at start.
func New(start time.Time) *Scheduler { return &Scheduler{now: start} }

// Now returns the time of the running event.
func (t *Scheduler) Now() time.Time { return t.now }

// After schedules fn to run after a delay. A negative delay counts as zero.
func (t *Scheduler) After(delay time.Duration, fn func()) {
	t.sequence++
	heap.Push(&t.queue, event{t.now.Add(max(0, delay)), t.sequence, fn})
}

// Every schedules fn to run at the current time and then at each interval, until it returns
// false.
func (t *Scheduler) Every(interval time.Duration, fn func() bool) {
	var tick func()
	tick = func() {
		if fn() {
			t.After(interval, tick)
		}
	}
	t.After(0, tick)
}

// Run runs events, including those that they schedule, until the queue is empty.
func (t *Scheduler) Run() {
	for len(t.queue) > 0 {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.run()
	}
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events implements heap.Interface, ordered by time and then by order of scheduling.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
