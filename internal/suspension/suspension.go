// Package suspension detects when this process didn't run: it was stopped, its machine was
// suspended, or it got no processor.
//
// A time measured across a suspension says nothing about what was measured: an answer that
// arrived meanwhile is read only afterwards, as if its sender had been slow. A Detector
// notes the time at regular intervals, and a gap between two notes is a suspension.
package suspension

import (
	"context"
	"sync"
	"time"

	"github.com/linenscale/linenscale/internal/duty"
)

const (
	// interval is how often a running Detector notes the time.
	interval = 100 * time.Millisecond
	// maxGap is the longest time between two notes that isn't a suspension. A host that is
	// limited to a share of a core is scheduled ten times a second, and a busy processor
	// delays a note as well.
	maxGap = 400 * time.Millisecond
	// delayWeight is the inverse of the weight of the latest note in the average delay.
	delayWeight = 8
)

// Detector detects suspensions of more than maxGap. It is safe for concurrent use. New
// makes one.
type Detector struct {
	clock  func() time.Time
	report func(length time.Duration)

	mu        sync.Mutex
	tickedAt  time.Time
	delay     time.Duration // average
	notedAt   time.Time
	resumedAt time.Time // end of the last suspension
}

// New returns a detector that reads the given clock, which must not stop during a
// suspension. It calls report with the length of each suspension, after its end; report
// must not call the detector.
func New(clock func() time.Time, report func(length time.Duration)) *Detector {
	return &Detector{clock: clock, report: report, notedAt: clock()}
}

// Run notes the time at regular intervals until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	duty.Every(ctx, interval, d.Note)
	return nil
}

// Note notes that the process runs now.
func (d *Detector) Note() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.note()
	if !d.tickedAt.IsZero() {
		late := max(0, d.notedAt.Sub(d.tickedAt)-interval)
		d.delay += (late - d.delay) / delayWeight
	}
	d.tickedAt = d.notedAt
}

// Delay returns how late regular notes have been on average within about the last second:
// for how long tasks of this process wait until they run.
func (d *Detector) Delay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delay
}

// note is Note with the lock held.
func (d *Detector) note() {
	now := d.clock()
	if gap := now.Sub(d.notedAt); gap > maxGap {
		d.resumedAt = now
		d.report(gap)
	}
	d.notedAt = now
}

// SuspendedSince reports whether the process was suspended at some time since then. It
// counts a suspension that has just ended, before Run has noted the time again.
func (d *Detector) SuspendedSince(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.note()
	return d.resumedAt.After(since)
}
